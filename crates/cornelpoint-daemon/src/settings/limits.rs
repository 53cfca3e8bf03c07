use std::ops::RangeInclusive;

use cornelpoint::document::ObjectReader;
use cornelpoint::document::Value;

/// Longest timeout that settings may specify.
pub(super) const MAX_TIMEOUT_MS: u64 = 60_000;
/// Unit of the memory in settings.
pub(crate) const BYTES_PER_MB: u64 = 1_000_000;
/// Memory that a process may be given. Below 32 MB there is no room beside the process's
/// own state.
pub(super) const MEMORY_RANGE_MB: RangeInclusive<u64> = 32..=1_048_576;
/// Half of the smallest entry instance, which runs a gateway and a keeper.
pub(super) const DEFAULT_MEMORY_MB: u64 = 80;
/// File descriptors that a process may be given.
pub(super) const DESCRIPTORS_RANGE: RangeInclusive<u64> = 128..=1_048_576;
/// File descriptors of a process on the smallest entry instance.
pub(super) const DEFAULT_MAX_DESCRIPTORS: u64 = 4100;
/// Largest message that may be configured.
pub(super) const MESSAGE_RANGE_BYTES: RangeInclusive<u64> = 65_536..=67_108_864;
/// Fits in the default memory, and holds the configuration of 17,000 endpoints, of 103 bytes
/// each.
pub(super) const DEFAULT_MAX_MESSAGE_BYTES: u64 = 1_835_008;

/// Adds a finding when two fields that must differ are equal.
pub(super) fn check_distinct(reader: &mut ObjectReader<'_>, first: &str, second: &str) {
    let (Some(one), Some(other)) = (reader.node().field(first), reader.node().field(second)) else {
        return;
    };
    if one.value == other.value {
        let finding = other.finding(format!("another value than {first}"), other.found());
        reader.findings().push(finding);
    }
}

/// Adds a finding when a list is empty.
pub(super) fn check_not_empty(reader: &mut ObjectReader<'_>, field: &str) {
    let Some(node) = reader.node().field(field) else {
        return;
    };
    if matches!(&node.value, Value::List(elements) if elements.is_empty()) {
        let finding = node.finding("at least one element", "none");
        reader.findings().push(finding);
    }
}
