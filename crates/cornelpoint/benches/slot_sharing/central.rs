//! Baseline: a single dispatcher with an exact view of all slots.

use super::fleet::ENDPOINTS_PER_POOL;
use super::fleet::POOLS;
use super::fleet::SLOTS;

/// Slots in use at each endpoint, known without any messages.
pub struct Central {
    in_use: Vec<[u32; ENDPOINTS_PER_POOL]>,
}

impl Central {
    pub fn new() -> Self {
        Self {
            in_use: vec![[0; ENDPOINTS_PER_POOL]; POOLS],
        }
    }

    pub fn acquire(&mut self, pool: usize) -> Option<usize> {
        let in_use = &mut self.in_use[pool];
        let least = (0..ENDPOINTS_PER_POOL).min_by_key(|endpoint| in_use[*endpoint])?;
        if in_use[least] >= SLOTS {
            return None;
        }
        in_use[least] += 1;
        Some(least)
    }

    pub fn release(&mut self, pool: usize, endpoint: usize) {
        self.in_use[pool][endpoint] -= 1;
    }
}
