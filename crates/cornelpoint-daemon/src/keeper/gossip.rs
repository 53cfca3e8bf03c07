use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use cornelpoint::membership::GossipMessage;

use super::state_handle::StateHandle;

/// Largest gossip datagram that is received. Members send up to ten entries of at most 250
/// bytes each.
const MAX_DATAGRAM_BYTES: usize = 4 * 1024;

/// Receives datagrams until `stop` is set; the socket's read timeout bounds the
/// delay. Malformed and oversized datagrams are ignored, and messages are dropped while too
/// many wait.
pub(super) fn receive(socket: &UdpSocket, state_handle: &StateHandle, stop: &Arc<AtomicBool>) {
    // A longer datagram is cut to one byte more than the largest.
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    while !stop.load(Ordering::Relaxed) {
        let Ok(length) = socket.recv(&mut buffer) else {
            continue;
        };
        let Some(datagram) = buffer.get(..length) else {
            continue;
        };
        if datagram.len() > MAX_DATAGRAM_BYTES {
            continue;
        }
        if let Ok(message) = rmp_serde::from_slice::<GossipMessage>(datagram) {
            state_handle.offer_gossip(message);
        }
    }
}
