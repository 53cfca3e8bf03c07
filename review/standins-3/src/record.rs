//! The record of a scenario: what was sent, answered and run, with times since its start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

use crate::http::lock;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn line(&self, text: &str) {
        let ms = self.now_ms();
        let line = format!("{:4}.{:03} s  {text}\n", ms / 1000, ms % 1000);
        let _ = lock(&self.file).write_all(line.as_bytes());
        // Nobody may read the output.
        let _ = std::io::stdout().write_all(line.as_bytes());
    }
}
