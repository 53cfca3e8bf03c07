use std::time::Duration;
use std::time::Instant;

use cornelpoint::claim::ClaimKey;
use cornelpoint::configuration::Service;
use cornelpoint::request::Refusal;

use crate::caller_edge::Answer;
use crate::caller_edge::RequestHead;

/// Header with the caller's deadline, in milliseconds from when the request was
/// sent.
pub(super) const DEADLINE_HEADER: &str = "cornelpoint-deadline-ms";

/// Header with the caller's idempotency key, so that a repeated request does
/// not run again.
pub(super) const KEY_HEADER: &str = "idempotency-key";

/// Options of a request, read from its headers and validated.
#[derive(Clone, Debug)]
pub(super) struct RequestOptions {
    pub(super) deadline: Instant,
    pub(super) idempotent: bool,
    /// The caller's key, for a request that must run at most once.
    pub(super) key: Option<ClaimKey>,
}

impl RequestOptions {
    /// Reads the options from the headers; the deadline counts from `sent_at`.
    ///
    /// # Errors
    ///
    /// Returns the answer that tells the caller which header is invalid.
    pub(super) fn read(
        head: &RequestHead,
        service: &Service,
        sent_at: Instant,
    ) -> Result<Self, Answer> {
        let deadline_ms = match head.header(DEADLINE_HEADER) {
            Some(text) => read_deadline_ms(text, service.max_deadline_ms)?,
            None => service.deadline_ms,
        };
        let idempotent = service.idempotent_methods.contains(&head.method);
        let key = head.header(KEY_HEADER).map(read_key).transpose()?;
        Ok(Self {
            deadline: sent_at + Duration::from_millis(deadline_ms),
            idempotent,
            key: key.filter(|_| !idempotent),
        })
    }
}

fn read_key(text: &str) -> Result<ClaimKey, Answer> {
    ClaimKey::try_from(text)
        .map_err(|error| Answer::refused(Refusal::BadKey, &format!("{KEY_HEADER}: {error}")))
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
