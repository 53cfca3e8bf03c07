use crate::document::Node;
use crate::document::ObjectReader;
use crate::document::Value;
use crate::document::ValueReader;
use crate::finding::Findings;

/// A parameter of a template, set by the workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameter {
    /// Name that references in the template and the workspace use.
    pub name: String,
    /// Type and range.
    pub kind: ParameterKind,
    /// Value if the workspace sets none; without it, the workspace must set one.
    pub default: Option<Node>,
}

/// Type and range of a parameter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParameterKind {
    /// A whole number.
    Integer {
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
    },
    /// A string.
    Text {
        /// Allowed strings; any string if empty.
        choices: Vec<String>,
    },
    /// `true` or `false`.
    Boolean,
}

/// Type of a parameter, as named in a template.
#[derive(Clone, Copy)]
enum KindWord {
    Integer,
    Text,
    Boolean,
}

const KIND_WORDS: [(&str, KindWord); 3] = [
    ("integer", KindWord::Integer),
    ("text", KindWord::Text),
    ("boolean", KindWord::Boolean),
];

impl Parameter {
    /// Reads a parameter's entry in a template.
    pub(super) fn read(name: &str, value: ValueReader<'_>) -> Option<Self> {
        value.object(|reader| {
            let word = reader.required("type")?.choice(&KIND_WORDS)?;
            let kind = read_kind(word, reader);
            let default = reader.optional("default").map(|value| value.node().clone());
            let kind = kind?;
            if let Some(node) = &default {
                kind.check(node, reader.findings())?;
            }
            Some(Self {
                name: name.to_owned(),
                kind,
                default,
            })
        })
    }
}

impl ParameterKind {
    /// Checks a value given for the parameter.
    pub(crate) fn check(&self, node: &Node, findings: &mut Findings) -> Option<()> {
        let value = ValueReader::new(node, findings);
        match self {
            Self::Integer { min, max } => value.integer(*min..=*max).map(|_| ()),
            Self::Boolean => value.boolean().map(|_| ()),
            Self::Text { choices } if choices.is_empty() => value.text().map(|_| ()),
            Self::Text { choices } => check_choice(choices, value),
        }
    }
}

fn check_choice(choices: &[String], value: ValueReader<'_>) -> Option<()> {
    match &value.node().value {
        Value::Text(text) if choices.contains(text) => Some(()),
        _ => value.reject(&format!("one of {}", choices.join(", "))),
    }
}

fn read_kind(word: KindWord, reader: &mut ObjectReader<'_>) -> Option<ParameterKind> {
    match word {
        KindWord::Boolean => Some(ParameterKind::Boolean),
        KindWord::Text => {
            let choices = reader.list_or_empty("choices", |choice| choice.checked("a text"))?;
            Some(ParameterKind::Text { choices })
        }
        KindWord::Integer => {
            let min = reader.integer_or("min", 0..=u64::MAX, 0);
            let max = reader.integer_or("max", 0..=u64::MAX, u64::MAX);
            let (min, max) = (min?, max?);
            if min > max {
                let finding = reader
                    .node()
                    .finding("min of at most max", format!("min {min} and max {max}"));
                reader.findings().push(finding);
                return None;
            }
            Some(ParameterKind::Integer { min, max })
        }
    }
}
