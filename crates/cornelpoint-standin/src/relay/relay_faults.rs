use serde::Deserialize;
use serde::Serialize;

use super::direction::Direction;

/// Which bytes a relay swallows.
///
/// A connection that lost bytes is closed when the relay heals, as its two
/// sides no longer agree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cut {
    /// None.
    #[default]
    None,
    /// Those to the target.
    ToTarget,
    /// Those from the target.
    FromTarget,
    /// All.
    Both,
}

impl Cut {
    pub(super) fn swallows(self, direction: Direction) -> bool {
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
    /// Bytes swallowed.
    pub cut: Cut,
    /// Delay of each piece of data, in each direction.
    pub delay_ms: u64,
}
