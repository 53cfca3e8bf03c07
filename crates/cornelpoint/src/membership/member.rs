use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::AvailabilityZone;
use crate::name::InstanceId;

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberStatus {
    /// It answers probes.
    Live,
    /// It did not answer; it may refute within the suspicion time.
    Suspect,
    /// It did not refute in time.
    Failed,
    /// It said that it stops.
    Left,
}

/// An entry instance as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Order of what is said of the member; only the member raises it.
    pub incarnation: u64,
    /// What is known of it.
    pub status: MemberStatus,
    /// Address of its keeper's HTTP interface.
    pub keeper_address: SocketAddr,
    /// Address for probes.
    pub gossip_address: SocketAddr,
}

impl Member {
    /// Whether this word takes the place of another about the same member.
    ///
    /// The higher incarnation wins; within one, the worse status wins.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }

    /// Whether the member may be given duties: it is live or only suspected.
    #[must_use]
    pub fn is_present(&self) -> bool {
        match self.status {
            MemberStatus::Live | MemberStatus::Suspect => true,
            MemberStatus::Failed | MemberStatus::Left => false,
        }
    }
}
