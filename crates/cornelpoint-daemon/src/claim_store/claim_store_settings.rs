use cornelpoint::claim::ClaimSettings;
use cornelpoint::claim::Claimant;

/// Settings of a [`ClaimStore`](super::ClaimStore).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimStoreSettings {
    /// Who claims.
    pub claimant: Claimant,
    /// Seed of nonces and pauses.
    pub seed: u64,
    /// Bounds of the batches.
    pub claim: ClaimSettings,
    /// Largest body that is kept in a row, in bytes; larger ones go to the
    /// object store.
    pub inline_body_bytes: usize,
}

impl ClaimStoreSettings {
    /// Settings for a claimant, the others as usual.
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
