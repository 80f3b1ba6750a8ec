//! What was sent, answered and run, with the time of each, for `record.txt` and for the checks.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A run that a worker has begun or ended.
#[derive(Debug, Clone, PartialEq)]
pub struct RunEvent {
    pub at_ms: u64,
    pub worker: String,
    pub life: u64,
    pub task: String,
    pub run: u64,
    pub spec: String,
    pub checkpoint: String,
    /// How the run ended; `None` if it began.
    pub end: Option<String>,
    /// Whether the order was carried out late.
    pub is_late: bool,
}

struct Inner {
    file: File,
    runs: Vec<RunEvent>,
    /// Ends that were acknowledged: worker, life, task, run.
    noted: Vec<(u64, String, u64, String, u64)>,
}

/// The record of a trial; clones share it.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    inner: Arc<Mutex<Inner>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        let inner = Inner {
            file,
            runs: Vec::new(),
            noted: Vec::new(),
        };
        Self {
            began: Instant::now(),
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Returns the time since the trial began, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now_ms();
        let mut inner = self.inner.lock().expect("the record");
        let _ = writeln!(inner.file, "{:>9.3} {}", at as f64 / 1_000.0, text.as_ref());
    }

    pub fn run(&self, event: RunEvent) {
        let RunEvent {
            worker,
            life,
            task,
            run,
            ..
        } = &event;
        let what = match &event.end {
            None if event.is_late => "begins late",
            None => "begins",
            Some(end) => end,
        };
        self.line(format!(
            "worker {worker} life {life}: {task} run {run} {what}"
        ));
        self.inner.lock().expect("the record").runs.push(event);
    }

    pub fn noted(&self, worker: &str, life: u64, task: &str, run: u64) {
        let at = self.now_ms();
        let mut inner = self.inner.lock().expect("the record");
        inner
            .noted
            .push((at, worker.to_owned(), life, task.to_owned(), run));
    }

    pub fn runs(&self) -> Vec<RunEvent> {
        self.inner.lock().expect("the record").runs.clone()
    }

    pub fn noted_ends(&self) -> Vec<(u64, String, u64, String, u64)> {
        self.inner.lock().expect("the record").noted.clone()
    }
}
