//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self {
            started_at: Instant::now(),
            file,
        })
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>9.3} s  {text}\n", self.now_ms() as f64 / 1_000.0);
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = file.write_all(line.as_bytes());
    }
}
