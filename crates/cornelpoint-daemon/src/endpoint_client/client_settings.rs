/// Limits of the client for endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Largest number of idle connections kept for each endpoint.
    pub max_idle_per_endpoint: usize,
    /// Time that an idle connection is kept, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Longest time to establish a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Largest status line with its headers in an answer, and largest header
    /// line of a request, in bytes. Each connection in use has two buffers
    /// slightly larger than this.
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
