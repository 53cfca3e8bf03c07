use super::event::AcceptAction;
use super::event::AcceptEvent;
use super::outcome::AcceptOutcome;
use super::read_rows::ReadRows;
use super::request::AcceptContent;
use super::request::AcceptRequest;
use crate::configuration::Configuration;
use crate::configuration::Generation;
use crate::configuration::diff::diff;
use crate::configuration::record::Head;
use crate::configuration::record::HistoryEntry;
use crate::configuration::record::RecordError;
use crate::configuration::record::body_key;
use crate::configuration::record::content_hash;
use crate::configuration::record::encode;
use crate::configuration::record::encode_body;
use crate::configuration::record::head_key;
use crate::configuration::record::history_key;
use crate::platform::Condition;
use crate::platform::Key;
use crate::platform::Row;
use crate::platform::Transaction;
use crate::platform::TransactionOutcome;
use crate::platform::Write;

/// Maximum number of read-and-write rounds before an accept gives up.
const MAX_ROUNDS: u32 = 5;

/// State machine of one accept, from the operator's request to its outcome.
///
/// The caller executes each [`AcceptAction`] and passes the resulting
/// [`AcceptEvent`] to [`Accept::handle`].
///
/// ```
/// use cornelpoint::configuration::Accept;
/// use cornelpoint::configuration::AcceptAction;
/// use cornelpoint::configuration::AcceptContent;
/// use cornelpoint::configuration::AcceptEvent;
/// use cornelpoint::configuration::AcceptOutcome;
/// use cornelpoint::configuration::AcceptRequest;
/// use cornelpoint::configuration::AcceptToken;
/// use cornelpoint::configuration::Generation;
/// use cornelpoint::deployment::Deployment;
/// use cornelpoint::platform::TransactionOutcome;
///
/// let configuration = Deployment::Kandy.configuration().unwrap();
/// let mut accept = Accept::new(AcceptRequest {
///     workspace: configuration.workspace.clone(),
///     seen: Generation(0),
///     token: AcceptToken(7),
///     who: "nimal".to_owned(),
///     why: "first configuration".to_owned(),
///     now_unix_ms: 1_700_000_000_000,
///     content: AcceptContent::Given(Box::new(configuration)),
/// });
/// assert!(matches!(accept.start(), AcceptAction::Read(_)));
/// let action = accept.handle(AcceptEvent::Rows(Vec::new()));
/// assert!(matches!(action, AcceptAction::Transact(_)));
/// let committed = AcceptEvent::Transacted(TransactionOutcome::Committed);
/// assert_eq!(
///     accept.handle(committed),
///     AcceptAction::Finish(AcceptOutcome::Accepted { generation: Generation(1) })
/// );
/// ```
#[derive(Clone, Debug)]
pub struct Accept {
    request: AcceptRequest,
    rounds: u32,
    may_have_taken_effect: bool,
    conflict: Option<Generation>,
}

impl Accept {
    /// Creates an accept; [`Accept::start`] returns its first action.
    #[must_use]
    pub fn new(request: AcceptRequest) -> Self {
        Self {
            request,
            rounds: 0,
            may_have_taken_effect: false,
            conflict: None,
        }
    }

    /// Starts the accept and returns its first action.
    #[must_use]
    pub fn start(&mut self) -> AcceptAction {
        self.next_round()
    }

    /// Handles the result of the last action and returns the next action.
    #[must_use]
    pub fn handle(&mut self, event: AcceptEvent) -> AcceptAction {
        match event {
            AcceptEvent::Rows(rows) => match self.decide(&rows) {
                Ok(action) => action,
                Err(_) if self.may_have_taken_effect => {
                    AcceptAction::Finish(AcceptOutcome::Unknown)
                }
                Err(error) => AcceptAction::Finish(AcceptOutcome::Malformed { error }),
            },
            AcceptEvent::Transacted(TransactionOutcome::Committed) => {
                AcceptAction::Finish(AcceptOutcome::Accepted {
                    generation: self.request.seen.next(),
                })
            }
            AcceptEvent::Transacted(TransactionOutcome::Conflict { .. })
            | AcceptEvent::NotTransacted
            | AcceptEvent::ReadFailed => self.next_round(),
            AcceptEvent::AnswerLost => {
                self.may_have_taken_effect = true;
                self.next_round()
            }
        }
    }

    fn next_round(&mut self) -> AcceptAction {
        if self.rounds == MAX_ROUNDS {
            return AcceptAction::Finish(self.give_up());
        }
        self.rounds += 1;
        AcceptAction::Read(self.keys())
    }

    fn give_up(&self) -> AcceptOutcome {
        match self.conflict {
            Some(current) => AcceptOutcome::Conflict {
                seen: self.request.seen,
                current,
                accepted: None,
                changes: Vec::new(),
            },
            None if self.may_have_taken_effect => AcceptOutcome::Unknown,
            None => AcceptOutcome::Unavailable,
        }
    }

    /// Returns the keys of the rows that the next decision needs.
    fn keys(&self) -> Vec<Key> {
        let workspace = &self.request.workspace;
        let seen = self.request.seen;
        let mut keys = vec![head_key(workspace), history_key(workspace, seen.next())];
        if let AcceptContent::Restored(generation) = self.request.content {
            keys.push(body_key(workspace, generation));
        }
        if let Some(current) = self.conflict {
            keys.push(history_key(workspace, current));
            keys.push(body_key(workspace, current));
            keys.push(body_key(workspace, seen));
        }
        keys
    }

    fn decide(&mut self, rows: &[Row]) -> Result<AcceptAction, RecordError> {
        let read_rows = ReadRows {
            workspace: &self.request.workspace,
            rows,
        };
        let seen = self.request.seen;
        let next = read_rows.history(seen.next())?;
        if next.is_some_and(|entry| entry.token == self.request.token) {
            return Ok(AcceptAction::Finish(AcceptOutcome::Accepted {
                generation: seen.next(),
            }));
        }
        let head = read_rows.head()?;
        let current = head.as_ref().map_or(Generation(0), |head| head.generation);
        if current != seen {
            return self.decide_conflict(current, rows);
        }
        let content = match &self.request.content {
            AcceptContent::Given(configuration) => Some((**configuration).clone()),
            AcceptContent::Restored(generation) => read_rows.body(*generation)?,
        };
        let Some(content) = content else {
            return Ok(AcceptAction::Finish(self.no_such_generation()));
        };
        let hash = content_hash(&content);
        if head.is_some_and(|head| head.content_hash == hash) {
            return Ok(AcceptAction::Finish(AcceptOutcome::Unchanged {
                generation: seen,
            }));
        }
        let transaction = self.transaction(content, hash, read_rows.head_version());
        Ok(AcceptAction::Transact(transaction))
    }

    /// Reports the conflict and what changed since the generation the operator
    /// saw, or first reads the rows needed for that.
    fn decide_conflict(
        &mut self,
        current: Generation,
        rows: &[Row],
    ) -> Result<AcceptAction, RecordError> {
        let read_rows = ReadRows {
            workspace: &self.request.workspace,
            rows,
        };
        let Some(after) = read_rows.body(current)? else {
            self.conflict = Some(current);
            return Ok(self.next_round());
        };
        let before = match read_rows.body(self.request.seen)? {
            None if self.request.seen == Generation(0) => Some(empty_configuration(&after)),
            before => before,
        };
        let changes = before.map(|before| diff(&before, &after));
        Ok(AcceptAction::Finish(AcceptOutcome::Conflict {
            seen: self.request.seen,
            current,
            accepted: read_rows.history(current)?,
            changes: changes.unwrap_or_default(),
        }))
    }

    fn no_such_generation(&self) -> AcceptOutcome {
        let generation = match self.request.content {
            AcceptContent::Given(_) => self.request.seen,
            AcceptContent::Restored(generation) => generation,
        };
        AcceptOutcome::NoSuchGeneration { generation }
    }

    fn transaction(
        &self,
        content: Configuration,
        content_hash: u64,
        head_version: Option<u64>,
    ) -> Transaction {
        let workspace = &self.request.workspace;
        let generation = self.request.seen.next();
        let head_key = head_key(workspace);
        let history_key = history_key(workspace, generation);
        let head_condition = match head_version {
            Some(version) => Condition::Version {
                key: head_key.clone(),
                version,
            },
            None => Condition::Absent {
                key: head_key.clone(),
            },
        };
        let not_accepted = Condition::Absent {
            key: history_key.clone(),
        };
        let body = Configuration {
            generation,
            ..content
        };
        Transaction {
            conditions: vec![head_condition, not_accepted],
            writes: vec![
                Write::Put {
                    key: head_key,
                    value: encode(&self.head(generation, content_hash)),
                },
                Write::Put {
                    key: body_key(workspace, generation),
                    value: encode_body(&body),
                },
                Write::Put {
                    key: history_key,
                    value: encode(&self.history_entry(generation, content_hash)),
                },
            ],
        }
    }

    fn head(&self, generation: Generation, content_hash: u64) -> Head {
        Head {
            workspace: self.request.workspace.clone(),
            generation,
            content_hash,
            token: self.request.token,
        }
    }

    fn history_entry(&self, generation: Generation, content_hash: u64) -> HistoryEntry {
        HistoryEntry {
            generation,
            restores: match self.request.content {
                AcceptContent::Given(_) => None,
                AcceptContent::Restored(restored) => Some(restored),
            },
            who: self.request.who.clone(),
            why: self.request.why.clone(),
            accepted_unix_ms: self.request.now_unix_ms,
            content_hash,
            token: self.request.token,
        }
    }
}

/// Returns an empty configuration, which stands for generation 0 in comparisons.
fn empty_configuration(configuration: &Configuration) -> Configuration {
    Configuration {
        generation: Generation(0),
        workspace: configuration.workspace.clone(),
        template: configuration.template.clone(),
        services: Vec::new(),
        pools: Vec::new(),
        spare_pool: None,
    }
}
