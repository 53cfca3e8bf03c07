use super::parsed_workspace::ParsedWorkspace;
use crate::document::Field;
use crate::finding::Findings;
use crate::template::ParsedTemplate;

/// Checks the workspace's parameters against those of the template, and
/// returns the valid values.
pub(super) fn check(
    template: &ParsedTemplate,
    parsed_workspace: &ParsedWorkspace,
    findings: &mut Findings,
) -> Vec<Field> {
    report_missing(template, parsed_workspace, findings);
    let given = parsed_workspace.parameters().iter();
    given
        .filter(|field| check_given(template, field, findings).is_some())
        .cloned()
        .collect()
}

fn check_given(template: &ParsedTemplate, field: &Field, findings: &mut Findings) -> Option<()> {
    let mut parameters = template.parameters.iter();
    if let Some(parameter) = parameters.find(|parameter| parameter.name == field.name) {
        return parameter.kind.check(&field.node, findings);
    }
    let known: Vec<&str> = template
        .parameter_names
        .iter()
        .map(String::as_str)
        .collect();
    if !known.contains(&field.name.as_str()) {
        findings.push(field.node.unknown_name("parameter", &field.name, &known));
    }
    None
}

fn report_missing(
    template: &ParsedTemplate,
    parsed_workspace: &ParsedWorkspace,
    findings: &mut Findings,
) {
    let place = parsed_workspace.field("parameters");
    for parameter in &template.parameters {
        let mut given = parsed_workspace.parameters().iter();
        let is_given = given.any(|field| field.name == parameter.name);
        if parameter.default.is_none() && !is_given {
            let mut finding = place.finding("a value", "none");
            finding.field = format!("parameters.{}", parameter.name);
            findings.push(finding);
        }
    }
}
