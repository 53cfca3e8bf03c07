use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;

use cornelpoint::claim::AnswerBody;
use cornelpoint::claim::SendPermit;
use cornelpoint::claim::Settlement;
use cornelpoint::claim::StoredAnswer;

use super::complete_answer::CompleteAnswer;
use super::event::Event;
use crate::platform_client::PlatformClient;

/// Largest number of attempts to store one answer.
const MAX_ATTEMPTS: u32 = 3;

/// A large answer to be stored in the object store.
#[derive(Debug)]
pub(super) struct ObjectCall {
    pub(super) permit: SendPermit,
    pub(super) name: String,
    pub(super) answer: CompleteAnswer,
}

/// Stores large answers, one after another.
pub(super) fn run(
    client: &PlatformClient,
    calls: &Receiver<ObjectCall>,
    events: &SyncSender<Event>,
) {
    while let Ok(call) = calls.recv() {
        let is_stored =
            (0..MAX_ATTEMPTS).any(|_| client.put_object(&call.name, &call.answer.body).is_ok());
        let settlement = if is_stored {
            Settlement::Answered(reference(call.name, call.answer))
        } else {
            Settlement::Unresolved
        };
        if events.send(Event::Stored(call.permit, settlement)).is_err() {
            return;
        }
    }
}

fn reference(name: String, answer: CompleteAnswer) -> StoredAnswer {
    StoredAnswer {
        status: answer.status,
        headers: answer.headers,
        body: AnswerBody::Object {
            name,
            length_bytes: answer.body.len() as u64,
        },
    }
}
