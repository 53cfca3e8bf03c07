//! Workspaces: the parameters and endpoints that one site supplies for a template.

mod check;
mod fault_domain;
mod parameters;
mod parsed_endpoint;
mod parsed_workspace;

pub use self::check::check;
