//! Storage and answers of the platform stand-in, with and without faults.

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

/// A platform stand-in and an HTTP client.
struct PlatformFixture {
    platform: PlatformStandIn,
    agent: Agent,
}

impl PlatformFixture {
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
fn versions_increase_across_delete_and_create() {
    let fixture = PlatformFixture::new(&PlatformSettings::default());
    fixture.transact(None, put("a", b"1"));
    assert_eq!(fixture.read("a")[0].version, 1);
    fixture.transact(None, Write::Delete { key: key("a") });
    assert_eq!(fixture.read("a"), Vec::new());
    let absent = Condition::Absent { key: key("a") };
    let outcome = fixture.transact(Some(absent), put("a", b"2"));
    assert_eq!(outcome, TransactionOutcome::Committed);
    assert_eq!(fixture.read("a")[0].version, 3);
}

#[test]
fn a_conflict_changes_nothing_and_returns_the_row() {
    let fixture = PlatformFixture::new(&PlatformSettings::default());
    fixture.transact(None, put("a", b"1"));
    let stale = Condition::Version {
        key: key("a"),
        version: 7,
    };
    let outcome = fixture.transact(Some(stale), put("a", b"2"));
    let current = fixture.read("a");
    assert_eq!(current[0].value, b"1");
    assert_eq!(outcome, TransactionOutcome::Conflict { current });
}

#[test]
fn scans_a_prefix_up_to_the_limit() {
    let fixture = PlatformFixture::new(&PlatformSettings::default());
    for row in ["a1", "b1", "b2", "b3", "c"] {
        fixture.transact(None, put(row, b""));
    }
    let scan = Scan {
        table: "claims".to_owned(),
        prefix: "b".to_owned(),
        limit: 2,
    };
    let rows: Vec<Row> = unpack(&fixture.post("/table/scan", &scan).1);
    let names: Vec<_> = rows.iter().map(|row| row.key.row.as_str()).collect();
    assert_eq!(names, ["b1", "b2"]);
}

#[test]
fn stores_objects() {
    let fixture = PlatformFixture::new(&PlatformSettings::default());
    assert_eq!(fixture.get("/objects/snapshot/1").0, 404);
    let url = fixture.url("/objects/snapshot/1");
    fixture.agent.put(url).send("whole").unwrap();
    assert_eq!(fixture.get("/objects/snapshot/1"), (200, b"whole".to_vec()));
}

#[test]
fn a_write_with_a_lost_answer_takes_effect() {
    let fixture = PlatformFixture::new(&PlatformSettings::default());
    fixture.platform.set_faults(PlatformFaults {
        lose_answer_every: 1,
        ..PlatformFaults::default()
    });
    let (status, _) = fixture.post("/table/transact", &transaction(None, put("a", b"1")));
    assert_eq!(status, 504);
    assert_eq!(fixture.read("a")[0].value, b"1");
    assert_eq!(fixture.platform.dump().lost_answers, 1);
}

#[test]
fn a_platform_that_is_down_changes_nothing() {
    let fixture = PlatformFixture::new(&PlatformSettings::default());
    let url = fixture.url("/faults");
    fixture.agent.post(url).send(r#"{"down": true}"#).unwrap();
    let (status, _) = fixture.post("/table/transact", &transaction(None, put("a", b"1")));
    assert_eq!((status, fixture.get("/health").0), (503, 503));
    fixture.platform.set_faults(PlatformFaults::default());
    assert_eq!(fixture.read("a"), Vec::new());
}

#[test]
fn rejects_reads_over_the_rate_limit() {
    let fixture = PlatformFixture::new(&PlatformSettings {
        max_reads_per_s: Some(0),
        ..PlatformSettings::default()
    });
    assert_eq!(fixture.get("/instances").0, 429);
    assert_eq!(fixture.platform.dump().refused_rate, 1);
}

#[test]
fn the_instance_list_lags() {
    let fixture = PlatformFixture::new(&PlatformSettings {
        instance_list_lag_ms: 3_600_000,
        instances: vec![listed(InstanceState::Live)],
        ..PlatformSettings::default()
    });
    fixture
        .platform
        .list_instance(listed(InstanceState::Leaving));
    assert_eq!(fixture.instances()[0].state, InstanceState::Live);
}

#[test]
fn a_frozen_instance_list_resumes_updates() {
    let fixture = PlatformFixture::new(&PlatformSettings::default());
    fixture.platform.set_faults(PlatformFaults {
        instance_list_frozen: true,
        ..PlatformFaults::default()
    });
    let body = serde_json::to_string(&listed(InstanceState::Live)).unwrap();
    fixture
        .agent
        .post(fixture.url("/instances"))
        .send(&body)
        .unwrap();
    assert_eq!(fixture.instances(), Vec::new());
    fixture.platform.set_faults(PlatformFaults::default());
    assert_eq!(fixture.instances(), [listed(InstanceState::Live)]);
}
