/// Limits of the client towards endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Most idle connections kept for each endpoint.
    pub max_idle_per_endpoint: usize,
    /// Time that an idle connection is kept, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Time for a connection to be made, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Most bytes of a status line with its headers, and of one header of a
    /// request; each connection in use has two buffers a little larger.
    pub max_header_bytes: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            max_idle_per_endpoint: 4,
            idle_timeout_ms: 10_000,
            connect_timeout_ms: 1_000,
            max_header_bytes: 16 * 1024,
        }
    }
}
