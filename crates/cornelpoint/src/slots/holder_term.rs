use xxhash_rust::xxh3::xxh3_64;

use crate::name::InstanceId;

/// Derives the identifier of one holder's term: the time that one incarnation
/// of a keeper serves as holder without a break.
///
/// `started_ms` is when the term started, by the keeper's own clock.
///
/// ```
/// use cornelpoint::name::InstanceId;
/// use cornelpoint::slots::holder_term;
///
/// let keeper = InstanceId::try_from("entry-1").unwrap();
/// assert_eq!(holder_term(&keeper, 1, 40), holder_term(&keeper, 1, 40));
/// assert_ne!(holder_term(&keeper, 1, 40), holder_term(&keeper, 1, 41));
/// ```
#[must_use]
pub fn holder_term(keeper: &InstanceId, incarnation: u64, started_ms: u64) -> u64 {
    xxh3_64(format!("{keeper}/{incarnation}/{started_ms}").as_bytes())
}
