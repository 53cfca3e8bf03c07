use super::fingerprint::Fingerprint;
use super::row_name::ClaimRowName;

/// Number by which a gateway knows a request; unique in its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(pub u64);

/// A request whose key is to be claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The request.
    pub id: ClaimId,
    /// Row of its key.
    pub row_name: ClaimRowName,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Time by which the claim must be decided, in milliseconds since the
    /// Unix epoch.
    pub decide_by_ms: u64,
    /// Time after which the request is not sent, in milliseconds since the
    /// Unix epoch.
    pub deadline_ms: u64,
}
