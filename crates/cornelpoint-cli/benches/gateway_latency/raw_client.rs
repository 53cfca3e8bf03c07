use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

/// HTTP client with minimal overhead: one connection, and only answers with a
/// content-length.
pub struct RawClient {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl RawClient {
    /// Connects to an address.
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        Self {
            stream,
            buffer: vec![0; 64 * 1024],
        }
    }

    /// Sends a request without reading its answer.
    pub fn send(&mut self, request: &[u8]) {
        self.stream.write_all(request).unwrap();
    }

    /// Reads a complete answer and returns its status.
    pub fn receive(&mut self) -> u16 {
        let mut filled = 0;
        loop {
            let count = self.stream.read(&mut self.buffer[filled..]).unwrap();
            assert!(count > 0, "expected an answer, found a closed connection");
            filled += count;
            if let Some((length, status)) = answer_length(&self.buffer[..filled])
                && filled >= length
            {
                return status;
            }
        }
    }
}

fn answer_length(bytes: &[u8]) -> Option<(usize, u16)> {
    let head_length = bytes.windows(4).position(|end| end == b"\r\n\r\n")? + 4;
    let head = str::from_utf8(&bytes[..head_length])
        .unwrap()
        .to_ascii_lowercase();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let (_, rest) = head.split_once("content-length:").unwrap();
    let length: usize = rest.lines().next().unwrap().trim().parse().unwrap();
    Some((head_length + length, status))
}
