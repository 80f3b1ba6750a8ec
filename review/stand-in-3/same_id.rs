//! Clients of two queues choose the same identifier for their jobs.

use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;
use crate::site::{Route, Site};

const ORDERS: Route = Route {
    name: "r-orders",
    host: "orders.example",
    prefix: "/orders/",
    service: "desk",
};
const REPORTS: Route = Route {
    name: "r-reports",
    host: "reports.example",
    prefix: "/reports/",
    service: "print",
};
const JOB: &str = "0000000000000042";

/// Returns whether the rule was broken.
pub fn play(record: Arc<Record>, has_trouble: bool) -> std::io::Result<Option<bool>> {
    let mut site = Site::new(Arc::clone(&record))?;
    site.add_runners("desk", 3, 16_000);
    site.add_runners("print", 3, 16_000);
    site.configure(1, &[&ORDERS, &REPORTS], &["desk", "print"]);
    site.add_entries(3, || None)?;
    if !site.wait_until_ready(Duration::from_secs(15)) {
        return Ok(None);
    }
    std::thread::sleep(Duration::from_secs(2));
    let body = |work: u64| {
        format!(
            "{{\"spec\":\"{work}/1000\",\"steps\":[{{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":900}}]}}"
        )
    };
    let other = if has_trouble { JOB } else { "0000000000000043" };
    if !site.submit(&ORDERS, JOB, &body(900)) || !site.submit(&REPORTS, other, &body(800)) {
        return Ok(None);
    }
    std::thread::sleep(Duration::from_secs(14));
    let states = (site.state(&ORDERS, JOB), site.state(&REPORTS, other));
    let printed: usize = site
        .runners
        .iter()
        .filter(|it| it.service() == "print")
        .map(|it| it.done(other))
        .sum();
    record.line(&format!(
        "states {states:?}; tasks done on the runners of print: {printed}"
    ));
    Ok(Some(printed == 0))
}
