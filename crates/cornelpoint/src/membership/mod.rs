//! Which entry instances are up: probes with indirect probes before
//! suspicion, incarnation numbers, and news carried on the probes.
//!
//! The work of a process each second does not depend on the number of
//! members; its memory grows with it.

mod gossip_message;
mod member;
mod members;
mod membership_settings;
mod news;
mod probe;
mod probing;

pub use self::gossip_message::GossipMessage;
pub use self::gossip_message::OutgoingGossip;
pub use self::member::Member;
pub use self::member::MemberStatus;
pub use self::members::Membership;
pub use self::membership_settings::MembershipSettings;
