//! Shares of a process's memory and descriptors that its listeners have.

#[path = "../src/http/connection_limits.rs"]
#[expect(dead_code, reason = "only the shares and sizes are used here")]
mod connection_limits;

use std::time::Duration;

use self::connection_limits::BODY_BYTES;
use self::connection_limits::BodyTimeouts;
use self::connection_limits::CONNECTION_BYTES;
use self::connection_limits::Port;
use self::connection_limits::ServerLimits;
use self::connection_limits::port_limits;

/// Largest body of a caller, by the operator's limits.
const BODY: usize = 262_144;

/// Guards against defaults that a client within the documented limits meets, on the
/// smallest instance, and against shares that are more than there is.
#[test]
fn shares_of_the_smallest_instance_hold_many_largest_bodies() {
    let limits = ServerLimits {
        memory_bytes: 160_000_000,
        max_descriptors: 4100,
        body_timeouts: BodyTimeouts::default(),
    };
    let [callers, peers, balancer] = Port::ALL.map(|port| port_limits(port, &limits));
    let under_way = CONNECTION_BYTES + BODY_BYTES + BODY;
    assert!(callers.large_body_bytes >= 80 * under_way, "{callers:?}");
    let answered = under_way + 12 * BODY;
    assert!(callers.large_body_bytes >= 9 * answered, "{callers:?}");
    assert!(peers.large_body_bytes >= 3 * answered, "{peers:?}");
    assert!(callers.max_bytes + peers.max_bytes + balancer.max_bytes < 160_000_000 / 2);
    let shares = [callers, peers, balancer].map(|share| share.max_connections);
    assert!(shares.iter().sum::<usize>() <= 3900 * 3 / 4, "{shares:?}");
    assert!(BodyTimeouts::default().idle >= Duration::from_secs(15));
}
