use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use super::plan::FaultPlan;
use super::targets::Targets;
use crate::clock::now_ms;
use crate::history::Recorder;

/// A thread that injects the faults of a plan.
#[derive(Debug)]
pub struct FaultDriver {
    stop: SyncSender<()>,
    thread: JoinHandle<()>,
}

impl FaultDriver {
    /// Starts a thread that carries out the plan.
    #[must_use]
    pub fn start(plan: FaultPlan, targets: Arc<Targets>, recorder: Arc<Recorder>) -> Self {
        let (stop, stop_signal) = sync_channel(1);
        let thread = thread::spawn(move || {
            run(&plan, &targets, &recorder, &stop_signal);
            targets.clear();
        });
        Self { stop, thread }
    }

    /// Waits until the plan has ended.
    pub fn wait(self) {
        // The panic hook has already printed a panic of the thread.
        let _ = self.thread.join();
    }

    /// Ends the plan early and clears all faults.
    pub fn stop(self) {
        // Fails if the thread has already ended.
        let _ = self.stop.try_send(());
        self.wait();
    }
}

fn run(plan: &FaultPlan, targets: &Targets, recorder: &Recorder, stop_signal: &Receiver<()>) {
    let start_ms = now_ms();
    for fault in &plan.faults {
        let wait_ms = (start_ms + fault.at_ms).saturating_sub(now_ms());
        let waited = stop_signal.recv_timeout(Duration::from_millis(wait_ms));
        if waited != Err(RecvTimeoutError::Timeout) {
            return;
        }
        targets.apply(&fault.action, recorder);
    }
}
