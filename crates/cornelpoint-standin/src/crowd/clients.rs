use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Longest wait for room to write to a process that has stopped reading.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Clients that hold their connections open until they are dropped. What a process
/// refuses or closes is no fault here.
#[derive(Debug)]
pub struct Crowd {
    connections: Vec<Option<TcpStream>>,
}

impl Crowd {
    /// Opens connections and sends the same bytes on each, in pieces of at most this size,
    /// a piece on each connection in turn.
    ///
    /// ```
    /// use std::net::TcpListener;
    ///
    /// use cornelpoint_standin::crowd::Crowd;
    ///
    /// let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    /// let crowd = Crowd::send(listener.local_addr().unwrap(), 3, b"GET / HT", 4);
    /// assert_eq!(crowd.open(), 3);
    /// ```
    #[must_use]
    pub fn send(address: SocketAddr, clients: usize, bytes: &[u8], piece_bytes: usize) -> Self {
        let open = || {
            let stream = TcpStream::connect(address).ok()?;
            stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
            Some(stream)
        };
        let mut connections: Vec<_> = (0..clients).map(|_| open()).collect();
        for piece in bytes.chunks(piece_bytes.max(1)) {
            for connection in &mut connections {
                let sent = connection
                    .as_mut()
                    .map(|stream| stream.write_all(piece).is_ok());
                if sent == Some(false) {
                    *connection = None;
                }
            }
        }
        Self { connections }
    }

    /// Returns the number of clients whose connections took all that was sent.
    #[must_use]
    pub fn open(&self) -> usize {
        self.connections.iter().flatten().count()
    }
}

/// Sends a request on one connection; returns the status of the answer, `None` without one
/// within 30 s.
#[must_use]
pub fn exchange(address: SocketAddr, request: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .ok()?;
    stream.write_all(request).ok()?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).ok()?;
    std::str::from_utf8(&head[9..]).ok()?.parse().ok()
}
