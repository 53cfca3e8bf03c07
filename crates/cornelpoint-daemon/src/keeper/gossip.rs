use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use cornelpoint::membership::GossipMessage;

use super::command::Command;
use super::state_handle::StateHandle;

/// Largest gossip datagram that is received.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Receives datagrams until `stop` is set; the socket's read timeout bounds the
/// delay. Malformed datagrams are ignored, and messages are dropped while the
/// command queue is full.
pub(super) fn receive(socket: &UdpSocket, state_handle: &StateHandle, stop: &Arc<AtomicBool>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while !stop.load(Ordering::Relaxed) {
        let Ok(length) = socket.recv(&mut buffer) else {
            continue;
        };
        let Some(datagram) = buffer.get(..length) else {
            continue;
        };
        if let Ok(message) = rmp_serde::from_slice::<GossipMessage>(datagram) {
            state_handle.try_send(Command::Gossip(message));
        }
    }
}
