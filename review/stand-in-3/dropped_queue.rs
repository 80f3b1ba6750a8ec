//! The operator drops the only queue of a service while an accepted job of it is at work.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site::{Route, Site};

const ORDERS: Route = Route { name: "r-orders", host: "orders.example", prefix: "/orders/", service: "desk" };
const REPORTS: Route = Route { name: "r-reports", host: "reports.example", prefix: "/reports/", service: "print" };
const SERVICES: [&str; 2] = ["desk", "print"];
const JOB: &str = "5c0e7a21d94b36f8";

/// Two steps of two tasks of 3 s on one core; the second follows the first.
const BODY: &str = "{\"spec\":\"3000/1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":3000},{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":3000,\"after\":[0]}]}";

/// `finish_s`, after which the jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

/// The span in which a job may have nothing running.
const STALL: Duration = Duration::from_secs(3);

/// How long the job is observed from `finish_s` on.
const OBSERVED: Duration = Duration::from_secs(10);

/// Returns whether the rule was broken.
pub fn play(record: Arc<Record>, has_trouble: bool) -> std::io::Result<Option<bool>> {
    let mut site = Site::new(Arc::clone(&record))?;
    site.add_runners("desk", 3, 16_000);
    site.add_runners("print", 3, 16_000);
    site.configure(1, &[&ORDERS, &REPORTS], &SERVICES);
    site.add_entries(3, || None)?;
    if !site.wait_until_ready(Duration::from_secs(15)) {
        record.line("the processes are not ready");
        return Ok(None);
    }
    std::thread::sleep(Duration::from_secs(2));
    if !site.submit(&REPORTS, JOB, BODY) {
        return Ok(None);
    }
    std::thread::sleep(Duration::from_millis(1_500));
    if site.running(JOB) == 0 {
        record.line("the job has not begun");
        return Ok(None);
    }
    if has_trouble {
        site.configure(4, &[&ORDERS], &SERVICES);
    }
    record.line("end of the traffic");
    std::thread::sleep(FINISH);
    let longest = longest_stall(&site, &record);
    if has_trouble {
        // The queue is back, so that clients can ask for the job.
        site.configure(9, &[&ORDERS, &REPORTS], &SERVICES);
        std::thread::sleep(Duration::from_millis(700));
    }
    let state = site.state(&REPORTS, JOB);
    record.line(&format!("state of the job: {state:?}; longest span without a run: {} ms", longest.as_millis()));
    if state.is_none() {
        return Ok(Some(true));
    }
    Ok(Some(longest >= STALL))
}

/// Returns the longest span from `finish_s` on in which the job is not done and has nothing running, though
/// there is capacity twice over and under half of the service's capacity is in use.
fn longest_stall(site: &Site, record: &Record) -> Duration {
    let began_at = Instant::now();
    let (mut longest, mut idle_since) = (Duration::ZERO, None);
    let of_service = || site.runners.iter().filter(|runner| runner.service() == "print");
    while began_at.elapsed() < OBSERVED {
        let free: u64 = of_service().map(|runner| runner.free_millicores()).sum();
        let done = of_service().map(|runner| runner.done(JOB)).sum::<usize>();
        let is_idle = done < 4 && site.running(JOB) == 0 && free > 24_000;
        match is_idle {
            true => {
                let since = *idle_since.get_or_insert_with(Instant::now);
                longest = longest.max(since.elapsed());
            }
            false => idle_since = None,
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!("tasks of the job that have ended done: {}", of_service().map(|runner| runner.done(JOB)).sum::<usize>()));
    longest
}
