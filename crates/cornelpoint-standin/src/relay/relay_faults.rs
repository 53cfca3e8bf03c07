use serde::Deserialize;
use serde::Serialize;

use super::direction::Direction;

/// Which bytes a relay discards.
///
/// A connection that lost bytes is closed when the relay heals, because its two
/// ends no longer agree on the byte stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cut {
    /// No bytes.
    #[default]
    None,
    /// Bytes to the target.
    ToTarget,
    /// Bytes from the target.
    FromTarget,
    /// All bytes.
    Both,
}

impl Cut {
    pub(super) fn discards(self, direction: Direction) -> bool {
        match self {
            Self::None => false,
            Self::ToTarget => direction == Direction::ToTarget,
            Self::FromTarget => direction == Direction::FromTarget,
            Self::Both => true,
        }
    }
}

/// Faults of a relay; all are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFaults {
    /// Connections are refused.
    pub refuse: bool,
    /// Bytes that are discarded.
    pub cut: Cut,
    /// Delay of each chunk of data, in each direction.
    pub delay_ms: u64,
}
