use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

/// What the command line takes from around it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Environment {
    /// `CORNELPOINT_KEEPER`: address of a keeper.
    pub keeper: Option<String>,
    /// `CORNELPOINT_OPERATOR` or `USER`: name of the operator.
    pub operator: Option<String>,
    /// Number from which the token of a new accept is made.
    pub random: u64,
}

impl Environment {
    /// The environment of this process.
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
