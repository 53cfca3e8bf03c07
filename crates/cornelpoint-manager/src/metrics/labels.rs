use prometheus_client::encoding::EncodeLabelSet;

/// Label set of counters that are split by outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Outcome {
    pub(crate) outcome: &'static str,
}
