//! Data forwarded by a relay, with and without faults.

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
struct RelayFixture {
    endpoint: EndpointStandIn,
    relay: Relay,
}

impl RelayFixture {
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

    /// Sends a request, heals the relay, and expects no answer and `runs` runs
    /// at the endpoint.
    fn check_lost(&self, runs: u64) {
        let mut stream = TcpStream::connect(self.relay.address()).unwrap();
        stream.write_all(post("r1", "").as_bytes()).unwrap();
        while self.endpoint.dump().runs < runs || self.relay.connections() == 0 {
            thread::yield_now();
        }
        self.relay.heal();
        let mut answer = Vec::new();
        // A reset by the relay ends the answer as well.
        let _ = stream.read_to_end(&mut answer);
        assert_eq!(answer, b"");
        assert_eq!(self.endpoint.dump().runs, runs);
    }
}

#[test]
fn forwards_requests_and_answers() {
    let fixture = RelayFixture::new();
    let answer = exchange(fixture.relay.address(), &post("r1", ""));
    assert!(answer.starts_with("HTTP/1.1 200"));
}

#[test]
fn delays_requests_and_answers() {
    let fixture = RelayFixture::new();
    fixture.relay.set_faults(RelayFaults {
        delay_ms: 20,
        ..RelayFaults::default()
    });
    let answer = exchange(fixture.relay.address(), &post("r1", ""));
    assert!(answer.starts_with("HTTP/1.1 200"));
}

#[test]
fn nothing_arrives_when_cut_in_both_directions() {
    let fixture = RelayFixture::new();
    fixture.cut(Cut::Both);
    fixture.check_lost(0);
}

#[test]
fn nothing_arrives_when_cut_to_the_target() {
    let fixture = RelayFixture::new();
    fixture.cut(Cut::ToTarget);
    fixture.check_lost(0);
}

#[test]
fn refuses_connections_until_healed() {
    let fixture = RelayFixture::new();
    fixture.relay.set_faults(RelayFaults {
        refuse: true,
        ..RelayFaults::default()
    });
    while TcpStream::connect(fixture.relay.address()).is_ok() {
        thread::yield_now();
    }
    fixture.relay.heal();
    while TcpStream::connect(fixture.relay.address()).is_err() {
        thread::yield_now();
    }
}
