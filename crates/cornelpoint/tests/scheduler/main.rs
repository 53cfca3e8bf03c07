//! A pool's scheduler: single decisions, and whole terms of owners with
//! workers and a store under a random schedule of faults.

mod decisions;
mod fake_store;
mod fake_worker;
mod kinds_of_steps;
mod objectives;
mod random_schedules;
mod support;
mod world;
