use prometheus_client::encoding::EncodeLabelSet;

/// Label set of counters that are split by outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Outcome {
    pub(crate) outcome: &'static str,
}

/// Label set of what a tenant has of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TenantResource {
    pub(crate) pool: String,
    pub(crate) tenant: String,
    pub(crate) kind: &'static str,
    pub(crate) resource: &'static str,
}

/// Label set of counters that are split by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Reason {
    pub(crate) reason: &'static str,
}

/// Label set of counters that are split by where an answer came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Source {
    pub(crate) source: &'static str,
}

/// Label set of what is counted by listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Listener {
    pub(crate) port: &'static str,
}

/// Label set of refusals, by listener and reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Refusal {
    pub(crate) port: &'static str,
    pub(crate) reason: &'static str,
}
