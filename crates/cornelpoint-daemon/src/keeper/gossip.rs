use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use cornelpoint::membership::GossipMessage;

use super::command::Command;
use super::core_handle::CoreHandle;

/// Largest datagram that is read, in bytes.
const DATAGRAM_LIMIT_BYTES: usize = 64 * 1024;

/// Reads datagrams until told to stop; the socket has a read timeout.
pub(super) fn receive(socket: &UdpSocket, core: &CoreHandle, stop: &Arc<AtomicBool>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT_BYTES];
    while !stop.load(Ordering::Relaxed) {
        let Ok(length) = socket.recv(&mut buffer) else {
            continue;
        };
        let Some(datagram) = buffer.get(..length) else {
            continue;
        };
        if let Ok(message) = rmp_serde::from_slice::<GossipMessage>(datagram) {
            core.offer(Command::Gossip(message));
        }
    }
}
