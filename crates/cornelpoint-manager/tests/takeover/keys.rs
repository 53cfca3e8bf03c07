//! Callers with keys, at processes that reach the store, have lost it, or were paused.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use cornelpoint::catalog::Queue;
use cornelpoint::job::JobId;
use cornelpoint::job::JobStatus;
use cornelpoint::job::Resources;
use platform_standin::callers::job_body;
use platform_standin::operator;
use platform_standin::store::ReadFault;
use serde::Deserialize;
use serde::Serialize;
use ureq::Agent;

use crate::TRANSACTION_DURATION;
use crate::caller::Caller;
use crate::caller::job;
use crate::fleet::Fleet;
use crate::fleet::POOL;
use crate::fleet::wait_until;
use crate::instance::Instance;

/// First internal port of an instance.
const INTERNAL_PORT: u16 = 7060;
/// Table of the operator's rows.
const OPERATOR_TABLE: &str = "op";
/// Time after a revocation at which the tests call. The bound is 5 s.
const REVOKED: Duration = Duration::from_millis(5100);
const NORTH: &str = "key-north";
const SOUTH: &str = "key-south";

/// Starts a fleet with two tenants and a public route beside the fleet's queue.
fn start(test: &str) -> Fleet {
    let fleet = Fleet::start(test, TRANSACTION_DURATION);
    write_tenants(&fleet, 2, &[("north", &[NORTH]), ("south", &[SOUTH])]);
    for instance in &fleet.instances {
        let caller = fleet.caller(instance);
        wait_until("keys are checked", || caller.get_status("") == Some(401));
        let caller = caller.with_key(NORTH);
        wait_until("a key is accepted", || caller.get_status("") == Some(200));
    }
    fleet
}

fn write_tenants(fleet: &Fleet, version: u64, tenants: &[(&str, &[&str])]) {
    let queues = [fleet.queue.clone(), public_queue(fleet)];
    let value = operator::configuration_with_tenants(version, &queues, tenants);
    fleet.store.write(&operator::configuration_row(), &value);
}

fn revoke_north(fleet: &Fleet) {
    write_tenants(fleet, 3, &[("south", &[SOUTH])]);
}

fn public_queue(fleet: &Fleet) -> Queue {
    Queue {
        name: "public".to_owned(),
        path_prefix: "/public/".to_owned(),
        public: true,
        ..fleet.queue.clone()
    }
}

fn keyed(fleet: &Fleet, instance: &Instance, key: &str) -> Caller {
    fleet.caller(instance).with_key(key)
}

fn public(fleet: &Fleet, instance: &Instance) -> Caller {
    Caller::new(instance.caller_address, &public_queue(fleet))
}

/// Guards against calls that are carried out with no key, a key of no tenant, or the
/// key of another tenant, at the owner and elsewhere.
#[test]
fn calls_are_carried_out_without_a_valid_key() {
    let fleet = start("keys_checked");
    let id = job(1).to_string();
    assert!(keyed(&fleet, fleet.owner(), NORTH).submit(job(1)));
    assert!(public(&fleet, fleet.owner()).submit(job(2)));
    for instance in &fleet.instances {
        let missing = fleet.caller(instance);
        assert_eq!(missing.submit_status(job(3)), Some(401));
        assert_eq!(missing.get_status(&id), Some(401));
        assert_eq!(missing.cancel_status(job(1)), Some(401));
        let unknown = keyed(&fleet, instance, "key-nobody");
        wait_until("an unknown key is refused for good", || {
            unknown.submit_status(job(3)) == Some(401)
        });
        assert_ne!(unknown.get_status(""), Some(200));
        let south = keyed(&fleet, instance, SOUTH);
        assert_eq!(south.get_status(&id), Some(410));
        assert_eq!(south.cancel_status(job(1)), Some(410));
        assert_eq!(south.submit_status(job(1)), Some(410));
        assert_eq!(south.get_status(&job(2).to_string()), Some(200));
        assert_eq!(south.get_status(&job(3).to_string()), Some(410));
        let north = keyed(&fleet, instance, NORTH);
        assert_eq!(north.status(job(1)).as_deref(), Some("pending"));
    }
}

/// Guards against another tenant's call that is answered from the rows of the store, while
/// the owner can't be reached.
#[test]
fn rows_of_another_tenant_are_shown_while_the_owner_is_away() {
    let fleet = start("keys_rows");
    let owner = fleet.owner();
    let other = fleet.others()[0];
    let id = job(1).to_string();
    let north = keyed(&fleet, other, NORTH);
    assert!(north.submit(job(1)));
    owner.kill();
    wait_until("the job is found", || north.get_status(&id) == Some(200));
    let south = keyed(&fleet, other, SOUTH);
    assert_eq!(south.get_status(&id), Some(410));
    assert_eq!(south.cancel_status(job(1)), Some(410));
    wait_until("the job is still there", || {
        north
            .status(job(1))
            .is_some_and(|status| status != "cancelled")
    });
    wait_until("the job is cancelled", || north.cancel(job(1)));
}

/// Guards against a process that accepts a revoked key because it can't reach the store;
/// calls without a key on a public route go on meanwhile.
#[test]
fn revoked_key_is_accepted_in_an_outage_of_the_store() {
    let fleet = start("keys_outage");
    fleet.store.begin_outage();
    revoke_north(&fleet);
    thread::sleep(REVOKED);
    for instance in &fleet.instances {
        for key in [NORTH, SOUTH, "key-nobody"] {
            let caller = keyed(&fleet, instance, key);
            assert_eq!(caller.submit_status(job(1)), Some(503));
            assert_eq!(caller.get_status(""), Some(503));
        }
        let public = public(&fleet, instance);
        assert_eq!(public.get_status("no-job"), Some(410));
    }
    fleet.store.end_outage();
    for instance in &fleet.instances {
        let north = keyed(&fleet, instance, NORTH);
        wait_until("the key is unknown", || north.get_status("") == Some(401));
        let south = keyed(&fleet, instance, SOUTH);
        wait_until("a key is accepted", || south.get_status("") == Some(200));
        wait_until("refused jobs don't exist", || {
            south.get_status(&job(1).to_string()) == Some(410)
        });
    }
}

/// Guards against a process that has lost the store and keeps its old configuration although
/// peers have the new one; and against one that refuses valid keys then.
#[test]
fn process_without_the_store_learns_nothing_from_its_peers() {
    let fleet = start("keys_peers");
    let instance = fleet.others()[0];
    let cut = Some(ReadFault::Refuse);
    let store = &fleet.store;
    store.set_read_fault(&instance.name, OPERATOR_TABLE, cut);
    revoke_north(&fleet);
    let south = keyed(&fleet, instance, SOUTH);
    let north = keyed(&fleet, instance, NORTH);
    thread::sleep(REVOKED);
    assert_ne!(north.get_status(""), Some(200));
    wait_until("the key is unknown", || north.get_status("") == Some(401));
    wait_until("the other key is accepted", || {
        south.get_status("") == Some(200)
    });
    write_tenants(&fleet, 4, &[("east", &["key-east"])]);
    let east = keyed(&fleet, instance, "key-east");
    wait_until("a new key is accepted", || east.get_status("") == Some(200));
}

/// Guards against processes that can't reach the store and confirm each other.
#[test]
fn processes_without_the_store_confirm_each_other() {
    let fleet = start("keys_no_peer");
    let cut = Some(ReadFault::Refuse);
    for instance in &fleet.instances {
        let store = &fleet.store;
        store.set_read_fault(&instance.name, OPERATOR_TABLE, cut);
    }
    revoke_north(&fleet);
    thread::sleep(REVOKED);
    for instance in &fleet.instances {
        for key in [NORTH, SOUTH] {
            let caller = keyed(&fleet, instance, key);
            assert_eq!(caller.get_status(""), Some(503));
        }
    }
}

/// Guards against a process that ignores the time of a pause. Its connections to the store get
/// no responses afterwards, so that the first call comes before the first read.
#[test]
fn revoked_key_is_accepted_after_a_pause() {
    let fleet = start("keys_pause");
    let instance = fleet.others()[0];
    let north = keyed(&fleet, instance, NORTH);
    assert_eq!(north.get_status(""), Some(200));
    fleet.store.silence_connections(&instance.name);
    instance.pause();
    revoke_north(&fleet);
    thread::sleep(REVOKED);
    let call = thread::spawn(move || (north.submit_status(job(1)), north.get_status("")));
    thread::sleep(Duration::from_millis(100));
    instance.resume();
    let (submitted, counted) = call.join().unwrap();
    assert_ne!(submitted, Some(200));
    assert_ne!(counted, Some(200));
    let south = keyed(&fleet, instance, SOUTH);
    wait_until("a key is accepted", || south.get_status("") == Some(200));
}

/// Guards against a configuration that can't be parsed and leaves the one before in force
/// for keys that it may have revoked.
#[test]
fn key_is_accepted_while_the_configuration_cannot_be_parsed() {
    let fleet = start("keys_unreadable");
    let row = operator::configuration_row();
    fleet.store.write(&row, b"{\"version\":3,");
    let north = |instance| keyed(&fleet, instance, NORTH).get_status("");
    for instance in &fleet.instances {
        wait_until("a key is refused", || north(instance) == Some(503));
    }
    thread::sleep(REVOKED);
    for instance in &fleet.instances {
        assert_eq!(north(instance), Some(503));
    }
    write_tenants(&fleet, 4, &[("north", &[NORTH])]);
    for instance in &fleet.instances {
        wait_until("a key is accepted", || north(instance) == Some(200));
    }
}

/// Guards against a key that stays valid because the configuration without it has a lower
/// version than the one in force.
#[test]
fn key_is_accepted_after_the_version_of_the_configuration_went_back() {
    let fleet = start("keys_version");
    write_tenants(&fleet, 5, &[("north", &[NORTH]), ("east", &["key-east"])]);
    for instance in &fleet.instances {
        let east = keyed(&fleet, instance, "key-east");
        wait_until("a key is accepted", || east.get_status("") == Some(200));
    }
    write_tenants(&fleet, 4, &[("east", &["key-east"])]);
    thread::sleep(REVOKED);
    for instance in &fleet.instances {
        let north = keyed(&fleet, instance, NORTH);
        assert_eq!(north.get_status(""), Some(503));
    }
    write_tenants(&fleet, 6, &[("north", &[NORTH])]);
    for instance in &fleet.instances {
        let north = keyed(&fleet, instance, NORTH);
        wait_until("a key is accepted", || north.get_status("") == Some(200));
    }
}

/// Guards against a process that accepts calls without a key because the configuration lacks
/// the tenants that its settings announce.
#[test]
fn calls_are_carried_out_while_the_configuration_has_no_tenants() {
    let mut fleet = Fleet::start("keys_announced", TRANSACTION_DURATION);
    let queues = [fleet.queue.clone(), public_queue(&fleet)];
    let value = operator::configuration(2, &queues);
    fleet.store.write(&operator::configuration_row(), &value);
    let instance = &mut fleet.instances[0];
    instance.add_setting("contracts = [\"tenants\"]");
    instance.kill();
    instance.restart();
    let instance = &fleet.instances[0];
    let north = keyed(&fleet, instance, NORTH);
    wait_until("the key is unknown", || north.get_status("") == Some(401));
    assert_eq!(fleet.caller(instance).submit_status(job(1)), Some(401));
    let public = public(&fleet, instance);
    wait_until("a public route is served", || public.waiting() == Some(0));
}

/// Guards against requests of processes of earlier versions, which name no caller, that can't
/// be decoded while versions are mixed.
#[test]
fn request_without_a_caller_is_refused_by_the_owner() {
    #[derive(Serialize)]
    enum EarlierRequest {
        Status { job: JobId },
    }
    #[derive(Debug, PartialEq, Eq, Deserialize)]
    enum EarlierResponse {
        Status(JobStatus),
        UnknownJob,
    }
    let fleet = start("keys_versions");
    let owner = fleet.owner();
    assert!(keyed(&fleet, owner, NORTH).submit(job(1)));
    let address = SocketAddr::new(owner.caller_address.ip(), INTERNAL_PORT);
    let body = rmp_serde::to_vec_named(&EarlierRequest::Status { job: job(1) }).unwrap();
    let config = Agent::config_builder().proxy(None).build();
    let request = Agent::new_with_config(config).post(format!("http://{address}/pool/{POOL}"));
    let mut answer = request.send(&body).unwrap();
    let answer = answer.body_mut().read_to_vec().unwrap();
    let answer: EarlierResponse = rmp_serde::from_slice(&answer).unwrap();
    assert_eq!(answer, EarlierResponse::Status(JobStatus::Pending));
}

/// Guards against a key that is checked once for a connection, or only before the body: the
/// head of the second call is sent while the key is valid, its last bytes after the bound.
#[test]
fn revoked_key_is_accepted_on_an_open_connection() {
    let fleet = start("keys_connection");
    let instance = fleet.others()[0];
    let mut connection = TcpStream::connect(instance.caller_address).unwrap();
    let body = job_body(Resources::default(), 10);
    let head = |number| {
        let (host, job, length) = (&fleet.queue.host, job(number), body.len());
        format!(
            "POST /plan/{job} HTTP/1.1\r\nhost: {host}\r\n\
             authorization: Token {NORTH}\r\ncontent-length: {length}\r\n\r\n"
        )
    };
    connection.write_all(head(1).as_bytes()).unwrap();
    connection.write_all(&body).unwrap();
    assert_eq!(read_status(&mut connection), "200");
    connection.write_all(head(2).as_bytes()).unwrap();
    connection.write_all(&body[..1]).unwrap();
    revoke_north(&fleet);
    thread::sleep(REVOKED);
    connection.write_all(&body[1..]).unwrap();
    let status = read_status(&mut connection);
    assert!(["401", "503"].contains(&status.as_str()), "{status}");
    let south = keyed(&fleet, instance, SOUTH);
    wait_until("the refused job doesn't exist", || {
        south.get_status(&job(2).to_string()) == Some(410)
    });
}

/// Reads a response without a body and returns its status.
fn read_status(connection: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        connection.read_exact(&mut byte).unwrap();
        head.extend(byte);
    }
    let head = String::from_utf8(head).unwrap();
    head.split(' ').nth(1).unwrap().to_owned()
}
