use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::caller::Caller;
use crate::caller::job;

/// Delay before a job that was not accepted is submitted again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What a caller does until it is stopped, with numbers of jobs that no other caller
/// uses.
type Action = fn(&Caller, &AtomicBool, &AtomicU64);

/// Callers that send one request after another until this is dropped.
pub struct Load {
    stopped: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `callers_per_instance` callers at each instance, which submit jobs.
    pub fn submit(instances: &[Caller], callers_per_instance: usize) -> Self {
        Self::start(instances, callers_per_instance, submit_jobs)
    }

    /// Starts `callers_per_instance` callers at each instance, which ask for jobs
    /// that don't exist.
    pub fn look_up(instances: &[Caller], callers_per_instance: usize) -> Self {
        Self::start(instances, callers_per_instance, look_up_jobs)
    }

    fn start(instances: &[Caller], callers_per_instance: usize, action: Action) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let next_job = Arc::new(AtomicU64::new(1));
        let callers = instances.iter().flat_map(|caller| {
            let (stopped, next_job) = (&stopped, &next_job);
            (0..callers_per_instance).map(move |_| {
                let caller = caller.clone();
                let stopped = Arc::clone(stopped);
                let next_job = Arc::clone(next_job);
                thread::spawn(move || action(&caller, &stopped, &next_job))
            })
        });
        Self {
            callers: callers.collect(),
            stopped,
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            // A panic is printed by the thread.
            let _ = caller.join();
        }
    }
}

fn submit_jobs(caller: &Caller, stopped: &AtomicBool, next_job: &AtomicU64) {
    while !stopped.load(Ordering::Relaxed) {
        let id = job(next_job.fetch_add(1, Ordering::Relaxed));
        while !caller.submit(id) && !stopped.load(Ordering::Relaxed) {
            thread::sleep(RETRY_DELAY);
        }
    }
}

fn look_up_jobs(caller: &Caller, stopped: &AtomicBool, next_job: &AtomicU64) {
    while !stopped.load(Ordering::Relaxed) {
        caller.status(job(next_job.fetch_add(1, Ordering::Relaxed)));
    }
}
