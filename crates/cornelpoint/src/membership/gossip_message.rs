use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::member::Member;

/// A datagram between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Asks for an answer.
    Ping {
        /// Number that the answer repeats.
        sequence: u64,
        /// The sender as it sees itself.
        from: Member,
        /// News of other members.
        #[serde(rename = "news")]
        updates: Vec<Member>,
    },
    /// Asks a third member to probe for the sender.
    PingRequest {
        /// Number that the answer repeats.
        sequence: u64,
        /// The sender as it sees itself.
        from: Member,
        /// Address to probe.
        target: SocketAddr,
    },
    /// Answers a ping.
    Ack {
        /// Number of the ping.
        sequence: u64,
        /// The member that was probed, as it sees itself.
        from: Member,
        /// News of other members.
        #[serde(rename = "news")]
        updates: Vec<Member>,
    },
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingGossip {
    /// Address to send to.
    pub to: SocketAddr,
    /// What to send.
    pub message: GossipMessage,
}
