//! Tests of a pool's scheduler: single decisions, and successive owners with
//! simulated workers and a store under random schedules of faults.

mod admission;
mod capacity;
mod crash_world;
mod crashes;
mod cut_reports;
mod decisions;
mod ended_workers;
mod fake_store;
mod fake_worker;
mod idle_clocks;
mod inbox;
mod lasting_tasks;
mod lost_fences;
mod objectives;
mod occurrences;
mod odd_entries;
mod partial_reports;
mod placement_passes;
mod predecessor_stops;
mod random_schedules;
mod refused_rows;
mod restart_details;
mod restart_support;
mod restart_suspicions;
mod restarts;
mod silences;
mod step_kinds;
mod stored_progress;
mod support;
mod surge;
mod tenant_limits;
mod unplaceable_steps;
mod vacating;
mod worker_quorum;
mod world;
