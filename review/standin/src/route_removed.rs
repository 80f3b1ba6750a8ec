//! The operator removes the route of a queue while an accepted job of it has steps left.

use std::thread;
use std::time::Duration;

use crate::record::record;
use crate::runs::runs_of;
use crate::world::{configuration, CantRun, Queue, World};
use crate::Verdict;

const JOB: &str = "5c0e7a21d94b36f8";
/// Four steps of one task, one after the other.
const STEPS: usize = 4;
const WORK_MS: u64 = 1_500;
/// `finish_s`, and the 3 s for which nothing of the job may be missing with room at hand.
const WAIT_MS: u64 = 14_000 + 3_000;

pub fn run(has_trouble: bool) -> Result<Verdict, CantRun> {
    let mut world = World::new()?;
    for _ in 0..6 {
        world.add_runner("quotes", &["a", "r1-1"], 16_000, 64_000)?;
        world.add_runner("orders", &["a", "r1-2"], 16_000, 64_000)?;
    }
    world.add_daemons(3)?;
    let quotes = || Queue("r-quotes", "/quotes/", "quotes");
    let orders = || Queue("r-orders", "/orders/", "orders");
    let services = ["quotes", "orders"];
    world.store.put(
        "op/config",
        &configuration(7, &[quotes(), orders()], &services),
    );
    world.start()?;
    thread::sleep(Duration::from_secs(5));

    let step = |number: usize| {
        let after = if number == 0 {
            String::new()
        } else {
            format!(",\"after\":[{}]", number - 1)
        };
        format!("{{\"count\":1,\"cpu\":1000,\"mem_mb\":1000,\"estimate_ms\":{WORK_MS}{after}}}")
    };
    let steps: Vec<String> = (0..STEPS).map(step).collect();
    let body = format!(
        "{{\"spec\":\"work={WORK_MS} cpu=1000 mem=1000\",\"steps\":[{}]}}",
        steps.join(",")
    );
    world.submit("/orders/", JOB, &body)?;
    thread::sleep(Duration::from_millis(2_000));
    if has_trouble {
        record("operator op/config version 9: the route r-orders is removed, its service stays");
        world
            .store
            .put("op/config", &configuration(9, &[quotes()], &services));
    }
    // Long enough for all steps, and then for what the rule allows.
    let steps_ms = STEPS as u64 * (WORK_MS + 500);
    thread::sleep(Duration::from_millis(steps_ms + WAIT_MS));
    // For the record: the queue's own route, which may be gone, and the other one.
    let states = [
        world.ask(0, "GET", &format!("/orders/{JOB}"), ""),
        world.ask(0, "GET", &format!("/quotes/{JOB}"), ""),
    ];
    record(&format!("script the job is shown as {states:?}"));
    let is_done = |step: &usize| {
        runs_of(&format!("{JOB}.0.{step}.0"))
            .iter()
            .any(|run| run.until.is_some())
    };
    let done = (0..STEPS).filter(is_done).count();
    Ok(match done {
        STEPS => Verdict::Held,
        _ => Verdict::Broken(format!(
            "{WAIT_MS} ms after the accepted job was due to end, {done} of its {STEPS} tasks have run, with six idle runners"
        )),
    })
}
