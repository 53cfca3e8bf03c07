use std::time::Duration;
use std::time::Instant;

use cornelpoint::configuration::Service;
use cornelpoint::request::Refusal;

use crate::caller_edge::Answer;
use crate::caller_edge::RequestHead;

/// Header in which a caller names its deadline, in milliseconds from when
/// the request was sent.
pub(super) const DEADLINE_HEADER: &str = "cornelpoint-deadline-ms";

/// What a request's headers ask for, checked.
#[derive(Clone, Debug)]
pub(super) struct RequestPlan {
    pub(super) deadline: Instant,
    pub(super) idempotent: bool,
}

impl RequestPlan {
    /// Reads the headers.
    ///
    /// # Errors
    ///
    /// The answer that says what is wrong with them.
    pub(super) fn read(
        head: &RequestHead,
        service: &Service,
        received_at: Instant,
    ) -> Result<Self, Answer> {
        let deadline_ms = match head.header(DEADLINE_HEADER) {
            Some(text) => read_deadline_ms(text, service.max_deadline_ms)?,
            None => service.deadline_ms,
        };
        Ok(Self {
            deadline: received_at + Duration::from_millis(deadline_ms),
            idempotent: service.idempotent_methods.contains(&head.method),
        })
    }
}

fn read_deadline_ms(text: &str, max_deadline_ms: u64) -> Result<u64, Answer> {
    match text.parse::<u64>() {
        Ok(deadline_ms) if (1..=max_deadline_ms).contains(&deadline_ms) => Ok(deadline_ms),
        _ => Err(Answer::refused(
            Refusal::BadDeadline,
            &format!(
                "expected {DEADLINE_HEADER} from 1 to {max_deadline_ms}, found {}",
                text.escape_default()
            ),
        )),
    }
}
