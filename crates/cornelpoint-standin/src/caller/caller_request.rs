use std::net::SocketAddr;

use cornelpoint::name::InstanceId;
use cornelpoint::request::Method;

use crate::clock::now_ms;
use crate::endpoint::KEY_HEADER;
use crate::endpoint::body_hash;
use crate::history::Invocation;

/// Request header with the caller's deadline, in milliseconds from now.
const DEADLINE_HEADER: &str = "cornelpoint-deadline-ms";

/// A caller's request to a gateway.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Gateway that the request is sent to.
    pub gateway: InstanceId,
    /// Address of the gateway.
    pub address: SocketAddr,
    /// Identity of the request; a repeated call has the same one.
    pub request: String,
    /// Idempotency key, if the request has one.
    pub idempotency_key: Option<String>,
    /// HTTP method.
    pub method: Method,
    /// Path without the query string.
    pub path: String,
    /// Request body.
    pub body: Vec<u8>,
    /// Requested size of the answer's pattern; the endpoint echoes when absent.
    pub size_bytes: Option<usize>,
    /// Requested service time; drawn by the endpoint when absent.
    pub work_ms: Option<u64>,
    /// Deadline sent to the gateway, in milliseconds from the start of the
    /// request.
    pub deadline_ms: Option<u64>,
    /// Time after which the caller stops waiting for the answer.
    pub timeout_ms: u64,
}

impl CallerRequest {
    /// Returns the history's record of the request, with the current time as
    /// its start.
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

    /// Encodes the request as HTTP/1.1.
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
