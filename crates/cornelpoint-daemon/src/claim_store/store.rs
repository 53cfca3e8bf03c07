use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Instant;

use cornelpoint::claim::AnswerBody;
use cornelpoint::claim::ClaimId;
use cornelpoint::claim::ClaimRequest;
use cornelpoint::claim::ClaimRowName;
use cornelpoint::claim::Fingerprint;
use cornelpoint::claim::HeldClaim;
use cornelpoint::claim::SendCheck;
use cornelpoint::claim::SendPermit;
use cornelpoint::claim::StoredAnswer;
use cornelpoint::request::Refusal;

use super::claim_clock::ClaimClock;
use super::claim_decision::ClaimDecision;
use super::claim_store_dump::ClaimStoreDump;
use super::claim_store_settings::ClaimStoreSettings;
use super::complete_answer::CompleteAnswer;
use super::event::ClaimResult;
use super::event::Event;
use super::object_thread;
use super::read_thread;
use super::store_loop::CallQueues;
use super::store_loop::StoreLoop;
use super::table_thread;
use crate::platform_client::PlatformClient;

/// Events that may be queued for the decision thread.
const EVENT_QUEUE_LENGTH: usize = 8192;
/// Calls that may be queued for a thread that makes them.
const CALL_QUEUE_LENGTH: usize = 4;
/// Large answers that may be queued for the object store.
const OBJECT_QUEUE_LENGTH: usize = 64;

/// Handle of the gateway's claims; callers' threads have copies of it.
#[derive(Clone, Debug)]
pub struct ClaimStore {
    events: SyncSender<Event>,
    client: PlatformClient,
    clock: ClaimClock,
    next_id: Arc<AtomicU64>,
}

impl ClaimStore {
    /// Claims a key for a request, or determines the result of the earlier
    /// attempt that holds it. Blocks until that is known, at most until the
    /// deadline.
    #[must_use]
    pub fn claim(
        &self,
        row_name: &ClaimRowName,
        fingerprint: Fingerprint,
        deadline: Instant,
    ) -> ClaimDecision {
        let deadline_ms = self.clock.millis_of(deadline);
        let request = ClaimRequest {
            id: ClaimId(self.next_id.fetch_add(1, Ordering::Relaxed)),
            row_name: row_name.clone(),
            fingerprint,
            decide_by_ms: deadline_ms,
            deadline_ms,
        };
        let (reply, result) = sync_channel(1);
        if self.events.try_send(Event::Claim(request, reply)).is_err() {
            return ClaimDecision::Refused(Refusal::ClaimUnavailable);
        }
        match result.recv() {
            Ok(ClaimResult::Granted(claim)) => ClaimDecision::Granted(claim),
            Ok(ClaimResult::Answered(answer)) => self.fetch(answer),
            Ok(ClaimResult::Refused(refusal)) => ClaimDecision::Refused(refusal),
            Err(_) => ClaimDecision::Refused(Refusal::ClaimUnavailable),
        }
    }

    /// Checks just before the first byte is sent that it is not too late.
    #[must_use]
    pub fn begin_send(&self, claim: HeldClaim) -> SendCheck {
        claim.begin_send(self.clock.now_ms())
    }

    /// Releases the claim of a request that did not run, so that a repeat may
    /// run.
    pub fn release(&self, claim: HeldClaim) {
        self.notify(Event::Release(claim));
    }

    /// Stores the complete answer for repeats.
    pub fn store_answer(&self, permit: SendPermit, answer: CompleteAnswer) {
        self.notify(Event::Answered(permit, answer));
    }

    /// Records that a request may have run and that no answer will arrive.
    pub fn store_unresolved(&self, permit: SendPermit) {
        self.notify(Event::Unresolved(permit));
    }

    /// Returns the state and counters; `None` if the store is stopping or its
    /// event queue is full.
    #[must_use]
    pub fn dump(&self) -> Option<ClaimStoreDump> {
        let (reply, dump) = sync_channel(1);
        self.events.try_send(Event::Dump(reply)).ok()?;
        dump.recv().ok()
    }

    /// Queues an event. A settlement that finds the queue full is dropped: the
    /// claim then stays unresolved, which is correct.
    fn notify(&self, event: Event) {
        let _ = self.events.try_send(event);
    }

    fn fetch(&self, answer: StoredAnswer) -> ClaimDecision {
        let body = match answer.body {
            AnswerBody::Inline { bytes } => Some(bytes),
            AnswerBody::Object { name, length_bytes } => self.fetch_object(&name, length_bytes),
        };
        match body {
            Some(body) => ClaimDecision::Answered(CompleteAnswer {
                status: answer.status,
                headers: answer.headers,
                body,
            }),
            None => ClaimDecision::Refused(Refusal::ClaimUnresolved),
        }
    }

    fn fetch_object(&self, name: &str, length_bytes: u64) -> Option<Vec<u8>> {
        let object = self.client.get_object(name).ok()??;
        (object.len() as u64 == length_bytes).then_some(object)
    }
}

/// The claim store's threads; dropping it ends them at once.
#[derive(Debug)]
pub struct RunningClaimStore {
    store: ClaimStore,
    threads: Vec<JoinHandle<()>>,
}

impl RunningClaimStore {
    /// Starts the threads.
    #[must_use]
    pub fn start(settings: &ClaimStoreSettings, client: PlatformClient) -> Self {
        let clock = ClaimClock::start();
        let (events, event_queue) = sync_channel(EVENT_QUEUE_LENGTH);
        let (table, table_calls) = sync_channel(CALL_QUEUE_LENGTH);
        let (read, read_calls) = sync_channel(CALL_QUEUE_LENGTH);
        let (object, object_calls) = sync_channel(OBJECT_QUEUE_LENGTH);
        let store_loop = StoreLoop::new(
            settings,
            clock,
            event_queue,
            CallQueues {
                table,
                read,
                object,
            },
        );
        let [for_table, for_read, for_object] = [0, 1, 2].map(|_| (client.clone(), events.clone()));
        let threads = vec![
            thread::spawn(move || store_loop.run()),
            thread::spawn(move || table_thread::run(&for_table.0, &table_calls, &for_table.1)),
            thread::spawn(move || read_thread::run(&for_read.0, &read_calls, &for_read.1)),
            thread::spawn(move || object_thread::run(&for_object.0, &object_calls, &for_object.1)),
        ];
        let store = ClaimStore {
            events,
            client,
            clock,
            next_id: Arc::new(AtomicU64::new(0)),
        };
        Self { store, threads }
    }

    /// Returns a handle for callers' threads.
    #[must_use]
    pub fn store(&self) -> ClaimStore {
        self.store.clone()
    }

    /// Completes the pending writes, at most until the deadline, and ends the threads.
    pub fn stop(mut self, deadline: Instant) {
        self.end(self.store.clock.millis_of(deadline));
    }

    fn end(&mut self, deadline_ms: u64) {
        // Sending fails only if the loop has already ended.
        let _ = self.store.events.send(Event::Stop(deadline_ms));
        for thread in self.threads.drain(..) {
            // A panic of a thread has already been printed.
            let _ = thread.join();
        }
    }
}

impl Drop for RunningClaimStore {
    fn drop(&mut self) {
        self.end(0);
    }
}
