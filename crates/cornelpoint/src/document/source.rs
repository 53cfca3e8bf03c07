/// Text of a file, with the file's name for findings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source<'a> {
    /// Name of the file, as shown in findings.
    pub file: &'a str,
    /// Content of the file.
    pub text: &'a str,
}
