//! Gossip membership and failure detection of the entry instances: direct and
//! indirect probes before suspicion, incarnation numbers, and updates carried
//! on the probes.
//!
//! The messages that a process sends per second do not depend on the number of
//! members; its memory grows with that number.

mod gossip_message;
mod member;
mod members;
mod membership_settings;
mod probe;
mod probing;
mod update_queue;

pub use self::gossip_message::GossipMessage;
pub use self::gossip_message::OutgoingGossip;
pub use self::member::Member;
pub use self::member::MemberStatus;
pub use self::members::Membership;
pub use self::membership_settings::MembershipSettings;
