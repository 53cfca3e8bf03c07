//! Builder of small histories.

use cornelpoint::configuration::Generation;
use cornelpoint::name::InstanceId;
use cornelpoint::request::Method;
use cornelpoint::request::RunState;
use cornelpoint_standin::endpoint::EchoAnswer;
use cornelpoint_standin::endpoint::EndpointDump;
use cornelpoint_standin::endpoint::RunRecord;
use cornelpoint_standin::endpoint::pattern;
use cornelpoint_standin::history::AnswerBody;
use cornelpoint_standin::history::CallId;
use cornelpoint_standin::history::Completion;
use cornelpoint_standin::history::GenerationSeen;
use cornelpoint_standin::history::History;
use cornelpoint_standin::history::Invocation;
use cornelpoint_standin::history::LeavingNotice;
use cornelpoint_standin::history::Outcome;
use cornelpoint_standin::history::PlannedStop;

/// A history under construction; all calls go to `gateway-1`.
#[derive(Default)]
pub struct HistoryBuilder {
    pub history: History,
}

impl HistoryBuilder {
    pub fn call(
        &mut self,
        request: &str,
        key: Option<&str>,
        method: Method,
        started_ms: u64,
    ) -> CallId {
        self.invoke(Invocation {
            gateway: instance("gateway-1"),
            request: request.to_owned(),
            idempotency_key: key.map(str::to_owned),
            method,
            body_hash: 7,
            size_bytes: None,
            started_ms,
        })
    }

    pub fn call_for_size(&mut self, request: &str, size_bytes: usize) -> CallId {
        let call = self.call(request, None, Method::Post, 0);
        let invocation = self.history.invocations.get_mut(&call).unwrap();
        invocation.size_bytes = Some(size_bytes);
        call
    }

    pub fn run(&mut self, request: &str, endpoint: &str, started_ms: u64, ended_ms: Option<u64>) {
        let run_number = self.history.runs.len() as u64 + 1;
        self.history.runs.push(RunRecord {
            instance: instance(endpoint),
            run_number,
            request: Some(request.to_owned()),
            idempotency_key: None,
            method: "POST".to_owned(),
            path: "/orders".to_owned(),
            body_hash: 7,
            started_ms,
            ended_ms,
            abandoned: false,
        });
    }

    /// Completes a call with the echo of the first run of `request`.
    pub fn answer(&mut self, call: CallId, request: &str, ended_ms: u64) {
        let method = self.history.invocations[&call].method;
        let own = |run: &&RunRecord| run.request.as_deref() == Some(request);
        let run = self.history.runs.iter().find(own).unwrap();
        let body = AnswerBody::Echo(EchoAnswer {
            instance: run.instance.clone(),
            request: run.request.clone(),
            method: method.as_str().to_owned(),
            path: run.path.clone(),
            body_hash: run.body_hash,
            run_number: run.run_number,
        });
        self.complete(call, Outcome::Answered { status: 200, body }, ended_ms);
    }

    pub fn answer_pattern(
        &mut self,
        call: CallId,
        request: &str,
        size_bytes: usize,
        ended_ms: u64,
    ) {
        self.answer_bytes(call, &pattern(request, size_bytes), ended_ms);
    }

    pub fn answer_bytes(&mut self, call: CallId, body: &[u8], ended_ms: u64) {
        let body = AnswerBody::read(body);
        self.complete(call, Outcome::Answered { status: 200, body }, ended_ms);
    }

    pub fn refuse(&mut self, call: CallId, run: RunState, ended_ms: u64) {
        let outcome = Outcome::Refused {
            status: 503,
            run,
            reason: "test".to_owned(),
        };
        self.complete(call, outcome, ended_ms);
    }

    pub fn lose(&mut self, call: CallId, ended_ms: u64) {
        let found = "connection reset".to_owned();
        self.complete(call, Outcome::Lost { found }, ended_ms);
    }

    pub fn endpoint(&mut self, endpoint: &str, peak_running: usize, over_connections: u64) {
        self.history.endpoints.push(EndpointDump {
            instance: instance(endpoint),
            leaving: false,
            leaving_since_ms: None,
            running: 0,
            abandoned: 0,
            connections: 0,
            peak_running,
            peak_connections: 0,
            over_slots: 0,
            over_connections,
            runs: 0,
            refused_leaving: 0,
            not_run: 0,
            unrecorded: 0,
        });
    }

    pub fn leave(&mut self, endpoint: &str, from_ms: u64, until_ms: Option<u64>) {
        self.history.leaving_notices.push(LeavingNotice {
            instance: instance(endpoint),
            from_ms,
            until_ms,
        });
    }

    pub fn stop(&mut self, stopped: &str, at_ms: u64) {
        self.history.planned_stops.push(PlannedStop {
            instance: instance(stopped),
            at_ms,
        });
    }

    pub fn generation(&mut self, process: &str, generation: u64) {
        self.history.generations.push(GenerationSeen {
            process: process.to_owned(),
            generation: Generation(generation),
            at_ms: 0,
        });
    }

    fn invoke(&mut self, invocation: Invocation) -> CallId {
        let call = CallId(self.history.invocations.len() as u64 + 1);
        self.history.invocations.insert(call, invocation);
        call
    }

    fn complete(&mut self, call: CallId, outcome: Outcome, ended_ms: u64) {
        let completion = Completion { outcome, ended_ms };
        self.history.completions.insert(call, completion);
    }
}

fn instance(name: &str) -> InstanceId {
    InstanceId::try_from(name).unwrap()
}
