//! Owners of several pools, their workers and a store with faults.

mod limits;
mod owner;
mod store;
mod world;

pub(crate) use self::world::Mutant;
pub(crate) use self::world::World;
