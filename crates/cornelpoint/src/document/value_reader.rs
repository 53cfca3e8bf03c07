use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::node::Node;
use super::node::Value;
use super::object_reader::ObjectReader;
use crate::finding::Findings;

/// Description of a valid name, for findings.
pub const NAME_EXPECTED: &str = "a name of 1 to 64 small letters, digits, `-` and `.`";

/// Reads one value into a checked type.
///
/// Each getter records a finding before it returns `None`, except for an
/// unresolved value, which gives `None` without a finding.
#[derive(Debug)]
pub struct ValueReader<'a> {
    node: &'a Node,
    findings: &'a mut Findings,
}

impl<'a> ValueReader<'a> {
    /// Creates a reader of the node that adds its findings to `findings`.
    #[must_use]
    pub fn new(node: &'a Node, findings: &'a mut Findings) -> Self {
        Self { node, findings }
    }

    /// Returns the value being read.
    #[must_use]
    pub fn node(&self) -> &'a Node {
        self.node
    }

    /// Reads a whole number within a range.
    #[must_use]
    pub fn integer(self, range: RangeInclusive<u64>) -> Option<u64> {
        match &self.node.value {
            Value::Integer(value) if range.contains(value) => Some(*value),
            _ => {
                let expected = format!("a whole number from {} to {}", range.start(), range.end());
                self.reject(&expected)
            }
        }
    }

    /// Reads a 32-bit whole number within a range.
    #[must_use]
    pub fn integer_u32(self, range: RangeInclusive<u32>) -> Option<u32> {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        let value = self.integer(wide)?;
        u32::try_from(value).ok()
    }

    /// Reads `true` or `false`.
    #[must_use]
    pub fn boolean(self) -> Option<bool> {
        match &self.node.value {
            Value::Boolean(value) => Some(*value),
            _ => self.reject("true or false"),
        }
    }

    /// Reads a string.
    #[must_use]
    pub fn text(self) -> Option<String> {
        match &self.node.value {
            Value::Text(text) => Some(text.clone()),
            _ => self.reject("a text"),
        }
    }

    /// Reads a name.
    #[must_use]
    pub fn name<T: TryFrom<String>>(self) -> Option<T> {
        self.checked(NAME_EXPECTED)
    }

    /// Reads a string into a type that validates it; `expected` describes the valid strings.
    #[must_use]
    pub fn checked<T: TryFrom<String>>(self, expected: &str) -> Option<T> {
        let value = match &self.node.value {
            Value::Text(text) => T::try_from(text.clone()).ok(),
            _ => None,
        };
        match value {
            Some(value) => Some(value),
            None => self.reject(expected),
        }
    }

    /// Reads an IP address with a port, such as `10.0.0.1:7100`.
    #[must_use]
    pub fn address(self) -> Option<SocketAddr> {
        let value = match &self.node.value {
            Value::Text(text) => text.parse().ok(),
            _ => None,
        };
        match value {
            Some(value) => Some(value),
            None => self.reject("an IP number and a port, such as 10.0.0.1:7100"),
        }
    }

    /// Reads a list of IP addresses with ports.
    #[must_use]
    #[expect(
        clippy::redundant_closure_for_method_calls,
        reason = "the method is bound to one lifetime, each element has its own"
    )]
    pub fn addresses(self) -> Option<Vec<SocketAddr>> {
        self.list(|element| element.address())
    }

    /// Reads one of a fixed set of words.
    pub fn choice<T: Copy>(self, choices: &[(&str, T)]) -> Option<T> {
        let chosen = match &self.node.value {
            Value::Text(text) => choices.iter().find(|(word, _)| word == text),
            _ => None,
        };
        if let Some((_, value)) = chosen {
            return Some(*value);
        }
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        match &self.node.value {
            Value::Text(text) => {
                let finding = self.node.unknown_name("word", text, &words);
                self.findings.push(finding);
                None
            }
            _ => self.reject(&format!("one of {}", words.join(", "))),
        }
    }

    /// Reads a list, each element with the function.
    pub fn list<T>(self, mut read: impl FnMut(ValueReader<'_>) -> Option<T>) -> Option<Vec<T>> {
        let Value::List(elements) = &self.node.value else {
            return self.reject("a list");
        };
        let values: Vec<Option<T>> = elements
            .iter()
            .map(|element| read(ValueReader::new(element, self.findings)))
            .collect();
        values.into_iter().collect()
    }

    /// Reads an object with a function that reads its fields; fields that it
    /// leaves unread are recorded as findings.
    pub fn object<T>(self, read: impl FnOnce(&mut ObjectReader<'_>) -> Option<T>) -> Option<T> {
        let Value::Object(_) = &self.node.value else {
            return self.reject("an object");
        };
        let mut reader = ObjectReader::new(self.node, self.findings);
        let value = read(&mut reader);
        reader.finish();
        value
    }

    /// Reads an object with arbitrary field names, each field with the function.
    pub fn entries<T>(
        self,
        mut read: impl FnMut(&str, ValueReader<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Value::Object(fields) = &self.node.value else {
            return self.reject("an object");
        };
        let mut values = Vec::new();
        for (index, field) in fields.iter().enumerate() {
            if fields[..index].iter().any(|other| other.name == field.name) {
                let finding = field.node.finding("each name once", "it twice");
                self.findings.push(finding);
            }
            values.push(read(
                &field.name,
                ValueReader::new(&field.node, self.findings),
            ));
        }
        values.into_iter().collect()
    }

    /// Records a finding that the value is not as expected, unless it is unresolved.
    #[must_use]
    pub fn reject<T>(self, expected: &str) -> Option<T> {
        if self.node.value != Value::Unresolved {
            self.findings
                .push(self.node.finding(expected, self.node.found()));
        }
        None
    }
}
