use crate::job::Resources;

use super::quota_table::Limit;
use super::quota_table::to_array;

/// Whether `strict` allows no more of any resource than `limit`.
pub(super) fn is_at_least_as_strict(strict: Limit, limit: Limit) -> bool {
    let pairs = to_array(strict.0).into_iter().zip(to_array(limit.0));
    pairs
        .into_iter()
        .all(|(strict, limit)| limit == 0 || (strict > 0 && strict <= limit))
}

/// Whether a resource has a limit now that had none before.
pub(super) fn limits_more_resources(before: Limit, now: Limit) -> bool {
    let mut pairs = to_array(before.0).into_iter().zip(to_array(now.0));
    pairs.any(|(before, now)| before == 0 && now > 0)
}

/// Returns the amounts of the resources that have a limit.
pub(super) fn where_limited(amounts: Resources, limit: Resources) -> Resources {
    combine(
        amounts,
        limit,
        |amount, limit| if limit > 0 { amount } else { 0 },
    )
}

pub(super) fn combine(
    left: Resources,
    right: Resources,
    with: impl Fn(u64, u64) -> u64,
) -> Resources {
    Resources {
        cpu_millicores: with(left.cpu_millicores, right.cpu_millicores),
        memory_mb: with(left.memory_mb, right.memory_mb),
        accelerators: with(left.accelerators, right.accelerators),
    }
}
