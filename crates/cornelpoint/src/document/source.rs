/// A text and the name of the file that it came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source<'a> {
    /// Name of the file, as it is to stand in findings.
    pub file: &'a str,
    /// Content of the file.
    pub text: &'a str,
}
