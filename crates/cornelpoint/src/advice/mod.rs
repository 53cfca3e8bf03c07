//! Calls of a process to the advice service, which answers them one after another.

mod advice_calls;

pub use self::advice_calls::AdviceCalls;
pub use self::advice_calls::CallOutcome;
pub use self::advice_calls::SettledCall;
