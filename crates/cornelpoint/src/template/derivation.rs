use crate::document::Field;
use crate::document::Node;
use crate::document::Value;
use crate::finding::Findings;

/// Field that holds the name of the entry to inherit from.
const LIKE_FIELD: &str = "like";

/// Returns the entries of an object, with each `like` field replaced by the
/// fields of the entry that it names.
///
/// A reference cycle is recorded as a finding.
pub(super) fn derive(entries: &Node, findings: &mut Findings) -> Node {
    let Value::Object(fields) = &entries.value else {
        return entries.clone();
    };
    let derived = fields.iter().map(|field| Field {
        name: field.name.clone(),
        node: derive_entry(fields, field, &mut Vec::new(), findings),
    });
    Node {
        value: Value::Object(derived.collect()),
        ..entries.clone()
    }
}

fn derive_entry<'a>(
    entries: &'a [Field],
    entry: &'a Field,
    chain: &mut Vec<&'a str>,
    findings: &mut Findings,
) -> Node {
    let Some(like) = entry.node.field(LIKE_FIELD) else {
        return entry.node.clone();
    };
    chain.push(&entry.name);
    let base = find_base(entries, like, chain, findings);
    let inherited = match base {
        Some(base) => derive_entry(entries, base, chain, findings),
        None => unresolved_base(like),
    };
    merge(&entry.node, &inherited)
}

fn find_base<'a>(
    entries: &'a [Field],
    like: &Node,
    chain: &[&str],
    findings: &mut Findings,
) -> Option<&'a Field> {
    let Value::Text(name) = &like.value else {
        findings.push(like.finding("the name of another entry", like.found()));
        return None;
    };
    if chain.contains(&name.as_str()) {
        let cycle = format!("{} -> {name}", chain.join(" -> "));
        findings.push(like.finding("an entry that is not derived from this one", cycle));
        return None;
    }
    let base = entries.iter().find(|entry| entry.name == *name);
    if base.is_none() {
        let known: Vec<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        findings.push(like.unknown_name("entry", name, &known));
    }
    base
}

fn unresolved_base(like: &Node) -> Node {
    Node {
        value: Value::Unresolved,
        ..like.clone()
    }
}

/// Returns the fields of the entry, followed by those of the base that the
/// entry does not set. An unresolved base makes the result unresolved.
fn merge(entry: &Node, base: &Node) -> Node {
    if base.value == Value::Unresolved {
        return base.clone();
    }
    let own = entry
        .fields()
        .iter()
        .filter(|field| field.name != LIKE_FIELD);
    let inherited = base
        .fields()
        .iter()
        .filter(|field| entry.field(&field.name).is_none());
    Node {
        value: Value::Object(own.chain(inherited).cloned().collect()),
        ..entry.clone()
    }
}
