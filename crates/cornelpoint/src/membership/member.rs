use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::AvailabilityZone;
use crate::name::InstanceId;

/// Status of a member. Within an incarnation, a later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberStatus {
    /// It answers probes.
    Live,
    /// It did not answer a probe, and may refute that within the suspicion
    /// time.
    Suspect,
    /// It did not refute the suspicion in time.
    Failed,
    /// It announced that it stops.
    Left,
}

/// State of an entry instance, as carried by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Instance of the member.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// Orders the updates about the member; only the member itself raises it.
    /// It starts as the process's start time, in milliseconds since the Unix
    /// epoch.
    pub incarnation: u64,
    /// Status of the member.
    pub status: MemberStatus,
    /// Address of the HTTP interface of its keeper.
    pub keeper_address: SocketAddr,
    /// Address that probes are sent to.
    pub gossip_address: SocketAddr,
}

impl Member {
    /// Returns whether this update replaces another one about the same member.
    ///
    /// The higher incarnation wins. Within an incarnation, the later variant of
    /// [`MemberStatus`] wins.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }

    /// Returns whether the member may be assigned duties: it is live or only
    /// suspected.
    #[must_use]
    pub fn is_present(&self) -> bool {
        match self.status {
            MemberStatus::Live | MemberStatus::Suspect => true,
            MemberStatus::Failed | MemberStatus::Left => false,
        }
    }
}
