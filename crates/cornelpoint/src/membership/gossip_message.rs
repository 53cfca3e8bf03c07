use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::member::Member;

/// A datagram between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Probes the receiver, which answers with an `Ack`.
    Ping {
        /// Number that the answer repeats.
        sequence: u64,
        /// The sender's own state.
        from: Member,
        /// Updates about other members.
        #[serde(rename = "news")]
        updates: Vec<Member>,
    },
    /// Requests that the receiver probe a third member for the sender.
    PingRequest {
        /// Number that the answer repeats.
        sequence: u64,
        /// The sender's own state.
        from: Member,
        /// Address to probe.
        target: SocketAddr,
    },
    /// Answers a `Ping`, or a `PingRequest` once its target has answered.
    Ack {
        /// Number of the message that is answered.
        sequence: u64,
        /// The probed member's own state.
        from: Member,
        /// Updates about other members.
        #[serde(rename = "news")]
        updates: Vec<Member>,
    },
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingGossip {
    /// Address to send to.
    pub to: SocketAddr,
    /// Message to send.
    pub message: GossipMessage,
}
