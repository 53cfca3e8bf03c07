use std::net::SocketAddr;
use std::time::Duration;

use cornelpoint::catalog::Queue;
use cornelpoint::job::JobId;
use cornelpoint::job::Resources;
use platform_standin::callers::job_body;
use platform_standin::callers::parse_status;
use platform_standin::callers::parse_waiting;
use ureq::Agent;
use ureq::Body;
use ureq::Error;
use ureq::RequestBuilder;
use ureq::http::Response;

/// Longest wait for a response.
const TIMEOUT: Duration = Duration::from_secs(4);
/// Resources of a submitted job's task.
const NEED: Resources = Resources {
    cpu_millicores: 10,
    memory_mb: 16,
    accelerators: 0,
};
/// Estimated duration of a submitted job's task.
const ESTIMATE_MS: u64 = 10;

/// A caller of one queue at one instance.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: Agent,
    address: SocketAddr,
    queue: Queue,
    key: Option<String>,
}

impl Caller {
    pub fn new(address: SocketAddr, queue: &Queue) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(TIMEOUT))
            .build();
        Self {
            agent: Agent::new_with_config(config),
            address,
            queue: queue.clone(),
            key: None,
        }
    }

    /// Returns the same caller with this key.
    pub fn with_key(&self, key: &str) -> Self {
        let key = Some(key.to_owned());
        Self {
            key,
            ..self.clone()
        }
    }

    /// Submits a job of one short task; whether it was accepted.
    pub fn submit(&self, job: JobId) -> bool {
        self.submit_status(job) == Some(200)
    }

    /// Submits a job of one short task; returns the status of the response, `None`
    /// if there was none.
    pub fn submit_status(&self, job: JobId) -> Option<u16> {
        self.submit_body(job, &job_body(NEED, ESTIMATE_MS))
    }

    /// Submits a job with this body; returns the status of the response, `None` if
    /// there was none.
    pub fn submit_body(&self, job: JobId, body: &[u8]) -> Option<u16> {
        let request = self.agent.post(self.url(&job.to_string()));
        let answer = self
            .authorized(request)
            .header("host", &self.queue.host)
            .header("content-type", "application/json")
            .send(body);
        Some(answer.ok()?.status().as_u16())
    }

    /// Cancels a job; whether that was acknowledged.
    pub fn cancel(&self, job: JobId) -> bool {
        self.cancel_status(job) == Some(200)
    }

    /// Cancels a job; returns the status of the response, `None` if there was none.
    pub fn cancel_status(&self, job: JobId) -> Option<u16> {
        let request = self.agent.delete(self.url(&job.to_string()));
        let request = self.authorized(request);
        let answer = request.header("host", &self.queue.host).call();
        Some(answer.ok()?.status().as_u16())
    }

    /// Asks for a job, or for the number of waiting jobs; returns the status of the
    /// response, `None` if there was none.
    pub fn get_status(&self, rest: &str) -> Option<u16> {
        Some(self.get_response(rest)?.status().as_u16())
    }

    /// Returns a job's status; `None` unless it is answered.
    pub fn status(&self, job: JobId) -> Option<String> {
        let body = self.get(&job.to_string())?;
        Some(parse_status(&body).unwrap())
    }

    /// Returns the number of waiting jobs; `None` unless it is answered.
    pub fn waiting(&self) -> Option<usize> {
        let body = self.get("")?;
        Some(parse_waiting(&body).unwrap())
    }

    /// Whether the instance answers that there is no such queue.
    pub fn is_unknown_queue(&self) -> bool {
        self.get_response("")
            .is_some_and(|answer| answer.status() == 404)
    }

    fn get(&self, rest: &str) -> Option<Vec<u8>> {
        let mut answer = self
            .get_response(rest)
            .filter(|answer| answer.status() == 200)?;
        answer.body_mut().read_to_vec().ok()
    }

    fn get_response(&self, rest: &str) -> Option<Response<Body>> {
        let request = self.authorized(self.agent.get(self.url(rest)));
        let answer: Result<Response<Body>, Error> = request.header("host", &self.queue.host).call();
        answer.ok()
    }

    fn authorized<B>(&self, request: RequestBuilder<B>) -> RequestBuilder<B> {
        match &self.key {
            Some(key) => request.header("authorization", format!("Token {key}")),
            None => request,
        }
    }

    fn url(&self, rest: &str) -> String {
        format!("http://{}{}{rest}", self.address, self.queue.path_prefix)
    }
}

/// Returns the identifier of a job with this number.
pub fn job(number: u64) -> JobId {
    format!("{number:016x}").parse().unwrap()
}
