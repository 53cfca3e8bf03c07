use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::parameter::Parameter;
use crate::document::Field;
use crate::document::Node;
use crate::document::Value;
use crate::finding::Findings;

/// Name of the only field of a reference to a parameter.
const REFERENCE_FIELD: &str = "parameter";

/// Replaces references to parameters by their values.
pub(super) struct Substitution<'a> {
    names: &'a [String],
    values: BTreeMap<&'a str, &'a Node>,
    used: BTreeSet<&'a str>,
}

impl<'a> Substitution<'a> {
    /// Creates a substitution with the given values; a parameter without a
    /// value takes its default, and stays unresolved if it has none.
    pub(super) fn new(
        parameters: &'a [Parameter],
        names: &'a [String],
        given: &'a [Field],
    ) -> Self {
        let defaults = parameters.iter().filter_map(|parameter| {
            let node = parameter.default.as_ref()?;
            Some((parameter.name.as_str(), node))
        });
        let mut values: BTreeMap<&str, &Node> = defaults.collect();
        values.extend(given.iter().map(|field| (field.name.as_str(), &field.node)));
        Self {
            names,
            values,
            used: BTreeSet::new(),
        }
    }

    /// Returns whether a reference to the parameter has been found.
    pub(super) fn is_used(&self, name: &str) -> bool {
        self.used.contains(name)
    }

    /// Returns the node with references replaced by values.
    ///
    /// A value keeps the place where it was given, so that findings point there.
    pub(super) fn apply(&mut self, node: &Node, findings: &mut Findings) -> Node {
        if let [field] = node.fields()
            && field.name == REFERENCE_FIELD
        {
            return self.resolve(node, &field.node, findings);
        }
        let value = match &node.value {
            Value::Object(fields) => {
                let fields = fields.iter().map(|field| Field {
                    name: field.name.clone(),
                    node: self.apply(&field.node, findings),
                });
                Value::Object(fields.collect())
            }
            Value::List(elements) => {
                let elements = elements.iter().map(|element| self.apply(element, findings));
                Value::List(elements.collect())
            }
            other => other.clone(),
        };
        Node {
            value,
            ..node.clone()
        }
    }

    fn resolve(&mut self, node: &Node, name_node: &Node, findings: &mut Findings) -> Node {
        let unresolved = Node {
            value: Value::Unresolved,
            ..node.clone()
        };
        let Value::Text(name) = &name_node.value else {
            findings.push(name_node.finding("the name of a parameter", name_node.found()));
            return unresolved;
        };
        let names = self.names;
        let Some(name) = names.iter().find(|known| *known == name) else {
            let known: Vec<&str> = names.iter().map(String::as_str).collect();
            findings.push(name_node.unknown_name("parameter", name, &known));
            return unresolved;
        };
        self.used.insert(name);
        match self.values.get(name.as_str()) {
            Some(value) => (*value).clone(),
            None => unresolved,
        }
    }
}
