//! What the platform stand-in stores and answers, with and without faults.

use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::platform::Condition;
use cornelpoint::platform::InstanceList;
use cornelpoint::platform::InstanceState;
use cornelpoint::platform::Key;
use cornelpoint::platform::ListedInstance;
use cornelpoint::platform::Row;
use cornelpoint::platform::Scan;
use cornelpoint::platform::Transaction;
use cornelpoint::platform::TransactionOutcome;
use cornelpoint::platform::Write;
use cornelpoint_standin::platform::PlatformFaults;
use cornelpoint_standin::platform::PlatformSettings;
use cornelpoint_standin::platform::PlatformStandIn;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

/// A platform and a client of it.
struct Bench {
    platform: PlatformStandIn,
    agent: Agent,
}

impl Bench {
    fn new(settings: &PlatformSettings) -> Self {
        let config = Agent::config_builder().http_status_as_error(false).build();
        Self {
            platform: PlatformStandIn::start(settings).unwrap(),
            agent: Agent::new_with_config(config),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.platform.address())
    }

    fn post<T: Serialize>(&self, path: &str, body: &T) -> (u16, Vec<u8>) {
        let body = rmp_serde::to_vec_named(body).unwrap();
        let mut answer = self.agent.post(self.url(path)).send(&body).unwrap();
        let content = answer.body_mut().read_to_vec().unwrap();
        (answer.status().as_u16(), content)
    }

    fn get(&self, path: &str) -> (u16, Vec<u8>) {
        let mut answer = self.agent.get(self.url(path)).call().unwrap();
        let content = answer.body_mut().read_to_vec().unwrap();
        (answer.status().as_u16(), content)
    }

    fn transact(&self, condition: Option<Condition>, write: Write) -> TransactionOutcome {
        unpack(
            &self
                .post("/table/transact", &transaction(condition, write))
                .1,
        )
    }

    fn read(&self, row: &str) -> Vec<Row> {
        unpack(&self.post("/table/read", &vec![key(row)]).1)
    }

    fn instances(&self) -> Vec<ListedInstance> {
        unpack::<InstanceList>(&self.get("/instances").1).instances
    }
}

fn unpack<T: DeserializeOwned>(content: &[u8]) -> T {
    rmp_serde::from_slice(content).unwrap()
}

fn key(row: &str) -> Key {
    Key {
        table: "claims".to_owned(),
        row: row.to_owned(),
    }
}

fn put(row: &str, value: &[u8]) -> Write {
    Write::Put {
        key: key(row),
        value: value.to_vec(),
    }
}

fn transaction(condition: Option<Condition>, write: Write) -> Transaction {
    Transaction {
        conditions: condition.into_iter().collect(),
        writes: vec![write],
    }
}

fn listed(state: InstanceState) -> ListedInstance {
    ListedInstance {
        instance: InstanceId::try_from("quoting-1").unwrap(),
        availability_zone: AvailabilityZone::try_from("hu-central-a").unwrap(),
        state,
        epoch: 1,
        keeper_address: None,
    }
}

#[test]
fn versions_grow_over_delete_and_create() {
    let bench = Bench::new(&PlatformSettings::default());
    bench.transact(None, put("a", b"1"));
    assert_eq!(bench.read("a")[0].version, 1);
    bench.transact(None, Write::Delete { key: key("a") });
    assert_eq!(bench.read("a"), Vec::new());
    let absent = Condition::Absent { key: key("a") };
    let outcome = bench.transact(Some(absent), put("a", b"2"));
    assert_eq!(outcome, TransactionOutcome::Committed);
    assert_eq!(bench.read("a")[0].version, 3);
}

#[test]
fn conflicts_change_nothing_and_show_the_row() {
    let bench = Bench::new(&PlatformSettings::default());
    bench.transact(None, put("a", b"1"));
    let stale = Condition::Version {
        key: key("a"),
        version: 7,
    };
    let outcome = bench.transact(Some(stale), put("a", b"2"));
    let current = bench.read("a");
    assert_eq!(current[0].value, b"1");
    assert_eq!(outcome, TransactionOutcome::Conflict { current });
}

#[test]
fn scans_a_prefix_up_to_the_limit() {
    let bench = Bench::new(&PlatformSettings::default());
    for row in ["a1", "b1", "b2", "b3", "c"] {
        bench.transact(None, put(row, b""));
    }
    let scan = Scan {
        table: "claims".to_owned(),
        prefix: "b".to_owned(),
        limit: 2,
    };
    let rows: Vec<Row> = unpack(&bench.post("/table/scan", &scan).1);
    let names: Vec<_> = rows.iter().map(|row| row.key.row.as_str()).collect();
    assert_eq!(names, ["b1", "b2"]);
}

#[test]
fn keeps_objects() {
    let bench = Bench::new(&PlatformSettings::default());
    assert_eq!(bench.get("/objects/snapshot/1").0, 404);
    let url = bench.url("/objects/snapshot/1");
    bench.agent.put(url).send("whole").unwrap();
    assert_eq!(bench.get("/objects/snapshot/1"), (200, b"whole".to_vec()));
}

#[test]
fn a_lost_answer_is_one_whose_write_took_effect() {
    let bench = Bench::new(&PlatformSettings::default());
    bench.platform.set_faults(PlatformFaults {
        lose_answer_every: 1,
        ..PlatformFaults::default()
    });
    let (status, _) = bench.post("/table/transact", &transaction(None, put("a", b"1")));
    assert_eq!(status, 504);
    assert_eq!(bench.read("a")[0].value, b"1");
    assert_eq!(bench.platform.dump().lost_answers, 1);
}

#[test]
fn a_platform_that_is_down_changes_nothing() {
    let bench = Bench::new(&PlatformSettings::default());
    let url = bench.url("/faults");
    bench.agent.post(url).send(r#"{"down": true}"#).unwrap();
    let (status, _) = bench.post("/table/transact", &transaction(None, put("a", b"1")));
    assert_eq!((status, bench.get("/health").0), (503, 503));
    bench.platform.set_faults(PlatformFaults::default());
    assert_eq!(bench.read("a"), Vec::new());
}

#[test]
fn refuses_above_its_rate() {
    let bench = Bench::new(&PlatformSettings {
        max_reads_per_s: Some(0),
        ..PlatformSettings::default()
    });
    assert_eq!(bench.get("/instances").0, 429);
    assert_eq!(bench.platform.dump().refused_rate, 1);
}

#[test]
fn the_instance_list_lags() {
    let bench = Bench::new(&PlatformSettings {
        instance_list_lag_ms: 3_600_000,
        instances: vec![listed(InstanceState::Live)],
        ..PlatformSettings::default()
    });
    bench.platform.list_instance(listed(InstanceState::Leaving));
    assert_eq!(bench.instances()[0].state, InstanceState::Live);
}

#[test]
fn a_frozen_instance_list_thaws() {
    let bench = Bench::new(&PlatformSettings::default());
    bench.platform.set_faults(PlatformFaults {
        instance_list_frozen: true,
        ..PlatformFaults::default()
    });
    let body = serde_json::to_string(&listed(InstanceState::Live)).unwrap();
    bench
        .agent
        .post(bench.url("/instances"))
        .send(&body)
        .unwrap();
    assert_eq!(bench.instances(), Vec::new());
    bench.platform.set_faults(PlatformFaults::default());
    assert_eq!(bench.instances(), [listed(InstanceState::Live)]);
}
