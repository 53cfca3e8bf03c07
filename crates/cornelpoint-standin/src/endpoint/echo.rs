use cornelpoint::name::InstanceId;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of the pattern that one hash yields.
const BLOCK_BYTES: usize = 8;

/// An endpoint's default answer, which describes the run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoAnswer {
    /// Instance of the endpoint.
    pub instance: InstanceId,
    /// Identity of the request, from the query parameter `request` or else from
    /// the header.
    pub request: Option<String>,
    /// Method as received.
    pub method: String,
    /// Path and query as received.
    pub path: String,
    /// Hash of the request's body.
    pub body_hash: u64,
    /// Number of the run at the endpoint, starting at 1.
    pub run_number: u64,
}

/// Returns the hash of a body, as used in records and answers.
///
/// ```
/// use cornelpoint_standin::endpoint::body_hash;
///
/// assert_ne!(body_hash(b"one"), body_hash(b"two"));
/// ```
#[must_use]
pub fn body_hash(body: &[u8]) -> u64 {
    xxh3_64(body)
}

/// Returns an answer body of the given size, derived from the request's
/// identity (or from its path if it has none), so that answers to different
/// requests differ.
///
/// ```
/// use cornelpoint_standin::endpoint::pattern;
///
/// assert_eq!(pattern("request-1", 100).len(), 100);
/// assert_ne!(pattern("request-1", 100), pattern("request-2", 100));
/// ```
#[must_use]
pub fn pattern(identity: &str, size_bytes: usize) -> Vec<u8> {
    let mut bytes: Vec<u8> = (0..size_bytes.div_ceil(BLOCK_BYTES))
        .flat_map(|block| xxh3_64_with_seed(identity.as_bytes(), block as u64).to_le_bytes())
        .collect();
    bytes.truncate(size_bytes);
    bytes
}
