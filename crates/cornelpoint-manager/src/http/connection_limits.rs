use std::time::Duration;

use cornelpoint::connection_budget::BudgetLimits;
use cornelpoint::connection_budget::permille;
use tokio::time::Instant;

/// Part of the process's memory that connections from outside and their bodies may hold,
/// in thousandths. The rest is for the jobs that the process schedules, for what a parsed
/// body takes beside its bytes, and for what the allocator keeps.
const MEMORY_PERMILLE: u64 = 375;
/// Part of the memory of connections that callers may hold, in thousandths; peers have the
/// rest, so that callers can't lock them out.
const CALLER_MEMORY_PERMILLE: u64 = 750;
/// Part of a listener's memory that large bodies may fill, in thousandths. While they are
/// answered they can't be closed, and small ones need room.
const LARGE_BODY_PERMILLE: u64 = 750;
/// Descriptors that the platform reserves for files.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Part of the descriptors for callers, in thousandths.
const CALLER_DESCRIPTORS_PERMILLE: u64 = 500;
/// Part of the descriptors for peers, in thousandths. The process's own connections to the
/// store, peers and workers have the rest.
const PEER_DESCRIPTORS_PERMILLE: u64 = 200;
/// Connections of readiness checks; the load balancer opens a few.
const BALANCER_CONNECTIONS: usize = 32;

/// Largest read buffer of a connection. It has to hold the largest head, 16,384 bytes by
/// the operator's limits.
pub(super) const READ_BUFFER_BYTES: usize = 20_480;
/// What a connection counts for: 41 KB were measured with a part of a head.
pub(super) const CONNECTION_BYTES: usize = 40_960;
/// What a body counts for beside its own buffer: the pieces on their way from the
/// connection to that buffer, each of which keeps a read buffer.
pub(super) const BODY_BYTES: usize = 2 * READ_BUFFER_BYTES;

/// A kind of listener; each has limits of its own, so that none locks out another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Port {
    /// Callers of the system.
    Callers,
    /// Messages between processes, and the metrics.
    Peers,
    /// The load balancer's readiness checks.
    Balancer,
}

impl Port {
    /// All kinds, in the order of [`Port::index`].
    pub(crate) const ALL: [Self; 3] = [Self::Callers, Self::Peers, Self::Balancer];

    /// Returns the position in [`Port::ALL`].
    pub(super) fn index(self) -> usize {
        match self {
            Self::Callers => 0,
            Self::Peers => 1,
            Self::Balancer => 2,
        }
    }

    /// Returns the name in metrics and logs.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Peers => "peers",
            Self::Balancer => "balancer",
        }
    }
}

/// Returns a listener's share of the process's memory and descriptors.
pub(crate) fn port_limits(port: Port, limits: &ServerLimits) -> BudgetLimits {
    let bytes = permille(limits.memory_bytes, MEMORY_PERMILLE) as u64;
    let caller_bytes = permille(bytes, CALLER_MEMORY_PERMILLE);
    let descriptors = limits.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let (max_connections, max_bytes) = match port {
        Port::Callers => (
            permille(descriptors, CALLER_DESCRIPTORS_PERMILLE),
            caller_bytes,
        ),
        Port::Peers => (
            permille(descriptors, PEER_DESCRIPTORS_PERMILLE),
            permille(bytes, 1000 - CALLER_MEMORY_PERMILLE),
        ),
        Port::Balancer => (
            BALANCER_CONNECTIONS,
            BALANCER_CONNECTIONS * CONNECTION_BYTES,
        ),
    };
    BudgetLimits {
        max_connections,
        max_bytes,
        large_body_bytes: permille(max_bytes as u64, LARGE_BODY_PERMILLE),
        connection_bytes: CONNECTION_BYTES,
        body_bytes: BODY_BYTES,
    }
}

/// How long a body may be under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyTimeouts {
    /// Longest time without any part of it.
    pub(crate) idle: Duration,
    /// Longest time until it is complete.
    pub(crate) total: Duration,
}

impl Default for BodyTimeouts {
    /// The operator's default limit for a connection without a request, and 262,144 bytes
    /// at 4.4 kB/s. A caller waits 3 s for an answer.
    fn default() -> Self {
        Self {
            idle: Duration::from_secs(15),
            total: Duration::from_secs(60),
        }
    }
}

impl BodyTimeouts {
    /// Returns when a body is given up that began at `started` and made progress at `latest`.
    pub(super) fn due(&self, started: Instant, latest: Instant) -> Instant {
        (latest + self.idle).min(started + self.total)
    }
}

/// Limits of a process's servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServerLimits {
    pub(crate) memory_bytes: u64,
    pub(crate) max_descriptors: u64,
    pub(crate) body_timeouts: BodyTimeouts,
}
