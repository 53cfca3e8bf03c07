//! The platform's store, of table form.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::http::Response;
use crate::http::Server;
use crate::http::lock;
use crate::json::Json;
use crate::json::base64;
use crate::record::Record;

/// Table, partition and key.
type Key = (String, String, String);

const TRANSACTION: Duration = Duration::from_millis(8);
const READ: Duration = Duration::from_millis(2);
const MAX_ROWS: usize = 500;
const MAX_ENTRIES: usize = 100;
const MAX_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Rows {
    /// Value in base64, `None` once removed, and version.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    version: u64,
}

/// Writes of one instance get no answer for a time and are done late.
#[derive(Clone, Copy)]
pub struct LateWrites {
    pub until: Instant,
    pub late: Duration,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    record: Arc<Record>,
    late: Mutex<BTreeMap<String, LateWrites>>,
    /// Instance that last wrote under a condition, by partition.
    last_writer: Mutex<BTreeMap<String, String>>,
    /// When the writes of all instances arrived, by the record.
    arrived_ms: Mutex<Vec<u64>>,
    servers: Mutex<Vec<Server>>,
}

impl Store {
    pub fn new(record: &Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            record: Arc::clone(record),
            late: Mutex::default(),
            last_writer: Mutex::default(),
            arrived_ms: Mutex::default(),
            servers: Mutex::default(),
        })
    }

    /// Opens the address at which an instance reaches the store.
    pub fn open(self: &Arc<Self>, node: &str) -> std::io::Result<String> {
        let store = Arc::clone(self);
        let name = node.to_owned();
        let server = Server::start("127.0.0.1:0", move |request| store.handle(&name, request))?;
        let address = server.address.to_string();
        lock(&self.servers).push(server);
        Ok(address)
    }

    pub fn set_late(&self, node: &str, late: LateWrites) {
        lock(&self.late).insert(node.to_owned(), late);
    }

    /// Instance that last wrote under a condition in a partition.
    pub fn last_writer(&self, part: &str) -> Option<String> {
        lock(&self.last_writer).get(part).cloned()
    }

    /// Number of writes of the instances that arrived between two times of the record.
    pub fn writes_since(&self, from_ms: u64, to_ms: u64) -> usize {
        let arrived = lock(&self.arrived_ms);
        arrived.iter().filter(|at_ms| (from_ms..to_ms).contains(*at_ms)).count()
    }

    /// Writes a row as the operator or a worker does.
    pub fn write(&self, table: &str, key: &str, value: &str) {
        let mut rows = lock(&self.rows);
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(key, (Some(base64(value.as_bytes())), version));
        drop(rows);
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0) + 1
    }

    fn handle(&self, node: &str, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/cornelpoint/rows-tx") => self.transact(node, &request.body),
            ("GET", "/cornelpoint/rows-get") => Some(self.get(request)),
            ("GET", "/cornelpoint/rows-feed") => Some(self.feed(request)),
            ("GET", "/cornelpoint/rows-parts") => Some(self.parts(request)),
            _ => Some((404, String::new())),
        }
    }

    fn transact(&self, node: &str, body: &str) -> Response {
        lock(&self.arrived_ms).push(self.record.now_ms());
        let Some(message) = Json::parse(body) else {
            return Some((400, String::new()));
        };
        let key = |entry: &Json| -> Key {
            (
                entry.get("table").text().to_owned(),
                entry.get("part").text().to_owned(),
                entry.get("key").text().to_owned(),
            )
        };
        let conditions = message.get("expected_rev").list();
        let writes = message.get("writes").list();
        let removals = message.get("remove").list();
        let all = || conditions.iter().chain(writes).chain(removals);
        let mut parts: Vec<&str> = all().map(|entry| entry.get("part").text()).collect();
        parts.dedup();
        if parts.len() != 1 || all().count() > MAX_ENTRIES || body.len() > MAX_BYTES {
            self.record.line(&format!(
                "store: a transaction of {node} is refused: {} entries, {} bytes, {} parts",
                all().count(),
                body.len(),
                parts.len()
            ));
            return Some((400, String::new()));
        }
        let changes = writes.iter().chain(removals);
        if changes.map(key).any(|(table, _, _)| table == "op" || table == "servers") {
            return Some((403, String::new()));
        }
        let part = parts[0].to_owned();
        let is_conditional = !conditions.is_empty();
        let late = lock(&self.late).get(node).copied();
        let late = late.filter(|late| Instant::now() < late.until);
        if let Some(late) = late {
            self.record.line(&format!(
                "store: a write of {node} gets no answer and is done {} ms later",
                late.late.as_millis()
            ));
            thread::sleep(late.late);
        } else {
            thread::sleep(TRANSACTION);
        }
        let mut rows = lock(&self.rows);
        let version_of = |rows: &Rows, key: &Key| {
            let row = rows.rows.get(key).filter(|(value, _)| value.is_some());
            row.map_or(0, |(_, version)| *version)
        };
        let holds = conditions
            .iter()
            .all(|entry| version_of(&rows, &key(entry)) == entry.get("ver").number());
        let answer = if holds {
            rows.version += 1;
            let version = rows.version;
            for entry in writes {
                let value = entry.get("value").text().to_owned();
                rows.rows.insert(key(entry), (Some(value), version));
            }
            for entry in removals {
                if let Some(row) = rows.rows.get_mut(&key(entry)) {
                    *row = (None, version);
                }
            }
            if is_conditional {
                lock(&self.last_writer).insert(part, node.to_owned());
            }
            (200, self.rows_message(Vec::new(), false, version))
        } else {
            let current = conditions.iter().filter_map(|entry| {
                let key = key(entry);
                let (value, version) = rows.rows.get(&key)?;
                value.as_ref().map(|_| row_text(&key, value.as_ref(), *version))
            });
            let current: Vec<String> = current.collect();
            (412, self.rows_message(current, false, rows.version))
        };
        drop(rows);
        self.changed.notify_all();
        if late.is_some() {
            self.record.line(&format!(
                "store: the late write of {node} {}",
                if answer.0 == 200 { "is done" } else { "isn't done: its condition no longer holds" }
            ));
            return None;
        }
        Some(answer)
    }

    fn get(&self, request: &Request) -> (u16, String) {
        thread::sleep(READ);
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, target) = (request.query("from"), request.query("target"));
        let limit = request.query("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let rows = lock(&self.rows);
        let start = (table.clone(), part.clone(), from);
        let matching = rows.rows.range(start..).take_while(|((of, of_part, key), _)| {
            *of == table && *of_part == part && (target.is_empty() || *key < target)
        });
        let matching = matching.filter(|(_, (value, _))| value.is_some());
        let mut found: Vec<String> = matching
            .take(limit + 1)
            .map(|(key, (value, version))| row_text(key, value.as_ref(), *version))
            .collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        (200, self.rows_message(found, has_more, rows.version))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut rows = lock(&self.rows);
        loop {
            let changed = rows
                .rows
                .iter()
                .filter(|((of, _, _), (_, version))| *of == table && *version > after);
            let mut changed: Vec<(u64, String)> = changed
                .map(|(key, (value, version))| {
                    (*version, row_text(key, value.as_ref(), *version))
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort();
                let version = rows.version;
                let changed = changed.into_iter().map(|(_, row)| row).collect();
                return (200, self.rows_message(changed, false, version));
            }
            let waited = self.changed.wait_timeout(rows, left);
            rows = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }

    fn parts(&self, request: &Request) -> (u16, String) {
        let table = request.query("table");
        let rows = lock(&self.rows);
        let of_table = rows.rows.keys().filter(|(of, _, _)| *of == table);
        let mut parts: Vec<String> = of_table.map(|(_, part, _)| format!("\"{part}\"")).collect();
        parts.dedup();
        (200, format!("{{\"parts\":[{}]}}", parts.join(",")))
    }

    fn rows_message(&self, rows: Vec<String>, has_more: bool, version: u64) -> String {
        format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"ver\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.now_ms()
        )
    }
}

fn row_text((table, part, key): &Key, value: Option<&String>, version: u64) -> String {
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\"ver\":{version}}}"
    )
}
