//! What a relay passes on, with and without faults.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;

use cornelpoint_standin::endpoint::EndpointStandIn;
use cornelpoint_standin::relay::Cut;
use cornelpoint_standin::relay::Relay;
use cornelpoint_standin::relay::RelayFaults;

use self::support::exchange;
use self::support::post;
use self::support::settings;

/// An endpoint behind a relay.
struct Bench {
    endpoint: EndpointStandIn,
    relay: Relay,
}

impl Bench {
    fn new() -> Self {
        let endpoint = EndpointStandIn::start(settings()).unwrap();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let relay = Relay::start(any_port, endpoint.address()).unwrap();
        Self { endpoint, relay }
    }

    fn cut(&self, cut: Cut) {
        self.relay.set_faults(RelayFaults {
            cut,
            ..RelayFaults::default()
        });
    }

    /// Sends a request, heals the relay, and expects no answer.
    fn check_lost(&self, runs: u64) {
        let mut stream = TcpStream::connect(self.relay.address()).unwrap();
        stream.write_all(post("r1", "").as_bytes()).unwrap();
        while self.endpoint.dump().runs < runs || self.relay.connections() == 0 {
            thread::yield_now();
        }
        self.relay.heal();
        let mut answer = Vec::new();
        // A connection that the relay resets ends as well.
        let _ = stream.read_to_end(&mut answer);
        assert_eq!(answer, b"");
        assert_eq!(self.endpoint.dump().runs, runs);
    }
}

#[test]
fn passes_requests_and_answers() {
    let bench = Bench::new();
    let answer = exchange(bench.relay.address(), &post("r1", ""));
    assert!(answer.starts_with("HTTP/1.1 200"));
}

#[test]
fn passes_them_late() {
    let bench = Bench::new();
    bench.relay.set_faults(RelayFaults {
        delay_ms: 20,
        ..RelayFaults::default()
    });
    let answer = exchange(bench.relay.address(), &post("r1", ""));
    assert!(answer.starts_with("HTTP/1.1 200"));
}

#[test]
fn cut_both_ways_nothing_arrives() {
    let bench = Bench::new();
    bench.cut(Cut::Both);
    bench.check_lost(0);
}

#[test]
fn cut_to_the_target_nothing_arrives() {
    let bench = Bench::new();
    bench.cut(Cut::ToTarget);
    bench.check_lost(0);
}

#[test]
fn refuses_until_healed() {
    let bench = Bench::new();
    bench.relay.set_faults(RelayFaults {
        refuse: true,
        ..RelayFaults::default()
    });
    while TcpStream::connect(bench.relay.address()).is_ok() {
        thread::yield_now();
    }
    bench.relay.heal();
    while TcpStream::connect(bench.relay.address()).is_err() {
        thread::yield_now();
    }
}
