use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;

use cornelpoint::tenant::ConfirmationSource;
use cornelpoint_platform::call::Call;
use cornelpoint_platform::call::Method;
use slog::info;

use super::state::Node;
use crate::clock;
use crate::edge::CONFIGURATION_PATH;
use crate::message::ConfigurationRequest;
use crate::message::ConfigurationResponse;
use crate::metrics::ProcessMetrics;
use crate::store::decode;
use crate::store::encode;

/// Age of the confirmation from which peers are asked. With a store that answers, the age
/// varies between 0.5 s and 1 s; unknown keys are refused for good up to 1.5 s.
const ASK_AGE_MS: u64 = 1150;
/// Timeout of a question. Peers answer from memory.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between a question without an answer and the next one.
const UNANSWERED_INTERVAL: Duration = Duration::from_millis(100);
/// Time between an answer and the next question. While the store is slow for all processes,
/// no answer of a peer is recent enough to end the questions.
const ANSWERED_INTERVAL: Duration = Duration::from_millis(400);

/// Outcome of a question to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerOutcome {
    Confirmed,
    /// The peer has not confirmed its configuration itself, or has another version.
    NotConfirmed,
    NoAnswer,
}

impl PeerOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::NotConfirmed => "not_confirmed",
            Self::NoAnswer => "no_answer",
        }
    }
}

impl Node {
    /// Confirms the configuration through peers while reads of the store don't.
    pub(super) async fn confirm_through_peers(self: Rc<Self>) {
        let mut last_rank = 0;
        let mut last_outcome = None;
        loop {
            if !self.checks_keys() {
                self.configuration.applied.notified().await;
                continue;
            }
            let age_ms = self.configuration_age_ms();
            if let Some(left_ms) = age_ms.and_then(|age_ms| ASK_AGE_MS.checked_sub(age_ms)) {
                tokio::time::sleep(Duration::from_millis(left_ms + 1)).await;
                continue;
            }
            let Some((rank, peer, address)) = self.next_peer(last_rank) else {
                tokio::time::sleep(UNANSWERED_INTERVAL).await;
                continue;
            };
            let outcome = self.ask_peer(&address).await;
            ProcessMetrics::count(&self.metrics.peer_questions, outcome.label());
            if last_outcome.replace(outcome) != Some(outcome) {
                info!(self.platform_log, "Asked a peer to confirm the configuration.";
                    "peer" => &peer, "outcome" => outcome.label(), "age_before_ms" => age_ms,
                    "age_ms" => self.configuration_age_ms());
            }
            last_rank = rank;
            let interval = match outcome {
                PeerOutcome::NoAnswer => UNANSWERED_INTERVAL,
                PeerOutcome::Confirmed | PeerOutcome::NotConfirmed => ANSWERED_INTERVAL,
            };
            tokio::time::sleep(interval).await;
        }
    }

    /// Returns the rank, the name and the address of the peer to ask after one of rank `last`.
    /// The processes of a zone lose the store together, so that each asks in an order of its own.
    fn next_peer(&self, last: u64) -> Option<(u64, String, String)> {
        let planner = self.planner.borrow();
        let peers = planner.peers_with_store(clock::now().steady_ms);
        let ranked = peers.map(|(name, address)| {
            let mut hasher = DefaultHasher::new();
            (&self.settings.node, name).hash(&mut hasher);
            (hasher.finish(), name, address)
        });
        let next = ranked.min_by_key(|(rank, ..)| (*rank <= last, *rank))?;
        let (rank, name, address) = next;
        Some((rank, name.to_owned(), address.to_owned()))
    }

    async fn ask_peer(&self, address: &str) -> PeerOutcome {
        let request = ConfigurationRequest {
            version: self.catalog().map_or(0, |catalog| catalog.version),
        };
        let call = Call {
            method: Method::Post,
            path: CONFIGURATION_PATH.to_owned(),
            headers: Vec::new(),
            body: encode(&request),
        };
        // The answer counts from here, however long the question waits.
        let sent_ms = clock::now().steady_ms;
        let answer = self.peer(address).send(&call, ASK_TIMEOUT).await;
        let response = answer
            .ok()
            .and_then(|answer| decode::<ConfigurationResponse>(&answer.body));
        let Some(response) = response else {
            return PeerOutcome::NoAnswer;
        };
        if let Some(text) = &response.configuration {
            self.apply_peer_configuration(text.as_bytes());
        }
        let confirmed = self.configuration.update(|confirmation| {
            confirmation.peer_answered(response.version, response.age_ms, sent_ms)
        });
        if !confirmed {
            return PeerOutcome::NotConfirmed;
        }
        self.record_confirmation(ConfirmationSource::Peer);
        PeerOutcome::Confirmed
    }
}
