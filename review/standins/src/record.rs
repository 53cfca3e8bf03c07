//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record can't be written");
        Record {
            file: Mutex::new(file),
            started: Instant::now(),
        }
    }

    /// Time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>8.3} {text}", at as f64 / 1000.0);
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
