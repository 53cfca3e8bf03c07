//! Slot lending: each rule on its own, and invariants under random schedules of
//! faults.

mod bounds;
mod builder;
mod rules;
mod schedule;
