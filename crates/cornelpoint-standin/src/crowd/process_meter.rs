use std::fs;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Longest wait until the process has handled what it was sent.
const SETTLING: Duration = Duration::from_secs(120);
/// Interval between samples of the process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Consecutive samples without processor time after which a process counts as settled.
const QUIET_SAMPLES: usize = 4;
/// Processor time in a sample's interval below which the process is quiet, in clock ticks;
/// its heartbeats and feeds use some.
const QUIET_TICKS: u64 = 2;

/// Reads from the operating system what a process holds.
#[derive(Clone, Copy, Debug)]
pub struct ProcessMeter {
    process_id: u32,
}

/// The most that a process held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Largest resident memory since its start, in kilobytes of 1,024 bytes.
    pub peak_kb: u64,
    /// Largest number of open descriptors seen.
    pub descriptors: u64,
}

impl ProcessMeter {
    /// Creates a meter of a running process.
    ///
    /// ```
    /// use cornelpoint_standin::crowd::ProcessMeter;
    ///
    /// let meter = ProcessMeter::new(std::process::id());
    /// assert!(meter.descriptors() > 0);
    /// ```
    #[must_use]
    pub fn new(process_id: u32) -> Self {
        Self { process_id }
    }

    /// Waits until the process has handled what it was sent; returns the most that it held.
    ///
    /// # Panics
    ///
    /// When the process has ended or is still busy after two minutes.
    #[must_use]
    pub fn settle(&self) -> Usage {
        let started = Instant::now();
        let mut usage = Usage::default();
        let mut quiet = 0;
        let mut ticks = self.cpu_ticks();
        while quiet < QUIET_SAMPLES {
            assert!(started.elapsed() < SETTLING, "the process never settles");
            usage.descriptors = usage.descriptors.max(self.descriptors());
            thread::sleep(SAMPLE_INTERVAL);
            let now = self.cpu_ticks();
            quiet = if now - ticks <= QUIET_TICKS {
                quiet + 1
            } else {
                0
            };
            ticks = now;
        }
        usage.peak_kb = self.status_kb("VmHWM:");
        usage
    }

    /// Returns the number of open descriptors.
    ///
    /// # Panics
    ///
    /// When the process has ended.
    #[must_use]
    pub fn descriptors(&self) -> u64 {
        let open = fs::read_dir(format!("/proc/{}/fd", self.process_id));
        open.expect("the process has ended").count() as u64
    }

    /// Returns a field of the process's status; fails if the process has ended.
    fn status_kb(self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process_id));
        let status = status.expect("the process has ended");
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let line = line.expect("the process has ended");
        let number = line.trim().trim_end_matches(" kB").parse();
        number.expect("a number of kilobytes")
    }

    fn cpu_ticks(self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process_id));
        let stat = stat.expect("the process has ended");
        // The process's name, in parentheses, may contain spaces; the times in user
        // and system mode are the 12th and 13th field after it.
        let (_, fields) = stat.rsplit_once(')').expect("a process's status");
        let times = fields.split_whitespace().skip(11).take(2);
        times.filter_map(|time| time.parse::<u64>().ok()).sum()
    }
}
