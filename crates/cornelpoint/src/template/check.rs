use super::outline::Outline;
use super::template::Template;
use crate::document::Document;
use crate::document::Source;
use crate::finding::Findings;

/// Checks a template by itself.
///
/// Parameters take their defaults; where one has none, the values that refer
/// to it are not checked.
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
    let outline = Outline::read(&document, &mut findings);
    outline.fill(&[], &mut findings);
    let template = outline.name.map(|name| Template {
        name,
        parameters: outline.parameters,
    });
    findings.into_result(template)
}
