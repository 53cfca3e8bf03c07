use cornelpoint::document::ObjectReader;
use cornelpoint::document::Value;

/// Longest timeout that settings may specify.
pub(super) const MAX_TIMEOUT_MS: u64 = 60_000;

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
