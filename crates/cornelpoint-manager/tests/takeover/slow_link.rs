use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Bytes that are carried at once.
const SEGMENT_BYTES: usize = 4096;

/// Opens an address from which connections lead to another one, over a link that
/// carries so many bytes a second each way for all of them together.
pub fn open(to: SocketAddr, bytes_per_s: u64) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((to.ip(), 0))?;
    let address = listener.local_addr()?;
    let directions = [0; 2].map(|_| Arc::new(Mutex::new(Instant::now())));
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            // A connection that can't be opened closes the one that led to it.
            let _ = connect(near, to, &directions, bytes_per_s);
        }
    });
    Ok(address)
}

fn connect(
    near: TcpStream,
    to: SocketAddr,
    directions: &[Arc<Mutex<Instant>>; 2],
    bytes_per_s: u64,
) -> io::Result<()> {
    let far = TcpStream::connect(to)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let ends = [(near.try_clone()?, far.try_clone()?), (far, near)];
    for ((from, into), free_at) in ends.into_iter().zip(directions) {
        let free_at = Arc::clone(free_at);
        thread::spawn(move || {
            // Ends with the connection, whichever side closes it.
            let _ = carry(&from, &into, &free_at, bytes_per_s);
            let _ = from.shutdown(Shutdown::Both);
            let _ = into.shutdown(Shutdown::Both);
        });
    }
    Ok(())
}

/// Carries bytes one way; `free_at` is when the link is free again.
fn carry(
    mut from: &TcpStream,
    mut into: &TcpStream,
    free_at: &Mutex<Instant>,
    bytes_per_s: u64,
) -> io::Result<()> {
    let mut segment = [0; SEGMENT_BYTES];
    loop {
        let length = from.read(&mut segment)?;
        if length == 0 {
            return Ok(());
        }
        let arrives_at = {
            let mut free_at = free_at.lock().unwrap();
            let takes = Duration::from_micros(length as u64 * 1_000_000 / bytes_per_s);
            *free_at = (*free_at).max(Instant::now()) + takes;
            *free_at
        };
        thread::sleep(arrives_at.saturating_duration_since(Instant::now()));
        into.write_all(&segment[..length])?;
    }
}
