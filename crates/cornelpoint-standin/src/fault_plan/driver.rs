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

/// A thread that brings the faults of a plan about.
#[derive(Debug)]
pub struct FaultDriver {
    stop: SyncSender<()>,
    thread: JoinHandle<()>,
}

impl FaultDriver {
    /// Starts a plan.
    #[must_use]
    pub fn start(plan: FaultPlan, targets: Arc<Targets>, recorder: Arc<Recorder>) -> Self {
        let (stop, stopped) = sync_channel(1);
        let thread = thread::spawn(move || {
            run(&plan, &targets, &recorder, &stopped);
            targets.clear();
        });
        Self { stop, thread }
    }

    /// Waits for the end of the plan.
    pub fn wait(self) {
        // A panic of the thread was printed by the thread itself.
        let _ = self.thread.join();
    }

    /// Ends the plan early and takes all faults away.
    pub fn stop(self) {
        // The thread may be over already; then there is none to tell.
        let _ = self.stop.try_send(());
        self.wait();
    }
}

fn run(plan: &FaultPlan, targets: &Targets, recorder: &Recorder, stopped: &Receiver<()>) {
    let start_ms = now_ms();
    for fault in &plan.faults {
        let wait_ms = (start_ms + fault.at_ms).saturating_sub(now_ms());
        let waited = stopped.recv_timeout(Duration::from_millis(wait_ms));
        if waited != Err(RecvTimeoutError::Timeout) {
            return;
        }
        targets.apply(&fault.action, recorder);
    }
}
