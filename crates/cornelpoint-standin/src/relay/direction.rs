/// A direction through a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connects to the target.
    ToTarget,
    /// From the target to the side that connects.
    FromTarget,
}
