//! Datagrams to the keeper's port for membership.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::thread;
use std::time::Duration;

use cornelpoint::membership::GossipMessage;
use cornelpoint::membership::Member;
use cornelpoint::membership::MemberStatus;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint_standin::crowd::Crowd;

use crate::processes::Port;
use crate::processes::gossip_address;
use crate::rmp;
use crate::withstands;

/// Datagrams with the largest number of unknown members.
const DATAGRAMS: u32 = 600;
const MEMBERS_PER_DATAGRAM: u32 = 400;
/// Pause between two datagrams, so that most aren't lost.
const DATAGRAM_PAUSE: Duration = Duration::from_millis(2);

/// Guards against datagrams that make the keeper remember members without end.
#[test]
fn unknown_members_in_datagrams_stay_within_the_limits() {
    withstands("datagrams", Port::Keeper, |address| {
        let socket = UdpSocket::bind(SocketAddr::new(address.ip(), 0)).unwrap();
        let gossip_address = gossip_address(address.ip());
        for number in 0..DATAGRAMS {
            let members = (0..MEMBERS_PER_DATAGRAM).map(|member| {
                let instance = format!("unknown-{}", number * MEMBERS_PER_DATAGRAM + member);
                unknown_member(&instance, address)
            });
            let datagram = rmp(&GossipMessage::Ping {
                sequence: number.into(),
                from: unknown_member("unknown", address),
                updates: members.collect(),
            });
            socket.send_to(&datagram, gossip_address).unwrap();
            thread::sleep(DATAGRAM_PAUSE);
        }
        Crowd::send(address, 0, b"", 1)
    });
}

fn unknown_member(instance: &str, address: SocketAddr) -> Member {
    Member {
        instance: InstanceId::try_from(instance).unwrap(),
        availability_zone: AvailabilityZone::try_from("a").unwrap(),
        incarnation: 1,
        status: MemberStatus::Live,
        keeper_address: address,
        gossip_address: SocketAddr::new(address.ip(), 9),
    }
}
