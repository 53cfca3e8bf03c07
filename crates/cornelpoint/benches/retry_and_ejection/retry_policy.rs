use cornelpoint::retry::RetryBudget;

/// Retry rules that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Only requests that did not run are retried.
    None,
    /// Up to three sends, without a budget.
    Unlimited,
    /// Up to three sends, with a retry budget of this percentage.
    Budget(u32),
    /// Same as `Budget`, but after a lost connection the request waits until
    /// its endpoint is back.
    WaitForReturn(u32),
}

impl RetryPolicy {
    pub const ALL: [Self; 5] = [
        Self::None,
        Self::Unlimited,
        Self::Budget(10),
        Self::Budget(20),
        Self::WaitForReturn(20),
    ];

    pub fn title(self) -> String {
        match self {
            Self::None => "none".to_owned(),
            Self::Unlimited => "up to 3 sends".to_owned(),
            Self::Budget(percent) => format!("budget {percent} %"),
            Self::WaitForReturn(percent) => format!("budget {percent} %, waits for return"),
        }
    }

    pub fn budget(self) -> RetryBudget {
        match self {
            Self::None => RetryBudget::new(0, 0),
            Self::Unlimited => RetryBudget::new(1_000_000, 1_000_000),
            Self::Budget(percent) | Self::WaitForReturn(percent) => RetryBudget::new(percent, 1),
        }
    }

    pub fn waits(self) -> bool {
        matches!(self, Self::WaitForReturn(_))
    }
}
