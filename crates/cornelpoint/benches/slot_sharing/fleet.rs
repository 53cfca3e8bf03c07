//! Sizes of the two simulated deployments.

pub const POOLS: usize = 5;
pub const SLOTS: u32 = 8;
pub const ENDPOINTS_PER_POOL: usize = 10;

/// Size of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub name: &'static str,
    pub zones: usize,
    pub gateways: usize,
}

pub const FLEETS: [Fleet; 2] = [
    Fleet {
        name: "futopalya",
        zones: 4,
        gateways: 8,
    },
    Fleet {
        name: "kandy",
        zones: 3,
        gateways: 9,
    },
];

impl Fleet {
    pub fn gateway_zone(&self, gateway: usize) -> usize {
        gateway % self.zones
    }

    pub fn endpoint_zone(&self, endpoint: usize) -> usize {
        endpoint % self.zones
    }

    pub fn endpoints_in(&self, zone: usize) -> impl Iterator<Item = usize> + use<> {
        let zones = self.zones;
        (0..ENDPOINTS_PER_POOL).filter(move |endpoint| endpoint % zones == zone)
    }
}
