//! Workspaces: what one site gives a template, its parameters and endpoints.

mod check;
mod draft;
mod draft_endpoint;
mod fault_domain;
mod parameters;

pub use self::check::check;
