use super::node::Node;
use super::object_reader::ObjectReader;
use super::parse;
use super::source::Source;
use super::value_reader::ValueReader;
use crate::finding::Findings;

/// A parsed document in JSON with comments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    root: Node,
}

impl Document {
    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// One finding, if the text is not JSON with comments.
    pub fn parse(source: Source<'_>) -> Result<Self, Findings> {
        let root = parse::parse(source)?;
        Ok(Self { root })
    }

    /// Returns the outermost value.
    #[must_use]
    pub fn root(&self) -> &Node {
        &self.root
    }

    /// Reads the document, which must be an object, with a function that reads
    /// its fields.
    ///
    /// The function returns `None` if one of its getters did; that getter has
    /// already recorded a finding.
    ///
    /// # Errors
    ///
    /// All findings, unknown fields included.
    ///
    /// ```
    /// use cornelpoint::document::Document;
    /// use cornelpoint::document::Source;
    ///
    /// let source = Source { file: "a.json", text: "{\"lease_ms\": 0, \"prot\": 80}" };
    /// let findings = Document::parse(source)
    ///     .and_then(|document| {
    ///         document.read(|reader| {
    ///             let lease_ms = reader.integer("lease_ms", 1..=5_000);
    ///             let port = reader.integer("port", 1..=65_535);
    ///             Some((lease_ms?, port?))
    ///         })
    ///     })
    ///     .unwrap_err();
    /// assert_eq!(
    ///     findings.to_string(),
    ///     "a.json:1:1: port: expected a value, found none\n\
    ///      a.json:1:14: lease_ms: expected a whole number from 1 to 5000, found 0\n\
    ///      a.json:1:25: prot: expected field: one of lease_ms, port, \
    ///      found `prot` (did you mean `port`?)"
    /// );
    /// ```
    pub fn read<T>(
        &self,
        read: impl FnOnce(&mut ObjectReader<'_>) -> Option<T>,
    ) -> Result<T, Findings> {
        let mut findings = Findings::default();
        let value = ValueReader::new(&self.root, &mut findings).object(read);
        findings.into_result(value)
    }
}
