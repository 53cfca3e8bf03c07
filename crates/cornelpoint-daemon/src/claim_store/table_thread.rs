use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;

use cornelpoint::claim::StoreCall;
use cornelpoint::claim::StoreRequest;

use super::event::Event;
use super::event::TableReply;
use crate::platform_client::PlatformClient;
use crate::platform_client::PlatformError;

/// Executes the batches' calls, one after another.
pub(super) fn run(
    client: &PlatformClient,
    calls: &Receiver<StoreRequest>,
    events: &SyncSender<Event>,
) {
    while let Ok(request) = calls.recv() {
        let reply = execute(client, &request.call);
        if events.send(Event::Table(request.id, reply)).is_err() {
            return;
        }
    }
}

fn execute(client: &PlatformClient, call: &StoreCall) -> TableReply {
    let reply = match call {
        StoreCall::Transact(transaction) => {
            client.transact(transaction).map(TableReply::Transacted)
        }
        StoreCall::Read(keys) => client.read(keys).map(TableReply::Rows),
    };
    reply.unwrap_or_else(|error| failure(&error))
}

fn failure(error: &PlatformError) -> TableReply {
    if error.may_have_taken_effect() {
        TableReply::OutcomeUnknown
    } else {
        TableReply::NotSent
    }
}
