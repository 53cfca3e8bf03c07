use cornelpoint::tenant::Caller;
use cornelpoint::tenant::KeyCheck;
use cornelpoint::tenant::Permission;
use cornelpoint::tenant::Refusal;
use cornelpoint::tenant::Tenants;
use cornelpoint_platform::callers;
use hyper::Request;
use hyper::header::HOST;

use super::callers::rejection;
use crate::http::Reply;
use crate::http::reply;
use crate::node::Node;

/// `Retry-After` of a call that can't be decided on. A retry may reach another process, or
/// this one after its next read.
const UNCONFIRMED_RETRY_S: u64 = 1;

/// What a call's permission depends on. It has no `Debug`, which would show the key.
pub(super) struct CallHead {
    pub(super) host: String,
    pub(super) path: String,
    key: Option<Vec<u8>>,
}

impl CallHead {
    /// Copies the head of a request; without a host if the request has none.
    pub(super) fn of<B>(request: &Request<B>) -> Self {
        let headers = request.headers();
        let host = headers.get(HOST).and_then(|host| host.to_str().ok());
        let key = headers.get(callers::KEY_HEADER);
        let key = key.and_then(|value| callers::parse_key(value.as_bytes()));
        Self {
            host: host.unwrap_or_default().to_owned(),
            path: request.uri().path().to_owned(),
            key: key.map(<[u8]>::to_vec),
        }
    }

    /// Checks the call against the configuration in force, which may have changed since the
    /// call was read. Returns the caller, or why the call is refused. `job` is
    /// what follows the route's prefix, empty for a count of waiting jobs.
    pub(super) fn check(&self, node: &Node, job: &str) -> Result<Caller, Refusal> {
        if !node.checks_keys() {
            return Ok(Caller::Unchecked);
        }
        let catalog = node.catalog();
        let queue = catalog
            .as_ref()
            .and_then(|catalog| catalog.queue_of(&self.host, &self.path));
        let tenants = catalog.as_ref().and_then(|it| it.tenants.as_ref());
        let no_tenants = Tenants::default();
        let decision = KeyCheck::new(node.settings.bounds.revocation_ms).decide(
            tenants.unwrap_or(&no_tenants),
            self.key.as_deref(),
            queue.is_some_and(|queue| queue.public),
            node.configuration_age_ms(),
        );
        let refusal = match decision {
            Permission::Allowed(caller) => return Ok(caller),
            Permission::Refused(refusal) => refusal,
        };
        let route = queue.map_or("", |queue| queue.name.as_str());
        node.call_refused(refusal.reason(), job, route);
        Err(refusal)
    }
}

/// Returns the response to a call that is refused.
pub(super) fn refusal_reply(refusal: Refusal) -> Reply {
    match refusal {
        Refusal::MissingKey | Refusal::UnknownKey => reply(401, ""),
        Refusal::Unconfirmed => rejection(503, UNCONFIRMED_RETRY_S),
    }
}
