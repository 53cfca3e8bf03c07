//! The platform's store: tables of rows, with a feed of changes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::base64;
use crate::http::Request;
use crate::http::Server;

/// Duration of a transaction; those of a part are carried out one after another.
const TRANSACTION: Duration = Duration::from_millis(8);
const ROWS: usize = 500;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Value and version; a row without a value was removed.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    version: u64,
}

#[derive(Default)]
struct Shared {
    rows: Mutex<Rows>,
    changed: Condvar,
    parts: Mutex<BTreeMap<String, Arc<Mutex<()>>>>,
}

/// The store; also the operator and the workers write to it.
pub struct Store {
    shared: Arc<Shared>,
    pub server: Server,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let shared: Arc<Shared> = Arc::default();
        let began = Instant::now();
        let of_server = Arc::clone(&shared);
        let handler = move |request: Request| {
            let (status, mut body) = of_server.handle(&request);
            if let Some(fields) = body.as_object_mut() {
                let now_ms = began.elapsed().as_millis() as u64 + 1000;
                fields.insert("now_ms".to_owned(), json!(now_ms));
            }
            (status, body)
        };
        Ok(Self {
            shared,
            server: Server::start(0, Arc::new(handler))?,
        })
    }

    /// Writes a row of the operator, a worker or another writer.
    pub fn write(&self, table: &str, key: &str, value: &Value) {
        self.shared.write(table, key, Some(value));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.shared.write(table, key, None);
    }

    /// Returns the value of a row.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<Vec<u8>> {
        let rows = self.shared.rows.lock().expect("rows");
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        let (value, _) = rows.rows.get(&key)?;
        Some(base64::decode(value.as_deref()?))
    }
}

fn text(value: &Value, name: &str) -> String {
    value[name].as_str().unwrap_or_default().to_owned()
}

fn key_of(row: &Value) -> Key {
    (text(row, "table"), text(row, "part"), text(row, "key"))
}

fn wire(key: &Key, value: Option<&String>, version: u64) -> Value {
    let (table, part, name) = key;
    match value {
        Some(value) => {
            json!({"table": table, "part": part, "key": name, "value": value, "ver": version})
        }
        None => json!({"table": table, "part": part, "key": name, "ver": version, "removed": true}),
    }
}

impl Shared {
    fn write(&self, table: &str, key: &str, value: Option<&Value>) {
        let mut rows = self.rows.lock().expect("rows");
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = value.map(|value| base64::encode(value.to_string().as_bytes()));
        rows.rows.insert(key, (value, version));
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> (u16, Value) {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/cornelpoint/rows-tx") => self.transact(&request.json()),
            ("GET", "/cornelpoint/rows-get") => self.read(request),
            ("GET", "/cornelpoint/rows-feed") => self.feed(request),
            _ => (404, Value::Null),
        }
    }

    fn transact(&self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (conditions, writes, removals) = (list("expected_rev"), list("writes"), list("remove"));
        let entries = conditions.len() + writes.len() + removals.len();
        let all = conditions.iter().chain(&writes).chain(&removals);
        let parts: Vec<String> = all.map(|row| text(row, "part")).collect();
        let written = writes.iter().chain(&removals).map(|row| text(row, "table"));
        if written
            .into_iter()
            .any(|table| table == "op" || table == "servers")
        {
            return (403, Value::Null);
        }
        if entries > 100 || parts.iter().any(|part| *part != parts[0]) {
            return (400, Value::Null);
        }
        let part = parts.first().cloned().unwrap_or_default();
        let queue = Arc::clone(self.parts.lock().expect("parts").entry(part).or_default());
        let _turn = queue.lock().expect("part");
        thread::sleep(TRANSACTION);
        let mut rows = self.rows.lock().expect("rows");
        let current = |rows: &Rows, key: &Key| match rows.rows.get(key) {
            Some((Some(value), version)) => Some((value.clone(), *version)),
            _ => None,
        };
        let holds = conditions.iter().all(|row| {
            let version = current(&rows, &key_of(row)).map_or(0, |(_, version)| version);
            version == row["ver"].as_u64().unwrap_or(0)
        });
        if !holds {
            let found = conditions.iter().filter_map(|row| {
                let key = key_of(row);
                let (value, version) = current(&rows, &key)?;
                Some(wire(&key, Some(&value), version))
            });
            let found: Vec<Value> = found.collect();
            return (412, json!({"rows": found, "ver": rows.version}));
        }
        rows.version += 1;
        let version = rows.version;
        for row in &writes {
            let value = Some(text(row, "value"));
            rows.rows.insert(key_of(row), (value, version));
        }
        for row in &removals {
            if let Some(row) = rows.rows.get_mut(&key_of(row)) {
                *row = (None, version);
            }
        }
        self.changed.notify_all();
        (200, json!({"ver": version}))
    }

    fn read(&self, request: &Request) -> (u16, Value) {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("target"));
        let limit = request.parameter("limit").parse().unwrap_or(ROWS).min(ROWS);
        let rows = self.rows.lock().expect("rows");
        let start = (table.clone(), part.clone(), from);
        let found = rows.rows.range(start..);
        let found = found
            .take_while(|((t, p, k), _)| *t == table && *p == part && (to.is_empty() || *k < to))
            .filter(|(_, (value, _))| value.is_some());
        let mut found: Vec<Value> = found
            .take(limit + 1)
            .map(|(key, (value, version))| wire(key, value.as_ref(), *version))
            .collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        (
            200,
            json!({"rows": found, "has_more": has_more, "ver": rows.version}),
        )
    }

    fn feed(&self, request: &Request) -> (u16, Value) {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut rows = self.rows.lock().expect("rows");
        loop {
            let of_table = rows.rows.iter().filter(|((t, _, _), _)| *t == table);
            let changed = of_table.filter(|(_, (_, version))| *version > after);
            let mut changed: Vec<(u64, Value)> = changed
                .map(|(key, (value, version))| (*version, wire(key, value.as_ref(), *version)))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(version, _)| *version);
                let found: Vec<Value> = changed.into_iter().map(|(_, row)| row).collect();
                return (200, json!({"rows": found, "ver": rows.version}));
            }
            rows = self.changed.wait_timeout(rows, left).expect("rows").0;
        }
    }
}
