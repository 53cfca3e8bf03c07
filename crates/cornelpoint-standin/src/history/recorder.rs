use std::sync::Mutex;

use cornelpoint::configuration::Generation;
use cornelpoint::name::InstanceId;

use super::completion::Completion;
use super::completion::Outcome;
use super::history_record::History;
use super::invocation::CallId;
use super::invocation::Invocation;
use super::observation::GenerationSeen;
use super::observation::LeavingNotice;
use super::observation::PlannedStop;
use crate::clock::now_ms;
use crate::endpoint::EndpointStandIn;
use crate::lock::lock;

/// Records a history from many threads.
#[derive(Debug, Default)]
pub struct Recorder {
    history: Mutex<History>,
}

impl Recorder {
    /// Records that a call starts; must be called before its first byte is
    /// sent.
    ///
    /// ```
    /// use cornelpoint::name::InstanceId;
    /// use cornelpoint::request::Method;
    /// use cornelpoint_standin::clock::now_ms;
    /// use cornelpoint_standin::history::Invocation;
    /// use cornelpoint_standin::history::Recorder;
    ///
    /// let recorder = Recorder::default();
    /// recorder.invoke(Invocation {
    ///     gateway: InstanceId::try_from("gateway-1").unwrap(),
    ///     request: "order-7".to_owned(),
    ///     idempotency_key: None,
    ///     method: Method::Post,
    ///     body_hash: 0,
    ///     size_bytes: None,
    ///     started_ms: now_ms(),
    /// });
    /// assert_eq!(recorder.into_history().invocations.len(), 1);
    /// ```
    pub fn invoke(&self, invocation: Invocation) -> CallId {
        let mut history = lock(&self.history);
        let call = CallId(history.invocations.len() as u64 + 1);
        history.invocations.insert(call, invocation);
        call
    }

    /// Records the outcome of a call.
    pub fn complete(&self, call: CallId, outcome: Outcome) {
        let completion = Completion {
            outcome,
            ended_ms: now_ms(),
        };
        lock(&self.history).completions.insert(call, completion);
    }

    /// Records a notice that an endpoint is leaving.
    pub fn leaving(&self, instance: &InstanceId) {
        lock(&self.history).leaving_notices.push(LeavingNotice {
            instance: instance.clone(),
            from_ms: now_ms(),
            until_ms: None,
        });
    }

    /// Records that a leaving endpoint has returned.
    pub fn returned(&self, instance: &InstanceId) {
        let mut history = lock(&self.history);
        let open = |notice: &&mut LeavingNotice| notice.until_ms.is_none();
        for notice in history.leaving_notices.iter_mut().filter(open) {
            if notice.instance == *instance {
                notice.until_ms = Some(now_ms());
            }
        }
    }

    /// Records that a gateway or an endpoint is asked to stop.
    pub fn planned_stop(&self, instance: &InstanceId) {
        lock(&self.history).planned_stops.push(PlannedStop {
            instance: instance.clone(),
            at_ms: now_ms(),
        });
    }

    /// Records which generation a process applies.
    pub fn generation(&self, process: &str, generation: Generation) {
        lock(&self.history).generations.push(GenerationSeen {
            process: process.to_owned(),
            generation,
            at_ms: now_ms(),
        });
    }

    /// Records the runs and counters of an endpoint; called once, at the end of
    /// the history.
    pub fn add_endpoint(&self, endpoint: &EndpointStandIn) {
        let mut history = lock(&self.history);
        history.runs.extend(endpoint.history());
        history.endpoints.push(endpoint.dump());
    }

    /// Returns the recorded history.
    #[must_use]
    pub fn into_history(self) -> History {
        self.history
            .into_inner()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
