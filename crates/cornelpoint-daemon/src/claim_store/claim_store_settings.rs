use cornelpoint::claim::ClaimSettings;
use cornelpoint::claim::Claimant;

/// Settings of a [`ClaimStore`](super::ClaimStore).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimStoreSettings {
    /// Identity under which keys are claimed.
    pub claimant: Claimant,
    /// Seed of the random nonces and back-off times.
    pub seed: u64,
    /// Limits of the batches.
    pub claim: ClaimSettings,
    /// Largest body that is stored in a row, in bytes; larger ones go to the
    /// object store.
    pub inline_body_bytes: usize,
}

impl ClaimStoreSettings {
    /// Settings for a claimant, with defaults for the others.
    #[must_use]
    pub fn new(claimant: Claimant, seed: u64) -> Self {
        Self {
            claimant,
            seed,
            claim: ClaimSettings {
                max_concurrent_calls: 1,
                ..ClaimSettings::default()
            },
            inline_body_bytes: 16 * 1024,
        }
    }
}
