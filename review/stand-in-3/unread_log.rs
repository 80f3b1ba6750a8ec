//! What collects the logs stops reading the standard output of the processes for a while.

use std::io::Read;
use std::process::{ChildStdout, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site::{Route, Site};

const ORDERS: Route = Route {
    name: "r-orders",
    host: "orders.example",
    prefix: "/orders/",
    service: "desk",
};

/// One step of four tasks of 0.8 s on one core.
const BODY: &str = "{\"spec\":\"800/1000\",\"steps\":[{\"count\":4,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":800}]}";

/// The time between two jobs, as at 10 jobs a second.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(100);

const READ_TRAFFIC: Duration = Duration::from_secs(4);
const UNREAD_TRAFFIC: Duration = Duration::from_secs(16);

/// `finish_s`, after which the jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

/// The number of accepted jobs that are asked for.
const ASKED_JOBS: usize = 4;

/// The time after which a job is asked for once more, for the record.
const RECOVERY: Duration = Duration::from_secs(6);

/// Returns whether the rule was broken.
pub fn play(record: Arc<Record>, has_trouble: bool) -> std::io::Result<Option<bool>> {
    let mut site = Site::new(Arc::clone(&record))?;
    site.add_runners("desk", 8, 16_000);
    site.configure(1, &[&ORDERS], &["desk"]);
    site.add_entries(3, || Some(Stdio::piped()))?;
    let is_read = Arc::new(AtomicBool::new(true));
    for entry in &mut site.entries {
        if let Some(output) = entry.child().stdout.take() {
            collect(output, Arc::clone(&is_read));
        }
    }
    if !site.wait_until_ready(Duration::from_secs(15)) {
        record.line("the processes are not ready");
        return Ok(None);
    }
    std::thread::sleep(Duration::from_secs(2));
    let mut accepted = Vec::new();
    submit_jobs(&site, READ_TRAFFIC, &mut accepted);
    if accepted.is_empty() {
        return Ok(None);
    }
    if has_trouble {
        is_read.store(false, Ordering::Relaxed);
        record.line("the collector of the logs stops reading");
    }
    submit_jobs(&site, UNREAD_TRAFFIC, &mut accepted);
    record.line(&format!(
        "end of the traffic; {} jobs accepted",
        accepted.len()
    ));
    std::thread::sleep(FINISH);
    let asked = accepted.iter().rev().take(ASKED_JOBS);
    let unanswered = asked.filter(|id| !is_known(&site, id)).count();
    record.line(&format!(
        "accepted jobs without an answer from any process: {unanswered}"
    ));
    is_read.store(true, Ordering::Relaxed);
    record.line("the collector reads on");
    std::thread::sleep(RECOVERY);
    is_known(&site, &accepted[0]);
    Ok(Some(unanswered > 0))
}

/// Returns whether any process tells the state of a job.
fn is_known(site: &Site, id: &str) -> bool {
    (0..site.entries.len()).any(|entry| {
        let answer = site.call(entry, "GET", &ORDERS, id, "");
        answer.is_some_and(|(status, _)| status == 200)
    })
}

/// Reads the log of a process while `is_read` is set.
fn collect(mut output: ChildStdout, is_read: Arc<AtomicBool>) {
    std::thread::spawn(move || {
        let mut buffer = [0; 4_096];
        loop {
            if !is_read.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            match output.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    });
}

fn submit_jobs(site: &Site, length: Duration, accepted: &mut Vec<String>) {
    let ends_at = Instant::now() + length;
    while Instant::now() < ends_at {
        let number = site.record.now_ms();
        let id = format!("{number:016x}");
        let entry = number as usize % site.entries.len();
        let answer = site.call(entry, "POST", &ORDERS, &id, BODY);
        if answer.is_some_and(|(status, _)| status / 100 == 2) {
            accepted.push(id);
        }
        std::thread::sleep(SUBMISSION_INTERVAL);
    }
}
