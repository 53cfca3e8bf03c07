use super::fingerprint::Fingerprint;
use super::row_name::ClaimRowName;

/// Identifier of a request, unique within the gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(pub u64);

/// A request to claim an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Request that the key is claimed for.
    pub id: ClaimId,
    /// Name of the claim's row.
    pub row_name: ClaimRowName,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Deadline for the decision on the claim, in milliseconds since the Unix
    /// epoch.
    pub decide_by_ms: u64,
    /// Deadline of the request, after which it is not sent, in milliseconds
    /// since the Unix epoch.
    pub deadline_ms: u64,
}
