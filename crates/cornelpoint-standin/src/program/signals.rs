use error_stack::Report;
use error_stack::ResultExt;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use super::program_error::ProgramError;

/// Registers handlers for SIGTERM and SIGINT.
pub(super) fn catch() -> Result<Signals, Report<ProgramError>> {
    Signals::new([SIGTERM, SIGINT]).change_context(ProgramError::Signals)
}

/// Waits for SIGTERM or SIGINT.
pub(super) fn wait(signals: &mut Signals) {
    signals.forever().next();
}
