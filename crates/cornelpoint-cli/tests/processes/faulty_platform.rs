use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

/// Answer to a read of rows that do not exist: an empty list in `MessagePack`.
const NO_ROWS: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\nconnection: close\r\n\r\n\x90";

/// Starts a platform without rows that leaves every second read, beginning with
/// the first, without an answer; it ends with the test's process.
pub fn start() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut reads = 0;
        for connection in listener.incoming() {
            let _ = serve(&connection.unwrap(), &mut reads);
        }
    });
    address
}

fn serve(mut connection: &TcpStream, reads: &mut u64) -> io::Result<()> {
    let mut reader = BufReader::new(connection);
    let mut first = String::new();
    reader.read_line(&mut first)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if line.is_empty() {
            break;
        }
    }
    reader.read_exact(&mut vec![0; length])?;
    if !first.starts_with("POST /table/read") {
        return Ok(());
    }
    *reads += 1;
    if reads.is_multiple_of(2) {
        connection.write_all(NO_ROWS)?;
    }
    Ok(())
}
