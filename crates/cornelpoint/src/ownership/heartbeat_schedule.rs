use std::collections::BTreeSet;

/// Base interval between heartbeats.
const BASE_INTERVAL_MS: u64 = 400;
/// Added to the interval for each peer, so that many peers do not overload a
/// small instance.
const INTERVAL_PER_PEER_MS: u64 = 8;
/// Longest interval of an owner. Its store heartbeat has to be stale as well
/// before it is replaced, so that a shorter one would not replace it sooner.
const MAX_OWNER_INTERVAL_MS: u64 = 600;
/// Shortest time between two early heartbeats. Changes that are closer together
/// are reported together.
const MIN_EARLY_INTERVAL_MS: u64 = 20;

/// Processes to which a heartbeat is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Recipients {
    /// All known processes.
    All,
    /// The owner of the fleet, which uses the reports of pools.
    FleetOwner,
    /// The owners of pools, which vacate workers for the fleet's owner.
    PoolOwners,
}

/// Decides when a process sends heartbeats, and to which others.
///
/// Regular heartbeats go to all processes. A surge changes the pools' reports
/// and the workers to vacate many times a second, which concerns only the owners:
/// among a hundred processes, such changes would cost thousands of messages a
/// second if they were sent to all of them.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatSchedule {
    requested: BTreeSet<Recipients>,
    next_regular_ms: u64,
    last_sent_ms: u64,
}

impl HeartbeatSchedule {
    /// Returns the time in milliseconds until the next regular heartbeat.
    ///
    /// ```
    /// use cornelpoint::ownership::HeartbeatSchedule;
    ///
    /// assert_eq!(HeartbeatSchedule::interval_ms(8, false), 464);
    /// assert_eq!(HeartbeatSchedule::interval_ms(96, false), 1168);
    /// assert_eq!(HeartbeatSchedule::interval_ms(96, true), 600);
    /// ```
    #[must_use]
    pub fn interval_ms(peers: u64, is_owner: bool) -> u64 {
        let interval_ms = BASE_INTERVAL_MS + INTERVAL_PER_PEER_MS * peers;
        if is_owner {
            interval_ms.min(MAX_OWNER_INTERVAL_MS)
        } else {
            interval_ms
        }
    }

    /// Requests a heartbeat before the next regular one.
    ///
    /// ```
    /// use cornelpoint::ownership::HeartbeatSchedule;
    /// use cornelpoint::ownership::Recipients;
    ///
    /// let mut schedule = HeartbeatSchedule::default();
    /// assert!(schedule.take_due(1000, 600).contains(&Recipients::All));
    /// schedule.request(Recipients::FleetOwner);
    /// assert_eq!(schedule.due_ms(), 1020);
    /// assert!(!schedule.take_due(1020, 600).contains(&Recipients::All));
    /// assert_eq!(schedule.due_ms(), 1600);
    /// ```
    pub fn request(&mut self, recipients: Recipients) {
        self.requested.insert(recipients);
    }

    /// Returns when the next heartbeat is due, by the clock of
    /// [`Self::take_due`].
    #[must_use]
    pub fn due_ms(&self) -> u64 {
        if self.requested.is_empty() {
            return self.next_regular_ms;
        }
        let early_ms = self.last_sent_ms + MIN_EARLY_INTERVAL_MS;
        early_ms.min(self.next_regular_ms)
    }

    /// Returns the recipients of the heartbeat that is due, none if none is due.
    /// Regular heartbeats are `interval_ms` apart.
    pub fn take_due(&mut self, now_ms: u64, interval_ms: u64) -> BTreeSet<Recipients> {
        if now_ms < self.due_ms() {
            return BTreeSet::new();
        }
        let mut recipients = std::mem::take(&mut self.requested);
        if now_ms >= self.next_regular_ms {
            recipients.insert(Recipients::All);
        }
        if recipients.contains(&Recipients::All) {
            self.next_regular_ms = now_ms + interval_ms;
        }
        self.last_sent_ms = now_ms;
        recipients
    }
}
