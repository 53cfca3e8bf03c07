use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::node::Node;
use super::value_reader::ValueReader;
use crate::finding::Finding;
use crate::finding::Findings;

/// Reads the fields of an object into checked types.
///
/// A getter named after a type reads a required field. One that ends in
/// `_or` takes a default for a field that is not there. Each returns `None`
/// after it recorded a finding, so a reading function calls all getters
/// first and combines their values last.
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

    /// The object that is read.
    #[must_use]
    pub fn node(&self) -> &'a Node {
        self.node
    }

    /// The findings, for checks over several fields.
    pub fn findings(&mut self) -> &mut Findings {
        self.findings
    }

    /// A field that must be there.
    pub fn required(&mut self, name: &'static str) -> Option<ValueReader<'_>> {
        self.known.push(name);
        if let Some(node) = self.node.field(name) {
            Some(ValueReader::new(node, self.findings))
        } else {
            self.findings.push(missing(self.node, name));
            None
        }
    }

    /// A field that may be missing.
    pub fn optional(&mut self, name: &'static str) -> Option<ValueReader<'_>> {
        self.known.push(name);
        let node = self.node.field(name)?;
        Some(ValueReader::new(node, self.findings))
    }

    /// A whole number in a range.
    pub fn integer(&mut self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        self.required(name)?.integer(range)
    }

    /// A whole number in a range, or the default.
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

    /// A whole number in a range that fits 32 bits.
    pub fn integer_u32(&mut self, name: &'static str, range: RangeInclusive<u32>) -> Option<u32> {
        self.required(name)?.integer_u32(range)
    }

    /// A whole number in a range that fits 32 bits, or the default.
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

    /// `true` or `false`, or the default.
    pub fn boolean_or(&mut self, name: &'static str, default: bool) -> Option<bool> {
        match self.optional(name) {
            Some(value) => value.boolean(),
            None => Some(default),
        }
    }

    /// A text.
    pub fn text(&mut self, name: &'static str) -> Option<String> {
        self.required(name)?.text()
    }

    /// A checked name.
    pub fn name<T: TryFrom<String>>(&mut self, name: &'static str) -> Option<T> {
        self.required(name)?.name()
    }

    /// An IP number and a port.
    pub fn address(&mut self, name: &'static str) -> Option<SocketAddr> {
        self.required(name)?.address()
    }

    /// A list, each element read by the function.
    pub fn list<T>(
        &mut self,
        name: &'static str,
        read: impl FnMut(ValueReader<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        self.required(name)?.list(read)
    }

    /// A list, each element read by the function; empty when the field is missing.
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

    /// An object, its fields taken by the function.
    pub fn object<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&mut ObjectReader<'_>) -> Option<T>,
    ) -> Option<T> {
        self.required(name)?.object(read)
    }

    /// Records fields that no getter asked for, and fields that stand twice.
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
