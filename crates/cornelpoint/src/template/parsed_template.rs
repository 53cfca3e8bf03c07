use super::derivation;
use super::filled::FilledTemplate;
use super::parameter::Parameter;
use super::pool;
use super::service;
use super::substitution::Substitution;
use crate::document::Document;
use crate::document::Field;
use crate::document::Node;
use crate::document::Value;
use crate::document::ValueReader;
use crate::finding::Findings;
use crate::name::PoolName;
use crate::name::TemplateName;

/// A template as far as it could be read, before its parameters are filled in.
#[derive(Clone, Debug)]
pub(crate) struct ParsedTemplate {
    /// Name of the template.
    pub(crate) name: Option<TemplateName>,
    /// Parameters that could be read.
    pub(crate) parameters: Vec<Parameter>,
    /// Names of all parameters, including those that could not be read.
    pub(crate) parameter_names: Vec<String>,
    root: Node,
}

impl ParsedTemplate {
    /// Reads the name and the parameters of a template; records errors as findings.
    pub(crate) fn read(document: &Document, findings: &mut Findings) -> Self {
        let mut parameters = Vec::new();
        let name = ValueReader::new(document.root(), findings).object(|reader| {
            let name = reader.name("template");
            if let Some(value) = reader.optional("parameters") {
                value.entries(|name, value| {
                    parameters.extend(Parameter::read(name, value));
                    Some(())
                });
            }
            reader.required("services");
            reader.required("pools");
            reader.optional("spare_pool");
            name
        });
        let parameter_entries = document.root().field("parameters");
        let parameter_fields = parameter_entries.map_or(&[][..], Node::fields);
        Self {
            name,
            parameters,
            parameter_names: names(parameter_fields),
            root: document.root().clone(),
        }
    }

    /// Fills in the given parameter values, then reads services and pools.
    ///
    /// Records findings for references to unknown parameters, for parameters
    /// that are never referred to, and for all errors in services and pools.
    pub(crate) fn fill(&self, given: &[Field], findings: &mut Findings) -> FilledTemplate {
        let mut substitution = Substitution::new(&self.parameters, &self.parameter_names, given);
        let services = self.derive_and_substitute("services", &mut substitution, findings);
        let pools = self.derive_and_substitute("pools", &mut substitution, findings);
        let spare_pool = self.root.field("spare_pool");
        let spare_pool = spare_pool.map(|node| substitution.apply(node, findings));
        self.report_unused(&substitution, findings);
        let spare_pool =
            spare_pool.and_then(|node| read_spare_pool(&node, pools.as_ref(), findings));
        report_unknown_pools(services.as_ref(), pools.as_ref(), findings);
        FilledTemplate {
            services: read_entries(services.as_ref(), findings, service::read),
            pools: read_entries(pools.as_ref(), findings, pool::read),
            pool_names: pools
                .as_ref()
                .map_or_else(Vec::new, |node| names(node.fields())),
            spare_pool,
        }
    }

    fn derive_and_substitute(
        &self,
        field: &str,
        substitution: &mut Substitution<'_>,
        findings: &mut Findings,
    ) -> Option<Node> {
        let entries = self.root.field(field)?;
        let derived = derivation::derive(entries, findings);
        Some(substitution.apply(&derived, findings))
    }

    fn report_unused(&self, substitution: &Substitution<'_>, findings: &mut Findings) {
        let entries = self.root.field("parameters").map_or(&[][..], Node::fields);
        for entry in entries {
            if !substitution.is_used(&entry.name) {
                findings.push(entry.node.finding("a reference to the parameter", "none"));
            }
        }
    }
}

fn names(fields: &[Field]) -> Vec<String> {
    fields.iter().map(|field| field.name.clone()).collect()
}

fn read_entries<T>(
    entries: Option<&Node>,
    findings: &mut Findings,
    read: impl Fn(&str, &Node, &mut Findings) -> Option<T>,
) -> Vec<T> {
    let Some(entries) = entries else {
        return Vec::new();
    };
    let is_object = ValueReader::new(entries, findings)
        .entries(|_, _| Some(()))
        .is_some();
    if is_object && entries.fields().is_empty() {
        findings.push(entries.finding("at least one entry", "none"));
    }
    let mut values = Vec::new();
    for field in entries.fields() {
        values.extend(read(&field.name, &field.node, findings));
    }
    values
}

fn read_spare_pool(node: &Node, pools: Option<&Node>, findings: &mut Findings) -> Option<PoolName> {
    let name: PoolName = ValueReader::new(node, findings).name()?;
    check_pool(node, name.as_str(), pools, findings);
    Some(name)
}

fn report_unknown_pools(services: Option<&Node>, pools: Option<&Node>, findings: &mut Findings) {
    for service in services.map_or(&[][..], Node::fields) {
        if let Some(node) = service.node.field("pool")
            && let Value::Text(name) = &node.value
        {
            check_pool(node, name, pools, findings);
        }
    }
}

fn check_pool(node: &Node, name: &str, pools: Option<&Node>, findings: &mut Findings) {
    let Some(pools) = pools else {
        return;
    };
    if pools.field(name).is_none() {
        let known: Vec<&str> = pools
            .fields()
            .iter()
            .map(|field| field.name.as_str())
            .collect();
        findings.push(node.unknown_name("pool", name, &known));
    }
}
