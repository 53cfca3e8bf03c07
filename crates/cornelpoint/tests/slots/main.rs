//! Slots lent to gateways: the rules one by one, and bounds over random
//! schedules of failures.

mod bounds;
mod builder;
mod rules;
mod schedule;
