//! Generated names, configurations and marks of any number.

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

/// Returns the name of a numbered entry instance.
pub fn entry(number: usize) -> InstanceId {
    InstanceId::try_from(format!("entry-{number}")).expect("name is valid")
}

/// Returns the name of a numbered worker.
pub fn worker(number: usize) -> InstanceId {
    InstanceId::try_from(format!("worker-{number}")).expect("name is valid")
}

/// Returns the name of a numbered availability zone.
pub fn zone(number: usize) -> AvailabilityZone {
    AvailabilityZone::try_from(format!("hu-central-{number}")).expect("name is valid")
}

/// Returns the name of a numbered pool.
pub fn pool(number: usize) -> PoolName {
    PoolName::try_from(format!("pool-{number}")).expect("name is valid")
}

/// Returns the name of the service of a numbered pool.
pub fn service_name(number: usize) -> ServiceName {
    ServiceName::try_from(format!("service-{number}")).expect("name is valid")
}

/// Returns a configuration with its endpoints spread evenly over pools and
/// zones.
pub fn configuration(endpoints: usize, pools: usize, zones: usize) -> Configuration {
    Configuration {
        generation: Generation(1),
        workspace: WorkspaceName::try_from("hu-central").expect("name is valid"),
        template: TemplateName::try_from("futopalya").expect("name is valid"),
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
    let octet =
        |shift: usize| u8::try_from(number >> shift & 0xff).expect("masked value fits in a byte");
    Endpoint {
        instance: worker(number),
        availability_zone: zone(in_zone),
        rack: Rack::try_from(format!("rack-{}", number / ENDPOINTS_IN_RACK))
            .expect("name is valid"),
        address: ([10, 0, octet(8), octet(0)], 9_000).into(),
        slots: SLOTS,
        connections: CONNECTIONS,
    }
}

/// Returns replicated state that holds a configuration.
pub fn replicated_state(configuration: Configuration) -> ReplicatedState {
    let mut replicated_state = ReplicatedState::default();
    replicated_state.apply(Update {
        configuration: Some(configuration),
        marks: Vec::new(),
    });
    replicated_state
}

/// Returns one mark set by an operator for each of `count` workers.
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

/// Returns `count` endpoints in the form that a slot holder receives.
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

/// Returns the encoded size of a message between keepers and gateways, or to
/// the platform.
pub fn encoded_bytes(message: &impl Serialize) -> usize {
    rmp_serde::to_vec_named(message)
        .expect("plain data is serializable")
        .len()
}
