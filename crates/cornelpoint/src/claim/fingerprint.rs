use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::name::ServiceName;
use crate::request::Method;

/// Hash of a request, by which the reuse of a key for a different request is
/// detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    high: u64,
    low: u64,
}

impl Fingerprint {
    /// Hashes method, service, path with query, and body.
    ///
    /// ```
    /// use cornelpoint::claim::Fingerprint;
    /// use cornelpoint::name::ServiceName;
    /// use cornelpoint::request::Method;
    ///
    /// let service = ServiceName::try_from("controller").unwrap();
    /// let on = Fingerprint::new(Method::Post, &service, "/slab/7", b"on");
    /// let off = Fingerprint::new(Method::Post, &service, "/slab/7", b"off");
    /// assert_ne!(on, off);
    /// ```
    #[must_use]
    pub fn new(method: Method, service: &ServiceName, path: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        let parts = [
            method.as_str().as_bytes(),
            service.as_str().as_bytes(),
            path.as_bytes(),
            body,
        ];
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let [low, high] = halves(hasher.digest128());
        Self { high, low }
    }
}

fn halves(hash: u128) -> [u64; 2] {
    let bytes = hash.to_le_bytes();
    let half = |start: usize| {
        let mut half = [0; 8];
        half.copy_from_slice(&bytes[start..start + 8]);
        u64::from_le_bytes(half)
    };
    [half(0), half(8)]
}
