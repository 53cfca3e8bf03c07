//! Cost of one exchange by number of gateways and endpoints.

use std::time::Instant;

use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::PoolName;
use cornelpoint::slots::HeldSlots;
use cornelpoint::slots::Holder;
use cornelpoint::slots::HolderEndpoint;
use cornelpoint::slots::HolderSettings;
use cornelpoint::slots::SlotReply;
use cornelpoint::slots::SlotRequest;

use super::fleet::SLOTS;
use super::trace::MAX_DEADLINE_MS;

const ROUNDS: u64 = 100;
const QUEUED: u32 = 50;

/// Time and message sizes of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    pub exchange_ns: f64,
    pub request_bytes: usize,
    pub reply_bytes: usize,
    pub holder_bytes: usize,
}

/// Measures exchanges of `gateways` gateways that all hold slots and have queued
/// requests.
pub fn measure(gateways: u32, endpoints: u32) -> Cost {
    let mut holder = holder(endpoints);
    let mut requests: Vec<SlotRequest> = (0..gateways).map(request).collect();
    let mut now_ms = 0;
    let mut bytes = (0, 0);
    let started = Instant::now();
    for _ in 0..ROUNDS {
        now_ms += 20;
        for request in &mut requests {
            request.sequence += 1;
            let reply = holder.exchange(request, now_ms);
            request.held = held(&reply);
            bytes = (encoded_bytes(request), encoded_bytes(&reply));
        }
    }
    let exchanges = f64::from(gateways) * ROUNDS as f64;
    Cost {
        exchange_ns: started.elapsed().as_nanos() as f64 / exchanges,
        request_bytes: bytes.0,
        reply_bytes: bytes.1,
        holder_bytes: encoded_bytes(&holder.dump(now_ms)),
    }
}

fn holder(endpoints: u32) -> Holder {
    let settings = HolderSettings {
        adopt_ms: 0,
        ..HolderSettings::for_max_deadline(MAX_DEADLINE_MS)
    };
    let mut holder = Holder::new(settings, 1, 0);
    let endpoints: Vec<HolderEndpoint> = (0..endpoints)
        .map(|number| HolderEndpoint {
            instance: InstanceId::try_from(format!("quoting-{number}")).expect("name is valid"),
            epoch: 1,
            slots: SLOTS,
            accepts_work: true,
        })
        .collect();
    holder.set_endpoints(&endpoints, 0);
    holder
}

fn request(gateway: u32) -> SlotRequest {
    SlotRequest {
        avoided: Vec::new(),
        gateway: InstanceId::try_from(format!("entry-{gateway}")).expect("name is valid"),
        incarnation: 1,
        sequence: 0,
        holder_term: None,
        pool: PoolName::try_from("quoting").expect("name is valid"),
        availability_zone: AvailabilityZone::try_from("hu-central-a").expect("name is valid"),
        queued: QUEUED,
        earliest_deadline_in_ms: Some(500),
        held: Vec::new(),
    }
}

fn held(reply: &SlotReply) -> Vec<HeldSlots> {
    reply
        .lent
        .iter()
        .map(|lent| HeldSlots {
            endpoint: lent.endpoint.clone(),
            count: lent.count,
            in_use: lent.count,
        })
        .collect()
}

fn encoded_bytes(message: &impl serde::Serialize) -> usize {
    rmp_serde::to_vec_named(message).map_or(0, |bytes| bytes.len())
}
