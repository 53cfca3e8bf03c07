//! A small HTTP/1.1 server and client for loopback addresses.

use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// Status of a handler that gives no answer; the connection is closed.
pub const NO_ANSWER: u16 = 0;

/// A request as received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let (_, value) = headers.find(|(known, _)| known == name)?;
        Some(value)
    }

    /// Returns the body as JSON, `null` if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> String {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(known, _)| *known == name);
        found.map(|(_, value)| decode(value)).unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3);
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
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

type Handler = Arc<dyn Fn(Request) -> (u16, Value) + Send + Sync>;

/// A server that can be ended like a process that is killed.
pub struct Server {
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves a loopback address; port 0 takes a free one.
    pub fn start(port: u16, handler: Handler) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", port))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let ended = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (of_thread, kept) = (Arc::clone(&ended), Arc::clone(&streams));
        thread::spawn(move || {
            while !of_thread.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => accept(stream, &kept, &handler),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(10)),
                }
            }
        });
        Ok(Self {
            address,
            ended,
            streams,
        })
    }

    /// Closes the port and all connections at once.
    pub fn kill(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().expect("streams").drain(..) {
            // It may be closed already.
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn accept(stream: TcpStream, kept: &Mutex<Vec<TcpStream>>, handler: &Handler) {
    if stream.set_nonblocking(false).is_err() || stream.set_nodelay(true).is_err() {
        return;
    }
    if let Ok(copy) = stream.try_clone() {
        kept.lock().expect("streams").push(copy);
    }
    let handler = Arc::clone(handler);
    thread::spawn(move || {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = handler(request);
            if status == NO_ANSWER {
                // It may be closed already.
                let _ = writer.shutdown(std::net::Shutdown::Both);
                return;
            }
            let body = if body.is_null() {
                String::new()
            } else {
                body.to_string()
            };
            let head = format!(
                "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if writer
                .write_all(format!("{head}{body}").as_bytes())
                .is_err()
            {
                return;
            }
        }
    });
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first, headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut (impl BufRead + Read)) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

/// Sends one request; `None` without a whole answer within the timeout.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\ncornelpoint-deadline-ms: {}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
