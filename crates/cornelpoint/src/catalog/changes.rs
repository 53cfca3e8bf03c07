use std::fmt;
use std::fmt::Display;

use serde::Serialize;

use super::check::Severity;
use super::check::queue_place;
use super::check::tenant_place;
use super::queue::Catalog;
use super::queue::Queue;
use crate::job::Resources;
use crate::tenant::Tenant;
use crate::tenant::Tenants;

/// One difference between two catalogs. It never shows a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// How serious it is; `None` where no attention is due.
    pub severity: Option<Severity>,
    /// Entry of the configuration, such as `queue "orders"`.
    pub place: String,
    /// What changes.
    pub text: String,
}

impl Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("change")?;
        if let Some(severity) = self.severity {
            write!(formatter, ", {severity}")?;
        }
        write!(formatter, ": {}: {}", self.place, self.text)
    }
}

/// Returns what a new catalog changes of the one in force.
///
/// ```
/// # use std::collections::BTreeMap;
/// use cornelpoint::catalog;
/// use cornelpoint::catalog::Catalog;
/// use cornelpoint::catalog::HttpLimits;
///
/// let limits = HttpLimits { max_body_bytes: 1024, header_timeout_ms: 1000, idle_timeout_ms: 1000 };
/// let catalog = Catalog {
///     version: 7,
///     queues: Vec::new(),
///     pools: BTreeMap::new(),
///     limits,
///     tenants: None,
/// };
/// let changes = catalog::changes(&catalog, &catalog);
/// assert_eq!(changes[0].to_string(), "change, error: version: 7 isn't higher than 7, the one in force");
/// ```
#[must_use]
pub fn changes(in_force: &Catalog, new: &Catalog) -> Vec<Change> {
    let mut list = ChangeList::default();
    if new.version <= in_force.version {
        let text = format!(
            "{} isn't higher than {}, the one in force",
            new.version, in_force.version
        );
        list.add(Some(Severity::Error), "version", text);
    } else {
        let text = format!("{} before, {} now", in_force.version, new.version);
        list.add(None, "version", text);
    }
    list.queues(in_force, new);
    list.pools(in_force, new);
    let (old_limits, new_limits) = (in_force.limits, new.limits);
    for (what, old, new) in [
        (
            "body limit in bytes",
            old_limits.max_body_bytes as u64,
            new_limits.max_body_bytes as u64,
        ),
        (
            "header timeout in ms",
            old_limits.header_timeout_ms,
            new_limits.header_timeout_ms,
        ),
        (
            "idle timeout in ms",
            old_limits.idle_timeout_ms,
            new_limits.idle_timeout_ms,
        ),
    ] {
        list.compare("limits", what, old, new);
    }
    match (&in_force.tenants, &new.tenants) {
        (None, None) => {}
        (None, Some(_)) => list.add(
            Some(Severity::Warning),
            "tenants",
            "keys are checked from now on, except on public queues",
        ),
        (Some(_), None) => list.add(
            Some(Severity::Warning),
            "tenants",
            "removed: keys are no longer checked unless the settings name the contract `tenants`",
        ),
        (Some(old), Some(new)) => list.tenants(old, new),
    }
    list.changes
}

#[derive(Default)]
struct ChangeList {
    changes: Vec<Change>,
}

impl ChangeList {
    fn add(&mut self, severity: Option<Severity>, place: &str, text: impl Into<String>) {
        self.changes.push(Change {
            severity,
            place: place.to_owned(),
            text: text.into(),
        });
    }

    fn compare<T: Copy + PartialEq + Display>(&mut self, place: &str, what: &str, old: T, new: T) {
        if old != new {
            self.add(None, place, format!("{what} {old} before, {new} now"));
        }
    }

    fn queues(&mut self, in_force: &Catalog, new: &Catalog) {
        for old in &in_force.queues {
            let place = queue_place(&old.name);
            match new.queue(&old.name) {
                Some(queue) => self.queue(&place, old, queue),
                None => self.add(Some(Severity::Warning), &place, "removed"),
            }
        }
        for queue in &new.queues {
            if in_force.queue(&queue.name).is_none() {
                self.add(None, &queue_place(&queue.name), "added");
            }
        }
    }

    fn queue(&mut self, place: &str, old: &Queue, new: &Queue) {
        self.compare(place, "host", &old.host, &new.host);
        self.compare(place, "prefix", &old.path_prefix, &new.path_prefix);
        self.compare(place, "pool", &old.pool, &new.pool);
        self.compare(place, "priority", old.priority, new.priority);
        self.compare(place, "attempts", old.max_attempts, new.max_attempts);
        self.compare(
            place,
            "stretch in thousandths",
            old.stretch_permille,
            new.stretch_permille,
        );
        self.compare(place, "objective in ms", old.objective_ms, new.objective_ms);
        self.compare(place, "timeout in ms", old.timeout_ms, new.timeout_ms);
        self.compare(place, "public", old.public, new.public);
        let advice = |queue: &Queue| {
            queue.advice.map_or("none".to_owned(), |advice| {
                format!(
                    "{} ms + {} ms a worker, valid {} ms",
                    advice.decide_ms, advice.each_ms, advice.valid_ms
                )
            })
        };
        self.compare(place, "advice", &advice(old), &advice(new));
    }

    fn pools(&mut self, in_force: &Catalog, new: &Catalog) {
        for (name, old) in &in_force.pools {
            let place = format!("pool {name:?}");
            let Some(pool) = new.pools.get(name) else {
                self.add(Some(Severity::Warning), &place, "removed");
                continue;
            };
            self.compare(&place, "spare", old.spare, pool.spare);
            self.compare(
                &place,
                "admission control of workers",
                old.worker_admission_control,
                pool.worker_admission_control,
            );
        }
        for name in new.pools.keys() {
            if !in_force.pools.contains_key(name) {
                self.add(None, &format!("pool {name:?}"), "added");
            }
        }
    }

    fn tenants(&mut self, in_force: &Tenants, new: &Tenants) {
        for old in in_force.iter() {
            let place = tenant_place(&old.name);
            match new.get(&old.name) {
                Some(tenant) => self.tenant(&place, old, tenant),
                None => self.add(
                    Some(Severity::Warning),
                    &place,
                    "removed: its keys are no longer accepted",
                ),
            }
        }
        for tenant in new.iter() {
            if in_force.get(&tenant.name).is_none() {
                let text = format!("added, keys: {}", tenant.keys.len());
                self.add(None, &tenant_place(&tenant.name), text);
            }
        }
    }

    fn tenant(&mut self, place: &str, old: &Tenant, new: &Tenant) {
        self.compare(
            place,
            "weight in thousandths",
            old.weight_milli,
            new.weight_milli,
        );
        for (what, old, new) in resource_pairs(old.limit, new.limit) {
            if old != new {
                let lowered = new != 0 && (old == 0 || new < old);
                let shown = |limit| match limit {
                    0 => "none".to_owned(),
                    limit => limit.to_string(),
                };
                let text = format!("limit {what} {} before, {} now", shown(old), shown(new));
                self.add(lowered.then_some(Severity::Warning), place, text);
            }
        }
        let count_missing = |keys: &Tenant, from: &Tenant| {
            let missing = keys.keys.iter().filter(|key| !from.keys.contains(key));
            missing.count()
        };
        let removed = count_missing(old, new);
        let added = count_missing(new, old);
        if removed > 0 && removed == old.keys.len() {
            let text = format!("loses all keys it has: {removed}, new keys: {added}");
            self.add(Some(Severity::Warning), place, text);
        } else if removed + added > 0 {
            let text = format!("keys removed: {removed}, added: {added}");
            self.add(None, place, text);
        }
    }
}

fn resource_pairs(old: Resources, new: Resources) -> [(&'static str, u64, u64); 3] {
    [
        ("in millicores", old.cpu_millicores, new.cpu_millicores),
        ("of memory in MB", old.memory_mb, new.memory_mb),
        ("of accelerators", old.accelerators, new.accelerators),
    ]
}
