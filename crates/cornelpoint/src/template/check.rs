use super::parsed_template::ParsedTemplate;
use super::template::Template;
use crate::document::Document;
use crate::document::Source;
use crate::finding::Findings;

/// Checks a template without a workspace.
///
/// Parameters have their default values. Values that refer to a parameter
/// without a default are not checked.
///
/// # Errors
///
/// All findings in the template.
///
/// ```
/// use cornelpoint::document::Source;
/// use cornelpoint::template;
///
/// let text = r#"{
///     "template": "small",
///     "services": {},
///     "pools": {"quoting": {"slots": 8, "connections": 64}}
/// }"#;
/// let findings = template::check(Source { file: "small.json", text }).unwrap_err();
/// assert_eq!(
///     findings.to_string(),
///     "small.json:3:17: services: expected at least one entry, found none"
/// );
/// ```
pub fn check(source: Source<'_>) -> Result<Template, Findings> {
    let document = Document::parse(source)?;
    let mut findings = Findings::default();
    let parsed_template = ParsedTemplate::read(&document, &mut findings);
    parsed_template.fill(&[], &mut findings);
    let template = parsed_template.name.map(|name| Template {
        name,
        parameters: parsed_template.parameters,
    });
    findings.into_result(template)
}
