use std::sync::Arc;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::errors::ParseError;

use super::node::Field;
use super::node::Node;
use super::node::Value;
use super::source::Source;
use crate::finding::Finding;
use crate::finding::Findings;
use crate::finding::Place;

/// Accepts comments and trailing commas, and no other extension of JSON.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses the text of a file into a tree of nodes.
pub(super) fn parse(source: Source<'_>) -> Result<Node, Findings> {
    let result = jsonc_parser::parse_to_ast(source.text, &CollectOptions::default(), &OPTIONS)
        .map_err(|error| syntax_finding(source, &error))?;
    let value = result.value.ok_or_else(|| empty_finding(source))?;
    Ok(Builder::new(source).node(value, String::new()))
}

fn syntax_finding(source: Source<'_>, error: &ParseError) -> Finding {
    let found = error.kind().to_string();
    whole_file_finding(
        source,
        error.line_display(),
        error.column_display(),
        found.to_lowercase(),
    )
}

fn empty_finding(source: Source<'_>) -> Finding {
    whole_file_finding(source, 1, 1, "no value".to_owned())
}

fn whole_file_finding(source: Source<'_>, line: usize, column: usize, found: String) -> Finding {
    Finding {
        place: Place {
            file: source.file.to_owned(),
            line: to_u32(line),
            column: to_u32(column),
        },
        field: String::new(),
        expected: "JSON with comments".to_owned(),
        found,
        suggestion: None,
    }
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Converts the parser's syntax tree into nodes.
struct Builder<'a> {
    text: &'a str,
    file: Arc<str>,
    line_starts: Vec<usize>,
}

impl<'a> Builder<'a> {
    fn new(source: Source<'a>) -> Self {
        let after_breaks = source.text.match_indices('\n').map(|(index, _)| index + 1);
        Self {
            text: source.text,
            file: Arc::from(source.file),
            line_starts: std::iter::once(0).chain(after_breaks).collect(),
        }
    }

    fn node(&self, value: ast::Value<'_>, path: String) -> Node {
        let range = value.range();
        let line_index = self
            .line_starts
            .partition_point(|start| *start <= range.start)
            - 1;
        let before = &self.text[self.line_starts[line_index]..range.start];
        Node {
            file: Arc::clone(&self.file),
            line: to_u32(line_index + 1),
            column: to_u32(before.chars().count() + 1),
            start_bytes: range.start,
            end_bytes: range.end,
            value: self.value(value, &path),
            path,
        }
    }

    fn value(&self, value: ast::Value<'_>, path: &str) -> Value {
        match value {
            ast::Value::NullKeyword(_) => Value::Null,
            ast::Value::BooleanLit(literal) => Value::Boolean(literal.value),
            ast::Value::NumberLit(literal) => number(literal.value),
            ast::Value::StringLit(literal) => Value::Text(literal.value.into_owned()),
            ast::Value::Array(array) => self.list(array, path),
            ast::Value::Object(object) => self.object(object, path),
        }
    }

    fn list(&self, array: ast::Array<'_>, path: &str) -> Value {
        let elements = array.elements.into_iter().enumerate();
        let nodes = elements.map(|(index, value)| self.node(value, format!("{path}[{index}]")));
        Value::List(nodes.collect())
    }

    fn object(&self, object: ast::Object<'_>, path: &str) -> Value {
        let properties = object.properties.into_iter();
        let fields = properties.map(|property| {
            let name = property.name.into_string();
            let field_path = match path {
                "" => name.clone(),
                _ => format!("{path}.{name}"),
            };
            Field {
                node: self.node(property.value, field_path),
                name,
            }
        });
        Value::Object(fields.collect())
    }
}

fn number(text: &str) -> Value {
    match text.parse() {
        Ok(value) => Value::Integer(value),
        Err(_) => Value::Number(text.to_owned()),
    }
}
