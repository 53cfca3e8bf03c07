//! HTTP/1.1 for stand-ins: a server with a thread for each connection, and a
//! client that sends one request on a connection of its own.

use std::collections::BTreeMap;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
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

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    /// By lower-case name.
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

pub struct Reply {
    pub status: u16,
    pub body: String,
}

pub fn reply(status: u16, body: impl Into<String>) -> Reply {
    Reply {
        status,
        body: body.into(),
    }
}

/// A server on a loopback port. `close` resets nothing that is not its own: it
/// shuts all its connections down and frees the port.
pub struct Server {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start<H>(address: &str, handler: H) -> io::Result<Server>
    where
        H: Fn(Request) -> Reply + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let closed = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let (is_closed, open) = (Arc::clone(&closed), Arc::clone(&streams));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if is_closed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let handler = Arc::clone(&handler);
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Ok(Server {
            address,
            closed,
            streams,
        })
    }

    /// Ends the server and its connections, like a process that ends.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(Request) -> Reply) {
    let Ok(mut output) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        let answer = handler(request);
        let text = format!(
            "HTTP/1.1 {} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{}",
            answer.status,
            answer.body.len(),
            answer.body
        );
        if output.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(input: &mut impl BufRead) -> Option<Request> {
    let line = read_line(input)?;
    let mut words = line.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let (headers, body) = read_rest(input)?;
    Some(Request {
        method,
        path,
        query,
        headers,
        body,
    })
}

fn read_line(input: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let length = input.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end().to_owned())
}

fn read_rest(input: &mut impl BufRead) -> Option<(BTreeMap<String, String>, String)> {
    let mut headers = BTreeMap::new();
    loop {
        let line = read_line(input)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    Some((headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Sends a request; `None` if there is no whole response in time.
pub fn send(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes()).ok()?;
    let mut input = BufReader::new(stream);
    let status = read_line(&mut input)?;
    let status = status.split(' ').nth(1)?.parse().ok()?;
    let (_, body) = read_rest(&mut input)?;
    Some((status, body))
}
