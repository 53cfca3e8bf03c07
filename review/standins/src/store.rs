//! The platform's store (PROTOCOL.md, "The platform's metadata store") as a table
//! of rows. Transactions of a part are carried out one after another.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Reply;
use crate::http::Request;
use crate::http::Server;
use crate::http::reply;
use crate::json::Json;
use crate::json::quote;
use crate::record::Record;

/// Limits that the settings and the page state.
const ROW_BYTES: usize = 65_536;
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;
const MAX_ROWS: usize = 500;
const MAX_NAME_BYTES: usize = 200;
const TRANSACTION: Duration = Duration::from_millis(8);

type Key = (String, String, String);

#[derive(Default)]
struct Table {
    /// Values in base64; `None` for removed rows.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    version: u64,
    parts: BTreeMap<String, Arc<Mutex<()>>>,
}

pub struct Store {
    table: Mutex<Table>,
    changed: Condvar,
    started: Instant,
    record: Arc<Record>,
    server: Mutex<Option<Server>>,
}

impl Store {
    pub fn start(record: &Arc<Record>) -> Arc<Store> {
        let store = Arc::new(Store {
            table: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            record: Arc::clone(record),
            server: Mutex::default(),
        });
        let of_server = Arc::clone(&store);
        let server = Server::start("127.0.0.1:0", move |request| of_server.handle(&request));
        *store.server.lock().unwrap() = Some(server.expect("no free port for the store"));
        store
    }

    pub fn address(&self) -> String {
        let server = self.server.lock().unwrap();
        server.as_ref().unwrap().address.to_string()
    }

    /// Writes a row at once, like the operator or a worker.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut all = self.table.lock().unwrap();
        all.version += 1;
        let version = all.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        all.rows
            .insert(key, (Some(encode64(value.as_bytes())), version));
        self.changed.notify_all();
    }

    /// Removes a row at once.
    pub fn drop_row(&self, table: &str, key: &str) {
        let mut all = self.table.lock().unwrap();
        all.version += 1;
        let version = all.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        if let Some(row) = all.rows.get_mut(&key) {
            *row = (None, version);
        }
        self.changed.notify_all();
    }

    /// Returns the decoded value of a row.
    pub fn get(&self, table: &str, part: &str, key: &str) -> Option<Vec<u8>> {
        let all = self.table.lock().unwrap();
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        Some(decode64(all.rows.get(&key)?.0.as_ref()?))
    }

    /// Returns the keys and values of a table's rows with an empty part.
    pub fn values(&self, table: &str) -> Vec<(String, String)> {
        let all = self.table.lock().unwrap();
        let rows = all.rows.iter().filter_map(|(key, (value, _))| {
            let value = decode64(value.as_ref()?);
            let is_wanted = key.0 == table && key.1.is_empty();
            is_wanted.then(|| (key.2.clone(), String::from_utf8_lossy(&value).into_owned()))
        });
        rows.collect()
    }

    fn handle(&self, request: &Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/cornelpoint/rows-tx") => self.transact(&request.body),
            ("GET", "/cornelpoint/rows-get") => self.rows(&query(&request.query)),
            ("GET", "/cornelpoint/rows-feed") => self.feed(&query(&request.query)),
            _ => reply(404, ""),
        }
    }

    fn transact(&self, body: &str) -> Reply {
        if body.len() > MAX_CALL_BYTES {
            return reply(400, r#"{"reason":"too large"}"#);
        }
        let Some(call) = Json::parse(body) else {
            return reply(400, "");
        };
        let (conditions, writes) = (call.list("expected_rev"), call.list("writes"));
        let removals = call.list("remove");
        let entries = || conditions.iter().chain(writes).chain(removals);
        let parts: Vec<&str> = entries().map(|entry| entry.text("part")).collect();
        let Some(part) = parts.first() else {
            return reply(400, "");
        };
        if parts.len() > MAX_ENTRIES || parts.iter().any(|other| other != part) {
            return reply(400, r#"{"reason":"entries"}"#);
        }
        for entry in entries() {
            if entry.text("key").len() > MAX_NAME_BYTES {
                return reply(400, r#"{"reason":"name"}"#);
            }
        }
        for write in writes {
            if matches!(write.text("table"), "op" | "servers") {
                return reply(403, "");
            }
            let length = decode64(write.text("value")).len();
            if length > ROW_BYTES {
                self.record.line(&format!(
                    "store: refused a value of {length} bytes for {}/{}/{} with 400, row_bytes is {ROW_BYTES}",
                    write.text("table"),
                    write.text("part"),
                    write.text("key")
                ));
                return reply(400, r#"{"reason":"row_bytes"}"#);
            }
        }
        let lane = {
            let mut all = self.table.lock().unwrap();
            Arc::clone(all.parts.entry((*part).to_owned()).or_default())
        };
        let _turn = lane.lock().unwrap();
        thread::sleep(TRANSACTION);
        let mut all = self.table.lock().unwrap();
        let version_of = |all: &Table, key: &Key| match all.rows.get(key) {
            Some((Some(_), version)) => *version,
            _ => 0,
        };
        let holds = conditions
            .iter()
            .all(|entry| version_of(&all, &key_of(entry)) == entry.number("ver").unwrap_or(0));
        if !holds {
            let keys = conditions.iter().map(key_of);
            let rows: Vec<String> = keys.filter_map(|key| row_json(&all, &key)).collect();
            return self.respond(412, &rows, false, all.version);
        }
        all.version += 1;
        let version = all.version;
        for write in writes {
            let value = write.text("value").to_owned();
            all.rows.insert(key_of(write), (Some(value), version));
        }
        for removal in removals {
            if let Some(row) = all.rows.get_mut(&key_of(removal)) {
                *row = (None, version);
            }
        }
        self.changed.notify_all();
        self.respond(200, &[], false, version)
    }

    fn rows(&self, query: &BTreeMap<String, String>) -> Reply {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, target) = (text("table"), text("part"), text("target"));
        let limit = text("limit").parse().unwrap_or(MAX_ROWS).clamp(1, MAX_ROWS);
        let all = self.table.lock().unwrap();
        let from = (table.clone(), part.clone(), text("from"));
        let keys = all.rows.range(from..).map(|(key, _)| key);
        let keys = keys.take_while(|key| {
            key.0 == table && key.1 == part && (target.is_empty() || key.2 < target)
        });
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for row in keys.filter_map(|key| row_json(&all, key)) {
            if rows.len() == limit || bytes + row.len() > MAX_CALL_BYTES {
                more = true;
                break;
            }
            bytes += row.len();
            rows.push(row);
        }
        self.respond(200, &rows, more, all.version)
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> Reply {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let table = query.get("table").cloned().unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut all = self.table.lock().unwrap();
        loop {
            let first = (table.clone(), String::new(), String::new());
            let rows = all
                .rows
                .range(first..)
                .take_while(|(key, _)| key.0 == table);
            let mut newer: Vec<(u64, String)> = rows
                .filter(|(_, (_, version))| *version > after)
                .map(|(key, (value, version))| {
                    (*version, feed_json(key, value.as_deref(), *version))
                })
                .collect();
            newer.sort();
            if !newer.is_empty() {
                // Cut at a whole version, so that the reader can resume from it.
                let mut cut = newer.len();
                if newer.len() > MAX_ROWS {
                    cut = MAX_ROWS;
                    while cut > 1 && newer[cut - 1].0 == newer[cut].0 {
                        cut -= 1;
                    }
                }
                let more = cut < newer.len();
                let version = if more { newer[cut - 1].0 } else { all.version };
                let rows: Vec<String> = newer.into_iter().take(cut).map(|(_, row)| row).collect();
                return self.respond(200, &rows, more, version);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return self.respond(200, &[], false, all.version);
            }
            all = self.changed.wait_timeout(all, left).unwrap().0;
        }
    }

    fn respond(&self, status: u16, rows: &[String], more: bool, version: u64) -> Reply {
        let now_ms = self.started.elapsed().as_millis() + 1;
        reply(
            status,
            format!(
                r#"{{"rows":[{}],"has_more":{more},"ver":{version},"now_ms":{now_ms}}}"#,
                rows.join(",")
            ),
        )
    }
}

fn key_of(entry: &Json) -> Key {
    let text = |name: &str| entry.text(name).to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json(all: &Table, key: &Key) -> Option<String> {
    let (value, version) = all.rows.get(key)?;
    Some(feed_json(key, Some(value.as_ref()?), *version))
}

fn feed_json(key: &Key, value: Option<&str>, version: u64) -> String {
    let content = match value {
        Some(value) => format!(r#""value":{}"#, quote(value)),
        None => r#""removed":true"#.to_owned(),
    };
    format!(
        r#"{{"table":{},"part":{},"key":{},{content},"ver":{version}}}"#,
        quote(&key.0),
        quote(&key.1),
        quote(&key.2)
    )
}

fn query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), percent_decode(value)))
        .collect()
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match (
            bytes[at],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = (word >> (18 - 6 * index)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn decode64(text: &str) -> Vec<u8> {
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else {
            continue;
        };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}
