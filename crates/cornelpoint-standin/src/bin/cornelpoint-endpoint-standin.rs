//! Endpoint stand-in executable.

use cornelpoint_standin::program::ProgramError;
use cornelpoint_standin::program::run_endpoints;
use error_stack::Report;

fn main() -> Result<(), Report<ProgramError>> {
    run_endpoints()
}
