use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::KEY_HEADER;
use super::connection_table::ConnectionTable;
use super::dump::EndpointDump;
use super::echo::body_hash;
use super::fault::EndpointFault;
use super::fault_rules::FaultRules;
use super::http_request::HttpRequest;
use super::run_record::RunRecord;
use super::settings::EndpointSettings;

/// A run that has started.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) number: u64,
    pub(super) work_ms: u64,
    pub(super) fault: Option<EndpointFault>,
}

/// What the endpoint does with a request that it has read.
#[derive(Clone, Debug)]
pub(super) enum RequestDisposition {
    Run(Run),
    Leaving,
    CloseWithoutRun,
}

/// State of an endpoint stand-in.
#[derive(Debug)]
pub(super) struct State {
    pub(super) settings: EndpointSettings,
    pub(super) open_connections: ConnectionTable,
    pub(super) rules: FaultRules,
    pub(super) stopping: bool,
    /// Requests read whose answer has not been sent in full.
    pub(super) unanswered: usize,
    random: ChaCha8Rng,
    frozen_until_ms: u64,
    leaving_since_ms: Option<u64>,
    history: Vec<RunRecord>,
    running: usize,
    abandoned: usize,
    peak_running: usize,
    over_slots: u64,
    runs: u64,
    refused_leaving: u64,
    not_run: u64,
    unrecorded: u64,
}

impl State {
    pub(super) fn new(settings: EndpointSettings) -> Self {
        Self {
            open_connections: ConnectionTable::new(settings.connections),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            rules: FaultRules::default(),
            stopping: false,
            unanswered: 0,
            frozen_until_ms: 0,
            leaving_since_ms: None,
            history: Vec::new(),
            running: 0,
            abandoned: 0,
            peak_running: 0,
            over_slots: 0,
            runs: 0,
            refused_leaving: 0,
            not_run: 0,
            unrecorded: 0,
        }
    }

    pub(super) fn begin(&mut self, request: &HttpRequest, now_ms: u64) -> RequestDisposition {
        if self.leaving_since_ms.is_some() {
            self.refused_leaving += 1;
            return RequestDisposition::Leaving;
        }
        let fault = self.rules.select_request_fault(&mut self.random);
        match fault {
            Some(EndpointFault::CloseBeforeRun) => {
                self.not_run += 1;
                return RequestDisposition::CloseWithoutRun;
            }
            Some(EndpointFault::Freeze { freeze_ms }) => self.freeze(freeze_ms, now_ms),
            _ => {}
        }
        RequestDisposition::Run(self.begin_run(request, fault, now_ms))
    }

    /// Ends a run; `abandoned` is true if its connection has already closed.
    pub(super) fn end(&mut self, run_number: u64, abandoned: bool, now_ms: u64) {
        if abandoned {
            self.abandoned -= 1;
        } else {
            self.running -= 1;
        }
        if let Some(record) = self.record(run_number) {
            record.ended_ms = Some(now_ms);
        }
    }

    /// Records that the connection of a run closed before the run ended.
    pub(super) fn abandon(&mut self, run_number: u64) {
        self.running -= 1;
        self.abandoned += 1;
        if let Some(record) = self.record(run_number) {
            record.abandoned = true;
        }
    }

    pub(super) fn refuses_connection(&mut self) -> bool {
        self.rules.select_connection_fault(&mut self.random)
    }

    pub(super) fn freeze(&mut self, freeze_ms: u64, now_ms: u64) {
        self.frozen_until_ms = self.frozen_until_ms.max(now_ms + freeze_ms);
    }

    pub(super) fn frozen_until_ms(&self) -> u64 {
        self.frozen_until_ms
    }

    pub(super) fn set_leaving(&mut self, leaving: bool, now_ms: u64) {
        match (leaving, self.leaving_since_ms) {
            (true, None) => self.leaving_since_ms = Some(now_ms),
            (true, Some(_)) => {}
            (false, _) => self.leaving_since_ms = None,
        }
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.running < self.settings.slots
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving_since_ms.is_some()
    }

    pub(super) fn history(&self) -> &[RunRecord] {
        &self.history
    }

    pub(super) fn dump(&self) -> EndpointDump {
        EndpointDump {
            instance: self.settings.instance.clone(),
            leaving: self.is_leaving(),
            leaving_since_ms: self.leaving_since_ms,
            running: self.running,
            abandoned: self.abandoned,
            connections: self.open_connections.open_count(),
            peak_running: self.peak_running,
            peak_connections: self.open_connections.peak(),
            over_slots: self.over_slots,
            over_connections: self.open_connections.over_limit(),
            runs: self.runs,
            refused_leaving: self.refused_leaving,
            not_run: self.not_run,
            unrecorded: self.unrecorded,
        }
    }

    fn begin_run(
        &mut self,
        request: &HttpRequest,
        fault: Option<EndpointFault>,
        now_ms: u64,
    ) -> Run {
        self.count_run();
        self.add_record(request, now_ms);
        let work_ms = request
            .query_number("work_ms")
            .unwrap_or_else(|| self.settings.service_time.draw_ms(&mut self.random));
        Run {
            number: self.runs,
            work_ms,
            fault,
        }
    }

    fn count_run(&mut self) {
        self.runs += 1;
        self.running += 1;
        self.peak_running = self.peak_running.max(self.running);
        if self.running > self.settings.slots {
            self.over_slots += 1;
        }
    }

    fn add_record(&mut self, request: &HttpRequest, now_ms: u64) {
        if self.history.len() >= self.settings.history_limit {
            self.unrecorded += 1;
            return;
        }
        self.history.push(RunRecord {
            instance: self.settings.instance.clone(),
            run_number: self.runs,
            request: request.identity().map(str::to_owned),
            idempotency_key: request.header(KEY_HEADER).map(str::to_owned),
            method: request.method.clone(),
            path: request.target.clone(),
            body_hash: body_hash(&request.body),
            started_ms: now_ms,
            ended_ms: None,
            abandoned: false,
        });
    }

    fn record(&mut self, run_number: u64) -> Option<&mut RunRecord> {
        let index = usize::try_from(run_number).ok()?.checked_sub(1)?;
        self.history.get_mut(index)
    }
}
