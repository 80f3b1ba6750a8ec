//! A client hands in a job that recurs often and whose first times have passed.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::Record;
use crate::site::{Route, Site};

const ORDERS: Route = Route {
    name: "r-orders",
    host: "orders.example",
    prefix: "/orders/",
    service: "desk",
};
const SERIES: &str = "5c0e7a21d94b36f8";

/// The number of times of the series: one a second for a day.
const TIMES: u64 = 86_400;
const INTERVAL_MS: u64 = 1_000;

/// The number of small jobs of other clients, which are done before the series is handed in.
const SMALL_JOBS: u64 = 12;

/// One step of two tasks of 0.5 s.
const SMALL_BODY: &str = "{\"spec\":\"500/1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":500}]}";

/// `finish_s`, after which the jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

/// How long all jobs are asked for, in turn.
const ASKED: Duration = Duration::from_secs(50);

/// The calls in a row for one job, each at the next process, that must all fail before the job counts
/// as one without an answer: a client's first attempt and its four retries.
const ATTEMPTS: usize = 5;

/// Returns whether the rule was broken.
pub fn play(record: Arc<Record>, has_trouble: bool) -> std::io::Result<Option<bool>> {
    let mut site = Site::new(Arc::clone(&record))?;
    site.add_runners("desk", 8, 16_000);
    site.configure(1, &[&ORDERS], &["desk"]);
    site.add_entries(3, || None)?;
    if !site.wait_until_ready(Duration::from_secs(15)) {
        record.line("the processes are not ready");
        return Ok(None);
    }
    std::thread::sleep(Duration::from_secs(2));
    let small: Vec<String> = (1..=SMALL_JOBS)
        .map(|number| format!("{:016x}", number * 0x0123_4567_89ab_cdef))
        .collect();
    if !small.iter().all(|id| site.submit(&ORDERS, id, SMALL_BODY)) {
        return Ok(None);
    }
    std::thread::sleep(Duration::from_secs(2));
    let past_ms = if has_trouble { TIMES * INTERVAL_MS } else { 0 };
    if !site.submit(&ORDERS, SERIES, &series_body(unix_ms() - past_ms)) {
        return Ok(None);
    }
    record.line("end of the traffic");
    std::thread::sleep(FINISH);
    let mut unanswered = 0;
    let ends_at = Instant::now() + ASKED;
    let asked = small.iter().map(String::as_str).chain([SERIES]).cycle();
    for (turn, id) in asked.enumerate().take_while(|_| Instant::now() < ends_at) {
        let is_answered = (turn..turn + ATTEMPTS).any(|attempt| {
            let answer = site.call(attempt % site.entries.len(), "GET", &ORDERS, id, "");
            answer.is_some_and(|(status, _)| status == 200)
        });
        if !is_answered {
            record.line(&format!(
                "accepted job {id}: no process has told its state, each within 3 s"
            ));
            unanswered += 1;
        }
        std::thread::sleep(Duration::from_millis(150));
    }
    record.line(&format!("jobs without an answer: {unanswered}"));
    Ok(Some(unanswered > 0))
}

fn series_body(first_run_ms: u64) -> String {
    format!(
        "{{\"spec\":\"1000/1000\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":1000}}],\"repeat_count\":{TIMES},\"first_run_ms\":{first_run_ms},\"interval_ms\":{INTERVAL_MS}}}"
    )
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |at| at.as_millis() as u64)
}
