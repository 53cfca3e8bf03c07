use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;

use cornelpoint::platform::Key;
use cornelpoint::platform::Scan;
use cornelpoint::platform::Transaction;

use super::event::Event;
use super::event::ReadReply;
use crate::platform_client::PlatformClient;

/// A call of the read thread.
#[derive(Debug)]
pub(super) enum ReadCall {
    /// Read the rows of other claims.
    Claims(Vec<Key>),
    /// Scan an old table.
    OldRows(Scan),
    /// Remove rows of an old table.
    Remove(Transaction),
}

/// Reads the rows of other claims, and removes those of old tables.
pub(super) fn run(client: &PlatformClient, calls: &Receiver<ReadCall>, events: &SyncSender<Event>) {
    while let Ok(call) = calls.recv() {
        let reply = match call {
            ReadCall::Claims(keys) => ReadReply::Claims(client.read(&keys).ok()),
            ReadCall::OldRows(scan) => ReadReply::OldRows(client.scan(&scan).ok()),
            ReadCall::Remove(transaction) => {
                // Rows that are not removed now are found by the next scan.
                let _ = client.transact(&transaction);
                continue;
            }
        };
        if events.send(Event::Read(reply)).is_err() {
            return;
        }
    }
}
