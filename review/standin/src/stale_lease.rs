//! A runner crashes and starts again under its id, gets a lasting task, and is cut off.

use std::thread;
use std::time::{Duration, Instant};

use crate::record::record;
use crate::runs::{overlap, runs_of, Interval};
use crate::world::{configuration, CantRun, Queue, World};
use crate::Verdict;

const OCCUPIER: &str = "0000000000000a01";
const JOB: &str = "0000000000000b02";
/// How long the runner is down.
const DOWN_MS: u64 = 400;
/// How long the runner is cut off: `for_s` of the sites' `node_cut` with `servers`.
const CUT_MS: u64 = 5_500;

fn wait_for_start(task: &str, timeout_ms: u64) -> Option<Interval> {
    let until = Instant::now() + Duration::from_millis(timeout_ms);
    while Instant::now() < until {
        if let Some(run) = runs_of(task).into_iter().last() {
            return Some(run);
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

pub fn run(has_trouble: bool) -> Result<Verdict, CantRun> {
    let mut world = World::new()?;
    // Two runners of kind b, which the jobs below require, and six others.
    for _ in 0..2 {
        world.add_runner("rounds", &["b", "r1-1"], 16_000, 64_000)?;
    }
    for _ in 0..6 {
        world.add_runner("rounds", &["a", "r1-2"], 16_000, 64_000)?;
    }
    world.add_daemons(3)?;
    let queue = Queue("r-rounds", "/rounds/", "rounds");
    world
        .store
        .put("op/config", &configuration(7, &[queue], &["rounds"]));
    world.start()?;
    // The runners' clocks run since their start.
    thread::sleep(Duration::from_secs(12));

    // A job fills one of the two runners for a while, so that the next job goes to the other.
    let body = "{\"spec\":\"work=5000 cpu=16000 mem=1000\",\"steps\":[{\"count\":1,\"cpu\":16000,\"mem_mb\":1000,\"estimate_ms\":5000,\"requirements\":\"b\"}]}";
    world.submit("/rounds/", OCCUPIER, body)?;
    let occupier = wait_for_start(&format!("{OCCUPIER}.0.0.0"), 5_000)
        .ok_or_else(|| CantRun("the first job did not start".into()))?;
    let victim = world.runners[..2]
        .iter()
        .position(|runner| runner.settings.id != occupier.runner);
    let victim = victim.ok_or_else(|| CantRun("no free runner".into()))?;
    thread::sleep(Duration::from_millis(1_200));

    if has_trouble {
        world.runners[victim].kill();
        thread::sleep(Duration::from_millis(DOWN_MS));
        world.runners[victim].start()?;
        thread::sleep(Duration::from_millis(20));
    }
    let body = "{\"spec\":\"lasting cpu=4000 mem=1000\",\"steps\":[{\"count\":1,\"cpu\":4000,\"mem_mb\":1000,\"requirements\":\"b\",\"long_running\":true}]}";
    world.submit("/rounds/", JOB, body)?;
    let task = format!("{JOB}.0.0.0");
    let first = wait_for_start(&task, 5_000)
        .ok_or_else(|| CantRun("the lasting job did not start".into()))?;
    record(&format!("script the lasting task runs on {}", first.runner));
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        world.runners[victim].tell("cut");
        thread::sleep(Duration::from_millis(CUT_MS));
        world.runners[victim].tell("heal");
    } else {
        thread::sleep(Duration::from_millis(CUT_MS));
    }
    thread::sleep(Duration::from_secs(6));
    let runs = runs_of(&task);
    record(&format!("script runs of the lasting task: {runs:?}"));
    Ok(match overlap(&runs) {
        Some(how) => Verdict::Broken(how),
        None => Verdict::Held,
    })
}
