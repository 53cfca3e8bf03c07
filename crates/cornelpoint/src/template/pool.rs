use super::filled::FilledPool;
use crate::document::NAME_EXPECTED;
use crate::document::Node;
use crate::document::ValueReader;
use crate::finding::Findings;
use crate::name::PoolName;

/// Maximum number of slots of an endpoint.
const MAX_SLOTS: u32 = 1_024;

/// Maximum number of connections of an endpoint.
const MAX_CONNECTIONS: u32 = 65_535;

/// Reads a pool's entry.
pub(super) fn read(name: &str, node: &Node, findings: &mut Findings) -> Option<FilledPool> {
    let pool_name = PoolName::try_from(name).ok();
    if pool_name.is_none() {
        findings.push(node.finding(NAME_EXPECTED, format!("`{}`", name.escape_default())));
    }
    ValueReader::new(node, findings).object(|reader| {
        let slots = reader.integer_u32("slots", 1..=MAX_SLOTS);
        let connections = reader.integer_u32("connections", 1..=MAX_CONNECTIONS);
        let (slots, connections) = (slots?, connections?);
        if connections < slots {
            let finding = reader.node().finding(
                "at least as many connections as slots",
                format!("{connections} connections and {slots} slots"),
            );
            reader.findings().push(finding);
        }
        Some(FilledPool {
            name: pool_name?,
            slots,
            connections,
        })
    })
}
