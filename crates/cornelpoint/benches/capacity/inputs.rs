//! Names, configurations and marks of any size.

use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Endpoint;
use cornelpoint::configuration::Generation;
use cornelpoint::configuration::Pool;
use cornelpoint::configuration::Service;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::PoolName;
use cornelpoint::name::Rack;
use cornelpoint::name::ServiceName;
use cornelpoint::name::TemplateName;
use cornelpoint::name::WorkspaceName;
use cornelpoint::replication::EndpointMark;
use cornelpoint::replication::MarkCause;
use cornelpoint::replication::ReplicatedState;
use cornelpoint::replication::Update;
use cornelpoint::request::Method;
use cornelpoint::slots::HolderEndpoint;
use serde::Serialize;

pub const SLOTS: u32 = 8;
pub const CONNECTIONS: u32 = 64;
pub const MAX_DEADLINE_MS: u64 = 60_000;
const ENDPOINTS_IN_RACK: usize = 4;

/// Name of a numbered entry instance.
pub fn entry(number: usize) -> InstanceId {
    InstanceId::try_from(format!("entry-{number}")).expect("name is good")
}

/// Name of a numbered worker.
pub fn worker(number: usize) -> InstanceId {
    InstanceId::try_from(format!("worker-{number}")).expect("name is good")
}

/// Name of a numbered availability zone.
pub fn zone(number: usize) -> AvailabilityZone {
    AvailabilityZone::try_from(format!("hu-central-{number}")).expect("name is good")
}

/// Name of a numbered pool.
pub fn pool(number: usize) -> PoolName {
    PoolName::try_from(format!("pool-{number}")).expect("name is good")
}

/// Name of the service of a numbered pool.
pub fn service_name(number: usize) -> ServiceName {
    ServiceName::try_from(format!("service-{number}")).expect("name is good")
}

/// A configuration with its endpoints dealt out to pools and zones.
pub fn configuration(endpoints: usize, pools: usize, zones: usize) -> Configuration {
    Configuration {
        generation: Generation(1),
        workspace: WorkspaceName::try_from("hu-central").expect("name is good"),
        template: TemplateName::try_from("futopalya").expect("name is good"),
        services: (0..pools).map(service).collect(),
        pools: (0..pools)
            .map(|number| Pool {
                name: pool(number),
                endpoints: (number..endpoints)
                    .step_by(pools)
                    .map(|worker| endpoint(worker, worker / pools % zones))
                    .collect(),
            })
            .collect(),
        spare_pool: Some(pool(0)),
    }
}

fn service(number: usize) -> Service {
    Service {
        name: service_name(number),
        pool: pool(number),
        deadline_ms: 2_000,
        max_deadline_ms: MAX_DEADLINE_MS,
        max_body_bytes: 1_000_000,
        max_answer_bytes: 1_000_000,
        queue_limit: 100_000,
        queue_limit_bytes: 1_000_000_000,
        retry_percent: 10,
        idempotent_methods: vec![Method::Get],
        availability_budget_percent: 20,
        declared_peak_per_s: 1_000,
    }
}

fn endpoint(number: usize, in_zone: usize) -> Endpoint {
    let octet = |shift: usize| u8::try_from(number >> shift & 0xff).expect("one byte");
    Endpoint {
        instance: worker(number),
        availability_zone: zone(in_zone),
        rack: Rack::try_from(format!("rack-{}", number / ENDPOINTS_IN_RACK)).expect("name is good"),
        address: ([10, 0, octet(8), octet(0)], 9_000).into(),
        slots: SLOTS,
        connections: CONNECTIONS,
    }
}

/// Facts that hold a configuration.
pub fn facts(configuration: Configuration) -> ReplicatedState {
    let mut facts = ReplicatedState::default();
    facts.apply(Update {
        configuration: Some(configuration),
        marks: Vec::new(),
    });
    facts
}

/// One operator's mark for each of so many workers.
pub fn marks(count: usize, epoch: u64) -> Vec<EndpointMark> {
    (0..count)
        .map(|number| EndpointMark {
            instance: worker(number),
            epoch,
            accepts_work: false,
            cause: MarkCause::Operator,
        })
        .collect()
}

/// Endpoints as a slot holder is told of them.
pub fn holder_endpoints(count: usize) -> Vec<HolderEndpoint> {
    (0..count)
        .map(|number| HolderEndpoint {
            instance: worker(number),
            epoch: 0,
            slots: SLOTS,
            accepts_work: true,
        })
        .collect()
}

/// Bytes of a message between keepers and gateways, or to the platform.
pub fn encoded_bytes(message: &impl Serialize) -> usize {
    rmp_serde::to_vec_named(message)
        .expect("plain data can be coded")
        .len()
}
