use std::path::Path;

use cornelpoint::catalog;
use cornelpoint::catalog::Catalog;
use cornelpoint::catalog::CatalogFinding;
use cornelpoint::catalog::Change;
use cornelpoint::catalog::Severity;
use cornelpoint_platform::operator;
use serde_json::json;

use super::failure::Failure;
use super::files;
use crate::output::CommandOutput;
use crate::output::ExitStatus;

/// Checks a configuration of the manager, and compares it with the one in force if that is
/// given.
pub(super) fn run(file: &Path, against: Option<&Path>) -> Result<CommandOutput, Failure> {
    let mut findings = Vec::new();
    let new = parse(file, &mut findings)?;
    let in_force = match against {
        Some(file) => parse(file, &mut findings)?,
        None => None,
    };
    if let Some(new) = &new {
        findings.extend(catalog::check(new));
    }
    let changes = match (&in_force, &new) {
        (Some(in_force), Some(new)) => catalog::changes(in_force, new),
        _ => Vec::new(),
    };
    Ok(output(new.as_ref(), &findings, &changes))
}

fn parse(file: &Path, findings: &mut Vec<CatalogFinding>) -> Result<Option<Catalog>, Failure> {
    let text = files::read(file)?;
    match operator::parse_catalog(text.as_bytes()) {
        Ok(catalog) => Ok(Some(catalog)),
        Err(error) => {
            findings.push(CatalogFinding::error(
                &file.display().to_string(),
                error.to_string(),
                "mend the file; nothing else is checked in it",
            ));
            Ok(None)
        }
    }
}

fn output(
    catalog: Option<&Catalog>,
    findings: &[CatalogFinding],
    changes: &[Change],
) -> CommandOutput {
    let severities = findings.iter().map(|finding| Some(finding.severity));
    let severities = severities.chain(changes.iter().map(|change| change.severity));
    let severities: Vec<Severity> = severities.flatten().collect();
    let count = |severity| severities.iter().filter(|&&each| each == severity).count();
    let (errors, warnings) = (count(Severity::Error), count(Severity::Warning));
    let mut lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.extend(changes.iter().map(ToString::to_string));
    let name = catalog.map_or("configuration".to_owned(), |catalog| {
        format!("configuration {}", catalog.version)
    });
    lines.push(format!(
        "{name}: errors: {errors}, warnings: {warnings}, changes: {}",
        changes.len()
    ));
    let exit_status = if errors > 0 {
        ExitStatus::Findings
    } else {
        ExitStatus::Done
    };
    let data = json!({ "findings": findings, "changes": changes });
    CommandOutput::new(exit_status, lines.join("\n"), &data)
}
