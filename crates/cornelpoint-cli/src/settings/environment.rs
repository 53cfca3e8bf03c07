use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

/// Input that a command takes from the environment of its process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Environment {
    /// `CORNELPOINT_KEEPER`: address of a keeper.
    pub keeper: Option<String>,
    /// `CORNELPOINT_OPERATOR` or `USER`: name of the operator.
    pub operator: Option<String>,
    /// Random number that becomes the token of a new accept.
    pub random: u64,
}

impl Environment {
    /// Reads the environment of this process.
    #[must_use]
    pub fn of_process() -> Self {
        let operator = std::env::var("CORNELPOINT_OPERATOR");
        Self {
            keeper: std::env::var("CORNELPOINT_KEEPER").ok(),
            operator: operator.or_else(|_| std::env::var("USER")).ok(),
            random: RandomState::new().hash_one(std::process::id()),
        }
    }
}
