use std::sync::LazyLock;

use cornelpoint::configuration::Accept;
use cornelpoint::configuration::AcceptAction;
use cornelpoint::configuration::AcceptContent;
use cornelpoint::configuration::AcceptEvent;
use cornelpoint::configuration::AcceptOutcome;
use cornelpoint::configuration::AcceptRequest;
use cornelpoint::configuration::AcceptToken;
use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Generation;
use cornelpoint::deployment::Deployment;

use super::fake_table::FakeTable;

static BASE: LazyLock<Configuration> = LazyLock::new(|| Deployment::Kandy.configuration().unwrap());

/// Returns the configuration that the tests modify.
pub fn base() -> Configuration {
    BASE.clone()
}

/// Creates a request of an operator.
pub fn request(seen: u64, token: u64, who: &str, content: AcceptContent) -> AcceptRequest {
    AcceptRequest {
        workspace: base().workspace,
        seen: Generation(seen),
        token: AcceptToken(token),
        who: who.to_owned(),
        why: format!("accept {token}"),
        now_unix_ms: 1_000,
        content,
    }
}

/// Runs an accept to its outcome, without faults.
pub fn run(table: &mut FakeTable, request: AcceptRequest) -> AcceptOutcome {
    let mut accept = Accept::new(request);
    let mut action = accept.start();
    loop {
        let event = match action {
            AcceptAction::Read(keys) => AcceptEvent::Rows(table.read(&keys)),
            AcceptAction::Transact(transaction) => {
                AcceptEvent::Transacted(table.transact(&transaction))
            }
            AcceptAction::Finish(outcome) => return outcome,
        };
        action = accept.handle(event);
    }
}
