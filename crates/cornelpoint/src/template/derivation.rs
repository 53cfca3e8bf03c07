use crate::document::Field;
use crate::document::Node;
use crate::document::Value;
use crate::finding::Findings;

/// Name of the field that names the entry to derive from.
const LIKE: &str = "like";

/// The entries of an object with each `like` field replaced by the fields of
/// the entry that it names. A reference that leads back to itself is a finding.
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
    let Some(like) = entry.node.field(LIKE) else {
        return entry.node.clone();
    };
    chain.push(&entry.name);
    let base = base_of(entries, like, chain, findings);
    let inherited = match base {
        Some(base) => derive_entry(entries, base, chain, findings),
        None => open_like(like),
    };
    merge(&entry.node, &inherited)
}

fn base_of<'a>(
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
        let circle = format!("{} -> {name}", chain.join(" -> "));
        findings.push(like.finding("an entry that is not derived from this one", circle));
        return None;
    }
    let base = entries.iter().find(|entry| entry.name == *name);
    if base.is_none() {
        let known: Vec<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        findings.push(like.unknown_name("entry", name, &known));
    }
    base
}

fn open_like(like: &Node) -> Node {
    Node {
        value: Value::Unresolved,
        ..like.clone()
    }
}

/// The fields of the entry, then those of the base that the entry lacks.
fn merge(entry: &Node, base: &Node) -> Node {
    if base.value == Value::Unresolved {
        return base.clone();
    }
    let own = entry.fields().iter().filter(|field| field.name != LIKE);
    let inherited = base
        .fields()
        .iter()
        .filter(|field| entry.field(&field.name).is_none());
    Node {
        value: Value::Object(own.chain(inherited).cloned().collect()),
        ..entry.clone()
    }
}
