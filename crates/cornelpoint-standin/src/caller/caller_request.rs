use std::net::SocketAddr;

use cornelpoint::name::InstanceId;
use cornelpoint::request::Method;

use crate::clock::now_ms;
use crate::endpoint::KEY_HEADER;
use crate::endpoint::body_hash;
use crate::history::Invocation;

/// Header that carries a caller's deadline, in milliseconds from now.
const DEADLINE_HEADER: &str = "cornelpoint-deadline-ms";

/// A request of a caller to a gateway.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The gateway.
    pub gateway: InstanceId,
    /// Its address.
    pub address: SocketAddr,
    /// Identity of the request, the same in each call that repeats it.
    pub request: String,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Method.
    pub method: Method,
    /// Path without a query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Size of the pattern asked for; an echo when absent.
    pub size_bytes: Option<usize>,
    /// Service time asked for; the endpoint's own when absent.
    pub work_ms: Option<u64>,
    /// Deadline told to the gateway.
    pub deadline_ms: Option<u64>,
    /// Time after which the caller gives up.
    pub timeout_ms: u64,
}

impl CallerRequest {
    /// The request as it goes into a history, begun now.
    #[must_use]
    pub fn invocation(&self) -> Invocation {
        Invocation {
            gateway: self.gateway.clone(),
            request: self.request.clone(),
            idempotency_key: self.idempotency_key.clone(),
            method: self.method,
            body_hash: body_hash(&self.body),
            size_bytes: self.size_bytes,
            started_ms: now_ms(),
        }
    }

    /// The request as it goes over the connection.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut lines = vec![
            format!("{} {} HTTP/1.1", self.method, self.target()),
            "host: cornelpoint".to_owned(),
            "connection: close".to_owned(),
            format!("content-length: {}", self.body.len()),
        ];
        if let Some(key) = &self.idempotency_key {
            lines.push(format!("{KEY_HEADER}: {key}"));
        }
        if let Some(deadline_ms) = self.deadline_ms {
            lines.push(format!("{DEADLINE_HEADER}: {deadline_ms}"));
        }
        let mut bytes = lines.join("\r\n").into_bytes();
        bytes.extend_from_slice(b"\r\n\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }

    fn target(&self) -> String {
        let size = query_pair("size", self.size_bytes.map(|bytes| bytes as u64));
        let work = query_pair("work_ms", self.work_ms);
        format!("{}?request={}{size}{work}", self.path, self.request)
    }
}

fn query_pair(name: &str, value: Option<u64>) -> String {
    value.map_or_else(String::new, |value| format!("&{name}={value}"))
}
