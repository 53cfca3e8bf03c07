//! Tests of the findings for templates and workspaces, by scenario.
//!
//! A `check` scenario edits the files of a deployment: a line
//! `template FIND => REPLACE` or `workspace FIND => REPLACE` replaces the
//! first occurrence of a text, then both files are checked together. The
//! scenarios `template` and `parse` check the text that they contain.

use cornelpoint::deployment::Deployment;
use cornelpoint::document::Document;
use cornelpoint::document::Source;
use cornelpoint::template;
use cornelpoint::workspace;
use datadriven::TestCase;

struct Files {
    template: String,
    workspace: String,
}

impl Files {
    fn edited(edits: &str) -> Self {
        let deployment = Deployment::Futopalya;
        let mut files = Self {
            template: deployment.template().text.to_owned(),
            workspace: deployment.workspace().text.to_owned(),
        };
        for line in edits.lines() {
            files.edit(line);
        }
        files
    }

    fn edit(&mut self, line: &str) {
        let (file, edit) = line.split_once(' ').expect("FILE FIND => REPLACE");
        let (find, replace) = edit.split_once(" =>").expect("FIND => REPLACE");
        let text = match file {
            "template" => &mut self.template,
            "workspace" => &mut self.workspace,
            _ => panic!("expected template or workspace, found {file}"),
        };
        assert!(
            text.contains(find),
            "expected {find} in the {file}, found none"
        );
        *text = text.replacen(find, replace.trim_start(), 1);
    }

    fn check(&self) -> String {
        let template = Source {
            file: "template",
            text: &self.template,
        };
        let workspace = Source {
            file: "workspace",
            text: &self.workspace,
        };
        match workspace::check(template, workspace) {
            Ok(_) => "ok\n".to_owned(),
            Err(findings) => format!("{findings}\n"),
        }
    }
}

fn check_template(text: &str) -> String {
    match template::check(Source {
        file: "template",
        text,
    }) {
        Ok(_) => "ok\n".to_owned(),
        Err(findings) => format!("{findings}\n"),
    }
}

fn parse(text: &str) -> String {
    match Document::parse(Source { file: "file", text }) {
        Ok(_) => "ok\n".to_owned(),
        Err(findings) => format!("{findings}\n"),
    }
}

fn run(case: &mut TestCase) -> String {
    match case.directive.as_str() {
        "check" => Files::edited(&case.input).check(),
        "template" => check_template(&case.input),
        "parse" => parse(&case.input),
        other => panic!("expected check, template or parse, found {other}"),
    }
}

#[test]
fn findings_are_reported_together() {
    datadriven::walk("tests/testdata/findings", |file| file.run(run));
}
