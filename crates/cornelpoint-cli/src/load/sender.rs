use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::request::Method;
use cornelpoint::request::Refusal;
use cornelpoint::request::RunState;
use ureq::Agent;
use ureq::Body;
use ureq::Error;
use ureq::http::Response;

use super::load_arguments::LoadArguments;
use super::load_report::LoadReport;
use super::load_report::Tally;
use super::planned_request::PlannedRequest;
use super::request_outcome::RequestOutcome;
use super::schedule::Schedule;

/// Time that a sender waits for an answer after the deadline.
const ANSWER_GRACE: Duration = Duration::from_secs(2);
/// Age at which a sender closes an idle connection; below the idle timeout of the gateway.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// Stack size of a sender's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Size of each buffer of a sender's connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;
/// Largest body of an answer that is accepted, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Sends a load and waits until all its requests have ended.
pub(super) fn send_all(load: &LoadArguments) -> LoadReport {
    // Without capacity: a request that is due while all senders are busy waits
    // here, and the wait counts as lag.
    let (queue_sender, queue_receiver) = sync_channel(0);
    let queue_receiver = Mutex::new(queue_receiver);
    let mut tally = Tally::new();
    let start = Instant::now();
    thread::scope(|scope| {
        let senders: Vec<_> = (0..load.senders)
            .filter_map(|_| {
                let builder = thread::Builder::new().stack_size(STACK_BYTES);
                let sender =
                    builder.spawn_scoped(scope, || send_planned(load, start, &queue_receiver));
                sender.ok()
            })
            .collect();
        for planned in Schedule::new(load) {
            let due = start + planned.due;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if senders.is_empty() || queue_sender.send(planned).is_err() {
                break;
            }
        }
        drop(queue_sender);
        for sender in senders {
            if let Ok(sender_tally) = sender.join() {
                tally.add(sender_tally);
            }
        }
    });
    tally.into_report(load.seed, load.shape)
}

fn send_planned(
    load: &LoadArguments,
    start: Instant,
    queue_receiver: &Mutex<Receiver<PlannedRequest>>,
) -> Tally {
    let agent = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .max_idle_age(MAX_IDLE)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .timeout_global(Some(Duration::from_millis(load.deadline_ms) + ANSWER_GRACE))
        .build()
        .new_agent();
    let body = vec![b'x'; load.body_bytes];
    let mut tally = Tally::new();
    loop {
        let received = queue_receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .recv();
        let Ok(planned) = received else {
            return tally;
        };
        let due = start + planned.due;
        let lag = due.elapsed();
        let outcome = match send(&agent, load, &planned, &body) {
            Ok(answer) => classify(answer),
            Err(_) => RequestOutcome::Lost,
        };
        tally.record(outcome, lag, due.elapsed());
    }
}

fn send(
    agent: &Agent,
    load: &LoadArguments,
    planned: &PlannedRequest,
    body: &[u8],
) -> Result<Response<Body>, Error> {
    let gateway = load.gateways[planned.gateway];
    let url = format!(
        "http://{gateway}/{}/load/{}",
        planned.service, planned.number
    );
    let deadline_ms = load.deadline_ms.to_string();
    if planned.method == Method::Get {
        let request = agent.get(&url);
        return request
            .header("cornelpoint-deadline-ms", deadline_ms)
            .call();
    }
    let mut request = agent
        .post(&url)
        .header("cornelpoint-deadline-ms", deadline_ms);
    if let Some(key) = &planned.key {
        request = request.header("idempotency-key", key);
    }
    request.send(body)
}

fn classify(mut answer: Response<Body>) -> RequestOutcome {
    let outcome = RequestOutcome::from_response(
        answer.status().as_u16(),
        header(&answer, RunState::HEADER),
        header(&answer, Refusal::HEADER),
    );
    let body = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES);
    match body.read_to_vec() {
        Ok(_) => outcome,
        Err(_) => RequestOutcome::Lost,
    }
}

fn header<'a>(answer: &'a Response<Body>, name: &str) -> &'a str {
    let value = answer.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
