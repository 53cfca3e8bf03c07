use std::fmt;

use serde::Serialize;

use super::queue::Catalog;
use super::queue::HttpLimits;
use super::queue::Queue;
use crate::tenant::Tenant;
use crate::tenant::TenantFinding;

/// How serious a finding or a change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Part of the configuration has no effect, or its callers are refused.
    Error,
    /// Valid, but possibly not what is meant.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// A fault in a catalog. Unlike a [`crate::finding::Finding`], it has a severity, and its place
/// is an entry, since a catalog no longer has the lines of its file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CatalogFinding {
    /// How serious it is.
    pub severity: Severity,
    /// Entry of the configuration, such as `queue "orders"`.
    pub place: String,
    /// What is wrong.
    pub text: String,
    /// How to mend it.
    pub hint: String,
}

impl CatalogFinding {
    /// Creates an error.
    #[must_use]
    pub fn error(place: &str, text: impl Into<String>, hint: &str) -> Self {
        Self {
            severity: Severity::Error,
            place: place.to_owned(),
            text: text.into(),
            hint: hint.to_owned(),
        }
    }

    /// Creates a warning.
    #[must_use]
    pub fn warning(place: &str, text: impl Into<String>, hint: &str) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(place, text, hint)
        }
    }
}

impl fmt::Display for CatalogFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {}: {} ({})",
            self.severity, self.place, self.text, self.hint
        )
    }
}

/// Checks a catalog before it comes into force.
///
/// ```
/// # use std::collections::BTreeMap;
/// use cornelpoint::catalog;
/// use cornelpoint::catalog::Catalog;
/// use cornelpoint::catalog::HttpLimits;
///
/// let limits = HttpLimits { max_body_bytes: 0, header_timeout_ms: 1000, idle_timeout_ms: 1000 };
/// let catalog = Catalog {
///     version: 1,
///     queues: Vec::new(),
///     pools: BTreeMap::new(),
///     limits,
///     tenants: None,
/// };
/// let findings = catalog::check(&catalog);
/// assert_eq!(findings.len(), 1);
/// assert_eq!(findings[0].place, "limits");
/// ```
#[must_use]
pub fn check(catalog: &Catalog) -> Vec<CatalogFinding> {
    let mut findings = Vec::new();
    for (index, queue) in catalog.queues.iter().enumerate() {
        check_address(queue, &catalog.queues[index + 1..], &mut findings);
        check_pool(queue, catalog, &mut findings);
        check_values(queue, &mut findings);
    }
    check_limits(catalog.limits, &mut findings);
    if let Some(tenants) = &catalog.tenants {
        findings.extend(tenants.findings().iter().map(tenant_fault));
        for tenant in tenants.iter() {
            check_tenant(tenant, &mut findings);
        }
    }
    findings
}

/// Of queues with the same host and prefix, [`Catalog::queue_of`] returns the last one.
fn check_address(queue: &Queue, later: &[Queue], findings: &mut Vec<CatalogFinding>) {
    let place = queue_place(&queue.name);
    if queue.host.is_empty() {
        findings.push(CatalogFinding::error(
            &place,
            "never matches: its host is empty",
            "give the host that callers name",
        ));
    } else if queue.host.contains(':') {
        findings.push(CatalogFinding::error(
            &place,
            "never matches: its host has a port, and the port of a request is ignored",
            "give the host without a port",
        ));
    }
    if queue.path_prefix.is_empty() {
        findings.push(CatalogFinding::warning(
            &place,
            "its prefix is empty, so that it matches all paths",
            "give the prefix \"/\" if that is meant",
        ));
    } else if !queue.path_prefix.starts_with('/') {
        findings.push(CatalogFinding::error(
            &place,
            format!(
                "never matches: its prefix {:?} doesn't begin with a slash",
                queue.path_prefix
            ),
            "begin the prefix with a slash",
        ));
    }
    let hiding = later.iter().rev().find(|other| {
        other.host.eq_ignore_ascii_case(&queue.host) && other.path_prefix == queue.path_prefix
    });
    if let Some(other) = hiding {
        findings.push(CatalogFinding::error(
            &place,
            format!(
                "never matches: {} below has the same host and prefix",
                queue_place(&other.name)
            ),
            "remove one of them, or change a prefix",
        ));
    }
}

fn check_pool(queue: &Queue, catalog: &Catalog, findings: &mut Vec<CatalogFinding>) {
    let place = queue_place(&queue.name);
    match catalog.pools.get(&queue.pool) {
        None => findings.push(CatalogFinding::error(
            &place,
            format!("its pool {:?} isn't defined", queue.pool),
            "define the pool, or name another one",
        )),
        Some(pool) if pool.spare => findings.push(CatalogFinding::error(
            &place,
            format!("its pool {:?} is the spare pool", queue.pool),
            "name a pool whose machines are switched on",
        )),
        Some(_) => {}
    }
}

fn check_values(queue: &Queue, findings: &mut Vec<CatalogFinding>) {
    let place = queue_place(&queue.name);
    if queue.max_attempts == 0 {
        findings.push(CatalogFinding::warning(
            &place,
            "its number of attempts is 0, which counts as 1",
            "give 1 or more",
        ));
    }
    if queue.timeout_ms == 0 {
        findings.push(CatalogFinding::error(
            &place,
            "its timeout is 0, so that calls end after 1 ms",
            "give the time within which a call is to be answered",
        ));
    }
    if let Some(advice) = queue.advice {
        let response_ms = advice.decide_ms.saturating_add(advice.each_ms);
        if advice.valid_ms < response_ms {
            findings.push(CatalogFinding::error(
                &place,
                format!(
                    "advice is valid for {} ms, and a response for one worker takes {response_ms} ms",
                    advice.valid_ms
                ),
                "raise the validity above the response time",
            ));
        }
    }
}

fn check_limits(limits: HttpLimits, findings: &mut Vec<CatalogFinding>) {
    if limits.max_body_bytes == 0 {
        findings.push(CatalogFinding::error(
            "limits",
            "the body limit is 0, so that no job can be submitted",
            "give the size of the largest body",
        ));
    }
    for (name, timeout_ms) in [
        ("header", limits.header_timeout_ms),
        ("idle", limits.idle_timeout_ms),
    ] {
        if timeout_ms == 0 {
            findings.push(CatalogFinding::error(
                "limits",
                format!("the {name} timeout is 0"),
                "give a time above 0",
            ));
        }
    }
    if limits.header_timeout_ms > limits.idle_timeout_ms {
        findings.push(CatalogFinding::error(
            "limits",
            format!(
                "the header timeout, {} ms, is above the idle timeout, {} ms",
                limits.header_timeout_ms, limits.idle_timeout_ms
            ),
            "lower the header timeout, or raise the idle timeout",
        ));
    }
}

fn tenant_fault(fault: &TenantFinding) -> CatalogFinding {
    let text = fault.to_string();
    match fault {
        TenantFinding::Malformed { index } | TenantFinding::EmptyName { index } => {
            CatalogFinding::error(
                &format!("tenant {index}"),
                text,
                "mend the entry (counted from 0); its keys authenticate nobody",
            )
        }
        TenantFinding::RepeatedName { tenant } => CatalogFinding::error(
            &tenant_place(tenant),
            text,
            "merge the entries; only the first one counts",
        ),
        TenantFinding::EmptyKey { tenant } => CatalogFinding::warning(
            &tenant_place(tenant),
            text,
            "remove the key, which is ignored",
        ),
        TenantFinding::RepeatedKey { tenant } => {
            CatalogFinding::warning(&tenant_place(tenant), text, "remove the second one")
        }
        TenantFinding::SharedKey { tenant, .. } => CatalogFinding::error(
            &tenant_place(tenant),
            text,
            "give each its own key; the shared one authenticates neither",
        ),
    }
}

fn check_tenant(tenant: &Tenant, findings: &mut Vec<CatalogFinding>) {
    let place = tenant_place(&tenant.name);
    if tenant.keys.is_empty() {
        findings.push(CatalogFinding::warning(
            &place,
            "has no valid key",
            "give it a key of its own, or remove it",
        ));
    }
    if tenant.weight_milli == 0 {
        findings.push(CatalogFinding::warning(
            &place,
            "its weight is 0, which counts as a thousandth",
            "give a weight above 0",
        ));
    }
}

pub(super) fn queue_place(name: &str) -> String {
    format!("queue {name:?}")
}

pub(super) fn tenant_place(name: &str) -> String {
    format!("tenant {name:?}")
}
