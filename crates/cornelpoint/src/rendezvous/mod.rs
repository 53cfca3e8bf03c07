//! Rendezvous hashing: assigns each key to one of the present members. A change
//! of membership moves only the keys of the member that joined or left.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::AvailabilityZone;
use crate::name::InstanceId;
use crate::name::PoolName;

/// Chooses the keeper that holds the slots of a pool in an availability zone;
/// `None` without candidates.
///
/// All processes that see the same candidates choose the same one, regardless
/// of their order.
///
/// ```
/// use cornelpoint::name::AvailabilityZone;
/// use cornelpoint::name::InstanceId;
/// use cornelpoint::name::PoolName;
/// use cornelpoint::rendezvous::slot_holder;
///
/// let pool = PoolName::try_from("quoting").unwrap();
/// let zone = AvailabilityZone::try_from("hu-central-1").unwrap();
/// let first = InstanceId::try_from("entry-1").unwrap();
/// let second = InstanceId::try_from("entry-2").unwrap();
/// let chosen = slot_holder(&pool, &zone, [&first, &second]);
/// assert_eq!(chosen, slot_holder(&pool, &zone, [&second, &first]));
/// ```
#[must_use]
pub fn slot_holder<'a>(
    pool: &PoolName,
    availability_zone: &AvailabilityZone,
    candidates: impl IntoIterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    let pool_hash = xxh3_64_with_seed(pool.as_str().as_bytes(), 0);
    let key_hash = xxh3_64_with_seed(availability_zone.as_str().as_bytes(), pool_hash);
    choose(key_hash, candidates)
}

/// Chooses the candidate with the highest weight for a key.
#[must_use]
pub fn choose<'a>(
    key_hash: u64,
    candidates: impl IntoIterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    candidates
        .into_iter()
        .max_by_key(|member| (weight(key_hash, member), member.as_str()))
}

/// Returns the `count` candidates with the highest weights for a key, highest
/// first.
#[must_use]
pub fn choose_several<'a>(
    key_hash: u64,
    candidates: impl IntoIterator<Item = &'a InstanceId>,
    count: usize,
) -> Vec<&'a InstanceId> {
    let mut ranked: Vec<&InstanceId> = candidates.into_iter().collect();
    ranked.sort_by_key(|member| std::cmp::Reverse((weight(key_hash, member), member.as_str())));
    ranked.truncate(count);
    ranked
}

fn weight(key_hash: u64, member: &InstanceId) -> u64 {
    xxh3_64_with_seed(member.as_str().as_bytes(), key_hash)
}
