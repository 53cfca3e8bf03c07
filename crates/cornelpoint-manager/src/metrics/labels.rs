use prometheus_client::encoding::EncodeLabelSet;

/// Label set of counters that are split by outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Outcome {
    pub(crate) outcome: &'static str,
}

/// Label set of counters that are split by the reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Reason {
    pub(crate) reason: &'static str,
}

/// Label set of counters that are split by where an answer came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Source {
    pub(crate) source: &'static str,
}
