use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::node::Node;
use super::value_reader::ValueReader;
use crate::finding::Finding;
use crate::finding::Findings;

/// Reads the fields of an object into checked types.
///
/// A getter named after a type reads a required field. A getter that ends in
/// `_or` or `_or_empty` returns a default if the field is missing. Each
/// records a finding before it returns `None`, except for an unresolved value.
/// A function that reads an object calls all getters first and combines their
/// values last, so that all findings are reported together.
#[derive(Debug)]
pub struct ObjectReader<'a> {
    node: &'a Node,
    known: Vec<&'static str>,
    findings: &'a mut Findings,
}

impl<'a> ObjectReader<'a> {
    pub(super) fn new(node: &'a Node, findings: &'a mut Findings) -> Self {
        Self {
            node,
            known: Vec::new(),
            findings,
        }
    }

    /// Returns the object being read.
    #[must_use]
    pub fn node(&self) -> &'a Node {
        self.node
    }

    /// Returns the findings, for checks that span several fields.
    pub fn findings(&mut self) -> &mut Findings {
        self.findings
    }

    /// Returns a reader of a required field.
    pub fn required(&mut self, name: &'static str) -> Option<ValueReader<'_>> {
        self.known.push(name);
        if let Some(node) = self.node.field(name) {
            Some(ValueReader::new(node, self.findings))
        } else {
            self.findings.push(missing(self.node, name));
            None
        }
    }

    /// Returns a reader of an optional field; `None` without a finding if it is missing.
    pub fn optional(&mut self, name: &'static str) -> Option<ValueReader<'_>> {
        self.known.push(name);
        let node = self.node.field(name)?;
        Some(ValueReader::new(node, self.findings))
    }

    /// Reads a required whole number within a range.
    pub fn integer(&mut self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        self.required(name)?.integer(range)
    }

    /// Reads a whole number within a range; returns the default if the field is missing.
    pub fn integer_or(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        match self.optional(name) {
            Some(value) => value.integer(range),
            None => Some(default),
        }
    }

    /// Reads a required 32-bit whole number within a range.
    pub fn integer_u32(&mut self, name: &'static str, range: RangeInclusive<u32>) -> Option<u32> {
        self.required(name)?.integer_u32(range)
    }

    /// Reads a 32-bit whole number within a range; returns the default if the field is missing.
    pub fn integer_u32_or(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u32>,
        default: u32,
    ) -> Option<u32> {
        match self.optional(name) {
            Some(value) => value.integer_u32(range),
            None => Some(default),
        }
    }

    /// Reads `true` or `false`; returns the default if the field is missing.
    pub fn boolean_or(&mut self, name: &'static str, default: bool) -> Option<bool> {
        match self.optional(name) {
            Some(value) => value.boolean(),
            None => Some(default),
        }
    }

    /// Reads a required string.
    pub fn text(&mut self, name: &'static str) -> Option<String> {
        self.required(name)?.text()
    }

    /// Reads a required name.
    pub fn name<T: TryFrom<String>>(&mut self, name: &'static str) -> Option<T> {
        self.required(name)?.name()
    }

    /// Reads a required IP address with a port.
    pub fn address(&mut self, name: &'static str) -> Option<SocketAddr> {
        self.required(name)?.address()
    }

    /// Reads a required list, each element with the function.
    pub fn list<T>(
        &mut self,
        name: &'static str,
        read: impl FnMut(ValueReader<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        self.required(name)?.list(read)
    }

    /// Reads a list, each element with the function; returns an empty one if the field is missing.
    pub fn list_or_empty<T>(
        &mut self,
        name: &'static str,
        read: impl FnMut(ValueReader<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        match self.optional(name) {
            Some(value) => value.list(read),
            None => Some(Vec::new()),
        }
    }

    /// Reads a required object with a function that reads its fields.
    pub fn object<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&mut ObjectReader<'_>) -> Option<T>,
    ) -> Option<T> {
        self.required(name)?.object(read)
    }

    /// Records a finding for each field that no getter read and for each duplicate field.
    pub(super) fn finish(self) {
        let fields = self.node.fields();
        for (index, field) in fields.iter().enumerate() {
            if !self.known.contains(&field.name.as_str()) {
                let finding = field.node.unknown_name("field", &field.name, &self.known);
                self.findings.push(finding);
            }
            if fields[..index].iter().any(|other| other.name == field.name) {
                self.findings
                    .push(field.node.finding("each field once", "it twice"));
            }
        }
    }
}

fn missing(node: &Node, name: &str) -> Finding {
    let field = match node.path.as_str() {
        "" => name.to_owned(),
        path => format!("{path}.{name}"),
    };
    Finding {
        field,
        ..node.finding("a value", "none")
    }
}
