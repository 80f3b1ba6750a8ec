//! The log of a worker, in a file.

use std::fmt;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, PoisonError};

use turmericfold_types::MonotonicMs;

/// The log of a worker, in a file.
#[derive(Debug)]
pub(super) struct WorkerLog {
    file: Mutex<File>,
}

impl WorkerLog {
    /// Creates the log of a worker as a file in `folder`.
    pub(super) fn create(folder: &Path, worker: usize) -> Self {
        let path = folder.join(format!("worker-{worker}.log"));
        Self {
            file: Mutex::new(File::create(path).unwrap()),
        }
    }

    /// Writes a line.
    pub(super) fn write(&self, at: MonotonicMs, line: fmt::Arguments<'_>) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        writeln!(file, "{} {line}", at.0).unwrap();
    }
}
