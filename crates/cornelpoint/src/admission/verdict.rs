use super::fair_shares::ShareClass;

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No commit has succeeded lately, so that no job could be stored.
    StoreStalled,
    /// A task fits no known worker.
    FitsNoWorker,
    /// The jobs that are accepted leave too little memory.
    NoMemory,
    /// Accepted work takes longer than the job's objective allows.
    NoCapacity,
    /// The same, for a tenant whose jobs exceed its share or its weight in jobs a second.
    BeyondShare,
    /// By the time that there is capacity, the job is worth nothing.
    TooLate,
}

impl RefusalReason {
    /// Returns the name that log lines and metrics use.
    ///
    /// ```
    /// use cornelpoint::admission::RefusalReason;
    ///
    /// assert_eq!(RefusalReason::TooLate.name(), "too_late");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::StoreStalled => "store_stalled",
            Self::FitsNoWorker => "fits_no_worker",
            Self::NoMemory => "no_memory",
            Self::NoCapacity => "no_capacity",
            Self::BeyondShare => "beyond_share",
            Self::TooLate => "too_late",
        }
    }
}

/// Decision on a submitted job, with its inputs for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Why the job is refused; `None` if it is admitted.
    pub refused: Option<RefusalReason>,
    /// Time after which the caller may retry; 0 if the job is admitted.
    pub retry_after_ms: u64,
    /// Time that the job waits for work that goes before it.
    pub wait_ms: u64,
    /// Longest such wait for which the job is admitted.
    pub allowed_ms: u64,
    /// Whether the job's tenant is owed capacity for it.
    pub class: ShareClass,
}

impl Verdict {
    /// Returns a refusal that doesn't depend on the wait.
    #[must_use]
    pub fn refuse(reason: RefusalReason, retry_after_ms: u64) -> Self {
        Self {
            refused: Some(reason),
            retry_after_ms,
            wait_ms: 0,
            allowed_ms: 0,
            class: ShareClass::Owed,
        }
    }
}
