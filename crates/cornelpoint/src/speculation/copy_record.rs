use super::copies::CopyOutcome;

/// Copies that lose in a row before further ones count as trials.
const MAX_LOSSES: u32 = 8;
/// Shortest time between two trials.
const TRIAL_INTERVAL_MS: u64 = 5000;

/// How copies have turned out lately.
///
/// Where a run lasts long because of its task, and not of its worker, a copy takes as long and
/// only costs work. On three played days 252 copies of 252 lost, half of them after more than
/// the usual time. After a series of losses a copy is tried now and then, until one wins.
///
/// ```
/// use cornelpoint::speculation::CopyOutcome;
/// use cornelpoint::speculation::CopyRecord;
///
/// let mut record = CopyRecord::default();
/// assert!(record.most_copies(0) > 1);
/// for _ in 0..8 {
///     record.record_outcome(CopyOutcome::Lost);
/// }
/// assert_eq!(record.most_copies(0), 1);
/// record.copy_started(0);
/// assert_eq!((record.most_copies(4999), record.most_copies(5000)), (0, 1));
/// record.record_outcome(CopyOutcome::Won);
/// assert!(record.most_copies(5000) > 1);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct CopyRecord {
    losses: u32,
    next_trial_ms: u64,
}

impl CopyRecord {
    /// Records that a copy starts.
    pub fn copy_started(&mut self, now_ms: u64) {
        self.next_trial_ms = now_ms + TRIAL_INTERVAL_MS;
    }

    /// Records how a copy turned out.
    pub fn record_outcome(&mut self, outcome: CopyOutcome) {
        match outcome {
            CopyOutcome::Won => self.losses = 0,
            CopyOutcome::Lost => self.losses = self.losses.saturating_add(1),
            CopyOutcome::Failed | CopyOutcome::Cancelled => {}
        }
    }

    /// Returns how many copies may start now.
    #[must_use]
    pub fn most_copies(&self, now_ms: u64) -> usize {
        if self.losses < MAX_LOSSES {
            return usize::MAX;
        }
        usize::from(now_ms >= self.next_trial_ms)
    }
}
