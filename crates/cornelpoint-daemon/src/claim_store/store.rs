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
use super::event::Decided;
use super::event::Event;
use super::object_thread;
use super::read_thread;
use super::store_loop::Calls;
use super::store_loop::StoreLoop;
use super::table_thread;
use crate::platform_client::PlatformClient;

/// Events that may wait for the thread that decides.
const EVENT_RING: usize = 8192;
/// Calls that may wait for a thread that makes them.
const CALL_RING: usize = 4;
/// Large answers that may wait for the object store.
const OBJECT_RING: usize = 64;

/// The gateway's handle to its claims; every caller's thread has a copy.
#[derive(Clone, Debug)]
pub struct ClaimStore {
    events: SyncSender<Event>,
    client: PlatformClient,
    clock: ClaimClock,
    next_id: Arc<AtomicU64>,
}

impl ClaimStore {
    /// Claims a key for a request, or finds out what became of the earlier
    /// try that holds it. Blocks until that is known, at most to the deadline.
    #[must_use]
    pub fn claim(
        &self,
        place: &ClaimRowName,
        fingerprint: Fingerprint,
        deadline: Instant,
    ) -> ClaimDecision {
        let deadline_ms = self.clock.millis_of(deadline);
        let request = ClaimRequest {
            id: ClaimId(self.next_id.fetch_add(1, Ordering::Relaxed)),
            row_name: place.clone(),
            fingerprint,
            decide_by_ms: deadline_ms,
            deadline_ms,
        };
        let (reply, decided) = sync_channel(1);
        if self.events.try_send(Event::Claim(request, reply)).is_err() {
            return ClaimDecision::Refused(Refusal::ClaimUnavailable);
        }
        match decided.recv() {
            Ok(Decided::Granted(claim)) => ClaimDecision::Granted(claim),
            Ok(Decided::Answered(answer)) => self.fetch(answer),
            Ok(Decided::Refused(refusal)) => ClaimDecision::Refused(refusal),
            Err(_) => ClaimDecision::Refused(Refusal::ClaimUnavailable),
        }
    }

    /// Looks at the clock just before the first byte is sent.
    #[must_use]
    pub fn begin_send(&self, claim: HeldClaim) -> SendCheck {
        claim.begin_send(self.clock.now_ms())
    }

    /// Says that a claimed request was not run, so that a repeat may run.
    pub fn release(&self, claim: HeldClaim) {
        self.tell(Event::Release(claim));
    }

    /// Keeps the whole answer for repeats.
    pub fn store_answer(&self, permit: SendPermit, answer: CompleteAnswer) {
        self.tell(Event::Answered(permit, answer));
    }

    /// Says that a request may have run and no answer will come.
    pub fn store_unresolved(&self, permit: SendPermit) {
        self.tell(Event::Unresolved(permit));
    }

    /// What the store holds and has done; nothing while it is stopping.
    #[must_use]
    pub fn dump(&self) -> Option<ClaimStoreDump> {
        let (reply, dump) = sync_channel(1);
        self.events.try_send(Event::Dump(reply)).ok()?;
        dump.recv().ok()
    }

    /// A settlement that finds the ring full is dropped: the claim then stays
    /// unresolved, which is true.
    fn tell(&self, event: Event) {
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
        let (events, ring) = sync_channel(EVENT_RING);
        let (table, table_calls) = sync_channel(CALL_RING);
        let (read, read_calls) = sync_channel(CALL_RING);
        let (object, object_calls) = sync_channel(OBJECT_RING);
        let store_loop = StoreLoop::new(
            settings,
            clock,
            ring,
            Calls {
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

    /// A handle for the callers' threads.
    #[must_use]
    pub fn store(&self) -> ClaimStore {
        self.store.clone()
    }

    /// Writes what is left to write, until the deadline, and ends the threads.
    pub fn stop(mut self, deadline: Instant) {
        self.end(self.store.clock.millis_of(deadline));
    }

    fn end(&mut self, deadline_ms: u64) {
        // A loop that has ended needs no word to end.
        let _ = self.store.events.send(Event::Stop(deadline_ms));
        for thread in self.threads.drain(..) {
            // A panic of a thread was printed by the thread itself.
            let _ = thread.join();
        }
    }
}

impl Drop for RunningClaimStore {
    fn drop(&mut self) {
        self.end(0);
    }
}
