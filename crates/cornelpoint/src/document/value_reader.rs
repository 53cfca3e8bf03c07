use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::node::Node;
use super::node::Value;
use super::object_reader::ObjectReader;
use crate::finding::Findings;

/// What findings say of a text that is not a name.
pub const NAME_EXPECTED: &str = "a name of 1 to 64 small letters, digits, `-` and `.`";

/// Reads one value into a checked type.
///
/// Each getter returns `None` after it recorded a finding.
#[derive(Debug)]
pub struct ValueReader<'a> {
    node: &'a Node,
    findings: &'a mut Findings,
}

impl<'a> ValueReader<'a> {
    /// A reader of the node that records into the findings.
    #[must_use]
    pub fn new(node: &'a Node, findings: &'a mut Findings) -> Self {
        Self { node, findings }
    }

    /// The value that is read.
    #[must_use]
    pub fn node(&self) -> &'a Node {
        self.node
    }

    /// A whole number in a range.
    #[must_use]
    pub fn integer(self, range: RangeInclusive<u64>) -> Option<u64> {
        match &self.node.value {
            Value::Integer(value) if range.contains(value) => Some(*value),
            _ => {
                let expected = format!("a whole number from {} to {}", range.start(), range.end());
                self.refuse(&expected)
            }
        }
    }

    /// A whole number in a range that fits 32 bits.
    #[must_use]
    pub fn integer_u32(self, range: RangeInclusive<u32>) -> Option<u32> {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        let value = self.integer(wide)?;
        u32::try_from(value).ok()
    }

    /// `true` or `false`.
    #[must_use]
    pub fn boolean(self) -> Option<bool> {
        match &self.node.value {
            Value::Boolean(value) => Some(*value),
            _ => self.refuse("true or false"),
        }
    }

    /// A text.
    #[must_use]
    pub fn text(self) -> Option<String> {
        match &self.node.value {
            Value::Text(text) => Some(text.clone()),
            _ => self.refuse("a text"),
        }
    }

    /// A checked name.
    #[must_use]
    pub fn name<T: TryFrom<String>>(self) -> Option<T> {
        self.checked(NAME_EXPECTED)
    }

    /// A text that a checked type takes; `expected` says which texts those are.
    #[must_use]
    pub fn checked<T: TryFrom<String>>(self, expected: &str) -> Option<T> {
        let value = match &self.node.value {
            Value::Text(text) => T::try_from(text.clone()).ok(),
            _ => None,
        };
        match value {
            Some(value) => Some(value),
            None => self.refuse(expected),
        }
    }

    /// An IP number and a port, such as `10.0.0.1:7100`.
    #[must_use]
    pub fn address(self) -> Option<SocketAddr> {
        let value = match &self.node.value {
            Value::Text(text) => text.parse().ok(),
            _ => None,
        };
        match value {
            Some(value) => Some(value),
            None => self.refuse("an IP number and a port, such as 10.0.0.1:7100"),
        }
    }

    /// A list of addresses.
    #[must_use]
    #[expect(
        clippy::redundant_closure_for_method_calls,
        reason = "the method is bound to one lifetime, each element has its own"
    )]
    pub fn addresses(self) -> Option<Vec<SocketAddr>> {
        self.list(|element| element.address())
    }

    /// One of a closed set of words.
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
            _ => self.refuse(&format!("one of {}", words.join(", "))),
        }
    }

    /// A list, each element read by the function.
    pub fn list<T>(self, mut read: impl FnMut(ValueReader<'_>) -> Option<T>) -> Option<Vec<T>> {
        let Value::List(elements) = &self.node.value else {
            return self.refuse("a list");
        };
        let values: Vec<Option<T>> = elements
            .iter()
            .map(|element| read(ValueReader::new(element, self.findings)))
            .collect();
        values.into_iter().collect()
    }

    /// An object, its fields taken by the function; fields not taken are findings.
    pub fn object<T>(self, read: impl FnOnce(&mut ObjectReader<'_>) -> Option<T>) -> Option<T> {
        let Value::Object(_) = &self.node.value else {
            return self.refuse("an object");
        };
        let mut reader = ObjectReader::new(self.node, self.findings);
        let value = read(&mut reader);
        reader.finish();
        value
    }

    /// An object whose field names are free, each field read by the function.
    pub fn entries<T>(
        self,
        mut read: impl FnMut(&str, ValueReader<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Value::Object(fields) = &self.node.value else {
            return self.refuse("an object");
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

    /// Records that the value is not what was expected.
    #[must_use]
    pub fn refuse<T>(self, expected: &str) -> Option<T> {
        if self.node.value != Value::Open {
            self.findings
                .push(self.node.finding(expected, self.node.found()));
        }
        None
    }
}
