use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::platform::InstanceList;
use cornelpoint::platform::Key;
use cornelpoint::platform::Row;
use cornelpoint::platform::Scan;
use cornelpoint::platform::Transaction;
use cornelpoint::platform::TransactionOutcome;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use super::platform_error::PlatformError;
use crate::http_agent::http_agent;
use crate::metrics::Counter;
use crate::metrics::Metrics;
use crate::metrics::Timer;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;
/// Lowest HTTP status of a server error.
const SERVER_ERROR: u16 = 500;
/// HTTP status for a missing object.
const NOT_FOUND: u16 = 404;

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    agent: Agent,
    base: String,
    metrics: Metrics,
}

impl PlatformClient {
    /// Creates a client whose calls each end within the timeout.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use cornelpoint_daemon::platform_client::PlatformClient;
    ///
    /// let client = PlatformClient::new(([127, 0, 0, 1], 9).into(), Duration::from_millis(200));
    /// assert!(client.instances().is_err());
    /// ```
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let agent = http_agent(timeout);
        Self {
            agent,
            base: format!("http://{address}"),
            metrics: Metrics::disabled(),
        }
    }

    /// Returns the client with metrics for failures and call durations.
    #[must_use]
    pub fn with_metrics(self, metrics: Metrics) -> Self {
        Self { metrics, ..self }
    }

    /// Runs a transaction. After an error that may have taken effect, read the
    /// rows back to learn the outcome.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the transaction may have taken effect.
    pub fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome, PlatformError> {
        self.post("/table/transact", transaction)
    }

    /// Reads rows; those that do not exist are left out.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gives no usable answer.
    pub fn read(&self, keys: &[Key]) -> Result<Vec<Row>, PlatformError> {
        self.post("/table/read", keys)
    }

    /// Reads the rows of a table whose names start with a prefix.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gives no usable answer.
    pub fn scan(&self, scan: &Scan) -> Result<Vec<Row>, PlatformError> {
        self.post("/table/scan", scan)
    }

    /// Reads the list of instances, which may be out of date.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gives no usable answer.
    pub fn instances(&self) -> Result<InstanceList, PlatformError> {
        let url = format!("{}/instances", self.base);
        self.measured(|| {
            let answer = self.agent.get(&url).call().map_err(classify)?;
            decode(&read_body(answer)?)
        })
    }

    /// Stores an object under a name.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the object may have been stored.
    pub fn put_object(&self, name: &str, content: &[u8]) -> Result<(), PlatformError> {
        let url = format!("{}/objects/{name}", self.base);
        self.measured(|| {
            let answer = self.agent.put(&url).send(content).map_err(classify)?;
            read_body(answer).map(drop)
        })
    }

    /// Reads an object; `None` if there is none with that name.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gives no usable answer.
    pub fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let url = format!("{}/objects/{name}", self.base);
        self.measured(|| {
            let answer = self.agent.get(&url).call().map_err(classify)?;
            match read_body(answer) {
                Ok(content) => Ok(Some(content)),
                Err(PlatformError::Refused { status: NOT_FOUND }) => Ok(None),
                Err(error) => Err(error),
            }
        })
    }

    fn post<Q: Serialize + ?Sized, A: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<A, PlatformError> {
        let url = format!("{}{path}", self.base);
        let body =
            rmp_serde::to_vec_named(request).map_err(|error| PlatformError::Unreachable {
                found: error.to_string(),
            })?;
        self.measured(|| {
            let answer = self.agent.post(&url).send(&body[..]).map_err(classify)?;
            decode(&read_body(answer)?)
        })
    }

    fn measured<A>(
        &self,
        call: impl FnOnce() -> Result<A, PlatformError>,
    ) -> Result<A, PlatformError> {
        let start = Instant::now();
        let result = call();
        match &result {
            Ok(_) => self.metrics.record_since(Timer::Platform, start),
            Err(_) => self.metrics.count(Counter::PlatformFailure),
        }
        result
    }
}

/// Reads the body of a successful answer. A server error may occur after the
/// request took effect; other error statuses occur before.
fn read_body(mut answer: ureq::http::Response<ureq::Body>) -> Result<Vec<u8>, PlatformError> {
    let status = answer.status().as_u16();
    if status >= SERVER_ERROR {
        return Err(PlatformError::AnswerLost {
            found: format!("status {status}"),
        });
    }
    if !answer.status().is_success() {
        return Err(PlatformError::Refused { status });
    }
    answer
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER_BYTES)
        .read_to_vec()
        .map_err(|error| PlatformError::AnswerLost {
            found: error.to_string(),
        })
}

fn decode<A: DeserializeOwned>(body: &[u8]) -> Result<A, PlatformError> {
    rmp_serde::from_slice(body).map_err(|error| PlatformError::Malformed {
        found: error.to_string(),
    })
}

/// Classifies an error by whether the request may have taken effect: only a
/// failure to connect certainly precedes the first byte.
fn classify(error: ureq::Error) -> PlatformError {
    let found = error.to_string();
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect) => PlatformError::Unreachable { found },
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            PlatformError::Unreachable { found }
        }
        _ => PlatformError::AnswerLost { found },
    }
}
