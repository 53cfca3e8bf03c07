/// How the body of a request is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// There is no body.
    Empty,
    /// The body has this length, in bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
}
