//! The cases.

mod large_job;
mod leaving_worker;
mod long_series;
mod next_life;

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::http::call;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
pub const SERVICE: &str = "huvo11a";

/// Held: the rule was kept. Broken: it was not. Unfit: the case could not run.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const UNFIT: i32 = 2;

/// Plays a case and returns its exit code.
pub fn play(case: &str, folder: &Path, has_trouble: bool) -> i32 {
    let record = Record::new(&folder.join("record.txt"));
    record.line(format!("case {case}, trouble {has_trouble}"));
    let code = match case {
        "large-job" => large_job::play(&record, has_trouble),
        "leaving-worker" => leaving_worker::play(&record, has_trouble),
        "long-series" => long_series::play(&record, has_trouble),
        "stopped-start" => next_life::play_stopped(&record, has_trouble),
        "done-run" => next_life::play_done(&record, has_trouble),
        _ => UNFIT,
    };
    record.line(format!("exit code {code}"));
    code
}

/// The platform, the workers and the processes of a small deployment.
pub struct Scene {
    pub record: Record,
    pub store: Store,
    pub workers: Vec<Worker>,
    pub fleet: Fleet,
    next_front: AtomicUsize,
    last_id: u64,
}

impl Scene {
    /// Starts everything and waits until the processes are ready; `None` if they don't become so.
    pub fn start(record: &Record, processes: usize, workers: usize, cpu: u64) -> Option<Self> {
        let (store, address) = Store::start();
        let configuration = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"prefix\":\"{PREFIX}\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_duration_ms\":1000,\"priority\":0,\"service\":\"{SERVICE}\",\"max_attempts\":3,\"slack_factor\":2.0}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_check\":true,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
        );
        store.put("op/config", &configuration);
        let zone = |index: usize| ["z1", "z2", "z3"][index % 3];
        let worker = |index: usize| {
            let id = format!("i-{:08x}", 0x7f3a_0000 + index);
            Worker::start(&id, SERVICE, zone(index), cpu, &store, record)
        };
        let workers = (0..workers).map(worker).collect();
        let root = std::env::current_dir().ok()?;
        let pid = std::process::id();
        let folder = PathBuf::from(std::env::temp_dir()).join(format!("review-trial-{pid}"));
        let fleet = Fleet::start(&root, &folder, processes, &address, record);
        let scene = Self {
            record: record.clone(),
            store,
            workers,
            fleet,
            next_front: AtomicUsize::new(0),
            last_id: 0x5c0e_7a21_0000_0000 + u64::from(pid) * 0x1_0000,
        };
        if !scene.fleet.wait_ready(20_000) {
            record.line("the processes don't become ready");
            return None;
        }
        // The workers are claimed, and answer their owners for the first time.
        thread::sleep(Duration::from_millis(3_000));
        Some(scene)
    }

    /// Returns a new identifier of a job.
    pub fn new_id(&mut self) -> String {
        self.last_id = self.last_id.wrapping_add(0x9e37_79b9_7f4a_7c15);
        format!("{:016x}", self.last_id)
    }

    /// Makes one call at the next front.
    pub fn ask(&self, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let next = self.next_front.fetch_add(1, Ordering::Relaxed);
        let front = self.fleet.entries[next % self.fleet.entries.len()]
            .front
            .clone();
        let answer = call(&front, method, &format!("{PREFIX}{id}"), HOST, body, 3_000);
        let shown = match &answer {
            Some((status, text)) => format!("{status} {text}"),
            None => "no answer".to_owned(),
        };
        let size = body.len();
        self.record
            .line(format!("{method} {id} ({size} bytes) at {front}: {shown}"));
        answer
    }

    /// Submits a job with up to `tries` attempts; returns whether it was accepted.
    pub fn submit(&self, id: &str, body: &str, tries: u32) -> bool {
        for attempt in 0..tries {
            if attempt > 0 {
                thread::sleep(Duration::from_millis(500));
            }
            match self.ask("POST", id, body) {
                Some((200, _)) => return true,
                Some((404 | 400 | 413, _)) => return false,
                _ => {}
            }
        }
        false
    }

    /// Returns the state of a job, if it is answered.
    pub fn state(&self, id: &str) -> Option<String> {
        let (status, text) = self.ask("GET", id, "")?;
        match status {
            200 => Some(crate::json::Json::parse(&text)?.text("state")?.to_owned()),
            410 => Some("410".to_owned()),
            _ => None,
        }
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
