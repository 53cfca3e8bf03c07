use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use crate::job::JobId;

use super::fair_shares::ShareClass;

/// Largest number of refused jobs that are kept: a surge of 400 refusals a second over the
/// longest Retry-After of a job that may still be served.
const MAX_PROMISES: usize = 4096;
/// Time after which a caller that hasn't returned no longer has its place kept. Clients
/// return at the second named, some of them over slow links.
const GRACE_MS: u64 = 500;
/// Latest time for which a return is promised.
const MAX_RETURN_S: u64 = 30;

/// What is known of a refused job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Promise {
    /// When the job was first submitted.
    pub first_ms: u64,
    /// When its caller was told to return.
    pub return_ms: u64,
    /// Room that it takes, in core-milliseconds; 0 if it can no longer be served.
    pub work_core_ms: u64,
    /// Whether it can then be in time, so that the room is kept for it. Otherwise it gets
    /// room that no other job needs.
    pub in_time: bool,
    /// Whether its tenant is owed capacity for it.
    pub class: ShareClass,
}

/// Times at which refused callers were told to return, and the room kept for them.
#[derive(Clone, Debug, Default)]
pub struct ReturnBook {
    promises: HashMap<JobId, Promise>,
    /// Order of the promises, oldest first. May name jobs that are no longer in the book.
    order: VecDeque<(JobId, u64)>,
    /// Room promised, by the second of the return: kept for jobs in time, and for all.
    promised_core_ms: BTreeMap<u64, (u64, u64)>,
}

impl ReturnBook {
    /// Returns what is known of a refused job.
    #[must_use]
    pub fn get(&self, id: JobId) -> Option<&Promise> {
        self.promises.get(&id)
    }

    /// Whether a job is back at the time for which room is kept for it.
    #[must_use]
    pub fn is_on_time(&self, id: JobId, now_ms: u64) -> bool {
        self.promises.get(&id).is_some_and(|promise| {
            let kept = promise.return_ms..=promise.return_ms + 2 * GRACE_MS;
            promise.in_time && kept.contains(&(now_ms + GRACE_MS))
        })
    }

    /// Returns the room kept for callers that return until a time, in core-milliseconds.
    #[must_use]
    pub fn kept_core_ms(&self, until_ms: u64) -> u64 {
        let promised = self.promised_core_ms.range(..=until_ms / 1000);
        promised.map(|(_, (kept, _))| kept).sum()
    }

    /// Returns the first whole second from now at which the work ahead is done, the room
    /// kept for others included, or `None` if there is none within a bound.
    ///
    /// ```
    /// use cornelpoint::admission::Promise;
    /// use cornelpoint::admission::ReturnBook;
    /// use cornelpoint::admission::ShareClass;
    ///
    /// let mut book = ReturnBook::default();
    /// // One core, half a second of work ahead.
    /// assert_eq!(book.first_free_s(500, 1000, 0), Some(1));
    /// let promise = Promise {
    ///     first_ms: 0,
    ///     return_ms: 1000,
    ///     work_core_ms: 1000,
    ///     in_time: true,
    ///     class: ShareClass::Owed,
    /// };
    /// book.promise("0000000000000001".parse().unwrap(), promise, 0);
    /// assert_eq!(book.first_free_s(500, 1000, 0), Some(2));
    /// ```
    #[must_use]
    pub fn first_free_s(
        &self,
        ahead_core_ms: u64,
        free_millicores: u64,
        now_ms: u64,
    ) -> Option<u64> {
        (1..=MAX_RETURN_S).find(|second| {
            let until_s = now_ms / 1000 + second;
            let promised = self.promised_core_ms.range(..=until_s);
            let promised: u64 = promised.map(|(_, (_, all))| all).sum();
            ahead_core_ms + promised <= free_millicores.saturating_mul(*second)
        })
    }

    /// Keeps room for a caller that is told when to return.
    pub fn promise(&mut self, id: JobId, promise: Promise, now_ms: u64) {
        self.remove(id);
        self.promises.insert(id, promise);
        self.order.push_back((id, promise.return_ms));
        let second = promise.return_ms / 1000;
        let (kept, all) = self.promised_core_ms.entry(second).or_default();
        *all += promise.work_core_ms;
        if promise.in_time {
            *kept += promise.work_core_ms;
        }
        while self.order.len() > MAX_PROMISES
            && let Some((oldest, return_ms)) = self.order.pop_front()
        {
            if self
                .promises
                .get(&oldest)
                .is_some_and(|known| known.return_ms == return_ms)
            {
                self.remove(oldest);
            }
        }
        self.drop_missed(now_ms);
    }

    /// Forgets a job, which is admitted or promised another time.
    pub fn remove(&mut self, id: JobId) {
        let Some(promise) = self.promises.remove(&id) else {
            return;
        };
        let second = promise.return_ms / 1000;
        if let Some((kept, all)) = self.promised_core_ms.get_mut(&second) {
            *all = all.saturating_sub(promise.work_core_ms);
            if promise.in_time {
                *kept = kept.saturating_sub(promise.work_core_ms);
            }
        }
    }

    /// Gives up the room of callers that haven't returned.
    pub fn drop_missed(&mut self, now_ms: u64) {
        // The room of a second is kept until its last caller is late.
        let missed = now_ms.saturating_sub(1000 + GRACE_MS) / 1000;
        self.promised_core_ms = self.promised_core_ms.split_off(&missed);
    }

    /// Returns the number of refused jobs that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Whether no refused job is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }
}
