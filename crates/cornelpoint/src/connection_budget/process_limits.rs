use super::budget_limits::BudgetLimits;
use super::budget_limits::permille;
use super::client_class::ClientClass;
use super::listener_limits::ClassLimits;
use super::listener_limits::ListenerLimits;

/// Part of a process's memory that its clients may make it hold, in thousandths. The rest is
/// for the process's own state, and for what the allocator keeps.
const MEMORY_PERMILLE: u64 = 500;
/// Parts of that for a gateway's connections of callers, their requests, and operators, in
/// thousandths.
const GATEWAY_CONNECTIONS_PERMILLE: u64 = 350;
const CALLER_REQUESTS_PERMILLE: u64 = 600;
const GATEWAY_OPERATORS_PERMILLE: u64 = 50;
/// The same for a keeper's connections, the messages of peers, and operators.
const KEEPER_CONNECTIONS_PERMILLE: u64 = 160;
const PEERS_PERMILLE: u64 = 600;
const KEEPER_OPERATORS_PERMILLE: u64 = 200;
/// What a connection with a thread counts for: its stack, its read buffer and a small head.
const CONNECTION_BYTES: usize = 24_576;
/// What a small request to a control port counts for while it is answered.
const CONTROL_REQUEST_BYTES: usize = 16_384;
/// What a caller's request counts for beside its body: the two buffers of the connection to
/// an endpoint, of 17 kB each.
const CALLER_REQUEST_BYTES: usize = 36_864;
/// Part of the connections of a listener that may have requests, in thousandths. The others
/// can always be closed, so that a newcomer finds room.
const REQUESTS_PERMILLE: u64 = 750;
/// Part of the room of callers' requests that large bodies may fill, in thousandths.
const LARGE_CALLER_PERMILLE: u64 = 750;
/// Part of the room of messages that large ones may fill, in thousandths. A single message of
/// the largest size has to fit.
const LARGE_MESSAGE_PERMILLE: u64 = 950;
/// What the decoded form of a message between processes takes for each of its bytes: marks of
/// endpoints with the shortest names take nine times their text.
const DECODED_BYTES_PER_BYTE: usize = 11;
/// The same for an operator's message, whose fields are named.
const OPERATOR_BYTES_PER_BYTE: usize = 4;
/// Operators' requests that a keeper or a gateway answers at once; a dump takes several times
/// its size while it is written.
const OPERATOR_REQUESTS: usize = 8;
/// Health checks that are answered at once.
const BALANCER_REQUESTS: usize = 16;
/// Connections to a gateway's control port.
const CONTROL_CONNECTIONS: usize = 48;
/// Descriptors for files, logs, and the process's own connections to keepers and the platform.
const RESERVED_DESCRIPTORS: u64 = 64;
/// Parts of the remaining descriptors for connections of clients, in thousandths. A gateway's
/// connections to endpoints need some as well.
const GATEWAY_DESCRIPTORS_PERMILLE: u64 = 450;
const KEEPER_DESCRIPTORS_PERMILLE: u64 = 750;

/// Memory and descriptors that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Number of open file descriptors.
    pub max_descriptors: u64,
}

impl ProcessLimits {
    /// Returns the limits of a gateway's listener for callers.
    ///
    /// ```
    /// use cornelpoint::connection_budget::ClientClass;
    /// use cornelpoint::connection_budget::ProcessLimits;
    ///
    /// let limits = ProcessLimits { memory_bytes: 80_000_000, max_descriptors: 4100 };
    /// let callers = limits.gateway_callers(2048);
    /// assert_eq!(callers.connections.max_connections, 569);
    /// assert!(callers.class(ClientClass::Callers).largest_body_bytes() > 8_000_000);
    /// ```
    #[must_use]
    pub fn gateway_callers(&self, max_connections: usize) -> ListenerLimits {
        let bytes = self.client_bytes();
        let connections = connections(permille(bytes, GATEWAY_CONNECTIONS_PERMILLE))
            .min(max_connections)
            .min(self.descriptors(GATEWAY_DESCRIPTORS_PERMILLE));
        let requests = permille(connections as u64, REQUESTS_PERMILLE).max(1);
        let budget = requests_limits(
            requests,
            permille(bytes, CALLER_REQUESTS_PERMILLE),
            CALLER_REQUEST_BYTES,
        );
        let callers = ClassLimits {
            budget: with_large_part(budget, LARGE_CALLER_PERMILLE),
            decoded_bytes_per_byte: 0,
        };
        ListenerLimits::new(connection_limits(connections)).with(ClientClass::Callers, callers)
    }

    /// Returns the limits of a gateway's control port, whose requests have no bodies.
    ///
    /// ```
    /// use cornelpoint::connection_budget::ClientClass;
    /// use cornelpoint::connection_budget::ProcessLimits;
    ///
    /// let limits = ProcessLimits { memory_bytes: 80_000_000, max_descriptors: 4100 };
    /// let control = limits.gateway_control();
    /// assert_eq!(control.class(ClientClass::Balancer).budget.max_connections, 16);
    /// ```
    #[must_use]
    pub fn gateway_control(&self) -> ListenerLimits {
        let operator_bytes = permille(self.client_bytes(), GATEWAY_OPERATORS_PERMILLE);
        ListenerLimits::new(connection_limits(CONTROL_CONNECTIONS))
            .with(ClientClass::Operators, operators(operator_bytes))
            .with(ClientClass::Balancer, balancer())
    }

    /// Returns the limits of a keeper's port, which peers, operators and health checks share.
    ///
    /// ```
    /// use cornelpoint::connection_budget::ClientClass;
    /// use cornelpoint::connection_budget::ProcessLimits;
    ///
    /// let limits = ProcessLimits { memory_bytes: 80_000_000, max_descriptors: 4100 };
    /// let keeper = limits.keeper(256);
    /// assert_eq!(keeper.connections.max_connections, 256);
    /// assert!(keeper.class(ClientClass::Peers).largest_body_bytes() > 1_800_000);
    /// ```
    #[must_use]
    pub fn keeper(&self, max_connections: usize) -> ListenerLimits {
        let bytes = self.client_bytes();
        let connections = connections(permille(bytes, KEEPER_CONNECTIONS_PERMILLE))
            .min(max_connections)
            .min(self.descriptors(KEEPER_DESCRIPTORS_PERMILLE));
        let requests = permille(connections as u64, REQUESTS_PERMILLE);
        let requests = requests.saturating_sub(OPERATOR_REQUESTS + BALANCER_REQUESTS);
        let budget = requests_limits(
            requests.max(1),
            permille(bytes, PEERS_PERMILLE),
            CONTROL_REQUEST_BYTES,
        );
        let peers = ClassLimits {
            budget: with_large_part(budget, LARGE_MESSAGE_PERMILLE),
            decoded_bytes_per_byte: DECODED_BYTES_PER_BYTE,
        };
        ListenerLimits::new(connection_limits(connections))
            .with(ClientClass::Peers, peers)
            .with(
                ClientClass::Operators,
                operators(permille(bytes, KEEPER_OPERATORS_PERMILLE)),
            )
            .with(ClientClass::Balancer, balancer())
    }

    fn client_bytes(&self) -> u64 {
        permille(self.memory_bytes, MEMORY_PERMILLE) as u64
    }

    fn descriptors(&self, part: u64) -> usize {
        let free = self.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        permille(free, part).max(1)
    }
}

fn connections(bytes: usize) -> usize {
    (bytes / CONNECTION_BYTES).max(1)
}

/// Heads up to the read buffer are part of a connection; larger ones may take as much again.
fn connection_limits(max_connections: usize) -> BudgetLimits {
    let max_bytes = max_connections * CONNECTION_BYTES * 5 / 4;
    BudgetLimits {
        max_connections,
        max_bytes,
        large_body_bytes: max_bytes,
        connection_bytes: CONNECTION_BYTES,
        body_bytes: 0,
    }
}

fn requests_limits(max_requests: usize, max_bytes: usize, request_bytes: usize) -> BudgetLimits {
    BudgetLimits {
        max_connections: max_requests,
        max_bytes,
        large_body_bytes: max_bytes,
        connection_bytes: request_bytes,
        body_bytes: 0,
    }
}

fn with_large_part(budget: BudgetLimits, part: u64) -> BudgetLimits {
    BudgetLimits {
        large_body_bytes: permille(budget.max_bytes as u64, part),
        ..budget
    }
}

fn operators(max_bytes: usize) -> ClassLimits {
    let budget = requests_limits(OPERATOR_REQUESTS, max_bytes, CONTROL_REQUEST_BYTES);
    ClassLimits {
        budget: with_large_part(budget, LARGE_MESSAGE_PERMILLE),
        decoded_bytes_per_byte: OPERATOR_BYTES_PER_BYTE,
    }
}

fn balancer() -> ClassLimits {
    let max_bytes = 2 * BALANCER_REQUESTS * CONTROL_REQUEST_BYTES;
    ClassLimits {
        budget: requests_limits(BALANCER_REQUESTS, max_bytes, CONTROL_REQUEST_BYTES),
        decoded_bytes_per_byte: 0,
    }
}
