use prometheus_client::encoding::EncodeLabelSet;

/// What a counter counts, by its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Outcome {
    pub(crate) outcome: &'static str,
}
