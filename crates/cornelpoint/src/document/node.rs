use std::sync::Arc;

use crate::finding::Finding;
use crate::finding::Place;

/// A value in a document, with its place in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line, counted from 1.
    pub line: u32,
    /// Column in characters, counted from 1.
    pub column: u32,
    /// Offset of the value's first byte in the text.
    pub start_bytes: usize,
    /// Offset of the byte after the value.
    pub end_bytes: usize,
    /// Path of the field, such as `pools.quoting.slots`; empty for the whole document.
    pub path: String,
    /// The value.
    pub value: Value,
}

/// A value of any kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// `null`.
    Null,
    /// `true` or `false`.
    Boolean(bool),
    /// A whole number of 0 or more.
    Integer(u64),
    /// Any other number, as written in the document.
    Number(String),
    /// A string.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// An object, with its fields in document order.
    Object(Vec<Field>),
    /// A value that is not known yet, such as that of a parameter without a
    /// default or a given value; it passes every check.
    Unresolved,
}

/// A field of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name of the field.
    pub name: String,
    /// Value of the field, with its place.
    pub node: Node,
}

impl Node {
    /// Returns the place of the value.
    #[must_use]
    pub fn place(&self) -> Place {
        Place {
            file: self.file.to_string(),
            line: self.line,
            column: self.column,
        }
    }

    /// Returns the fields of an object; none for any other value.
    #[must_use]
    pub fn fields(&self) -> &[Field] {
        match &self.value {
            Value::Object(fields) => fields,
            _ => &[],
        }
    }

    /// Returns the value of an object's field.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&Node> {
        let field = self.fields().iter().find(|field| field.name == name)?;
        Some(&field.node)
    }

    /// Returns the elements of a list; none for any other value.
    #[must_use]
    pub fn elements(&self) -> &[Node] {
        match &self.value {
            Value::List(elements) => elements,
            _ => &[],
        }
    }

    /// Creates a finding at this value, without a suggestion.
    #[must_use]
    pub fn finding(&self, expected: impl Into<String>, found: impl Into<String>) -> Finding {
        Finding {
            place: self.place(),
            field: self.path.clone(),
            expected: expected.into(),
            found: found.into(),
            suggestion: None,
        }
    }

    /// Creates a finding for an unknown name at this value; suggests the nearest known name.
    #[must_use]
    pub fn unknown_name(&self, what: &str, found: &str, known: &[&str]) -> Finding {
        let expected = match known {
            [] => format!("no {what}"),
            _ => format!("{what}: one of {}", known.join(", ")),
        };
        Finding {
            suggestion: super::nearest(found, known.iter().copied()).map(str::to_owned),
            ..self.finding(expected, format!("`{}`", found.escape_default()))
        }
    }

    /// Describes the value as findings show it.
    #[must_use]
    pub fn found(&self) -> String {
        match &self.value {
            Value::Null => "null".to_owned(),
            Value::Boolean(value) => value.to_string(),
            Value::Integer(value) => value.to_string(),
            Value::Number(text) => text.clone(),
            Value::Text(text) => format!("`{}`", text.escape_default()),
            Value::List(elements) => format!("a list of {}", elements.len()),
            Value::Object(_) => "an object".to_owned(),
            Value::Unresolved => "a parameter".to_owned(),
        }
    }
}
