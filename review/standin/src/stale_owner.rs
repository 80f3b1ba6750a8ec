//! One of the system's processes is partitioned from the store; a runner that it had crashes and
//! starts again under its id.

use std::thread;
use std::time::Duration;

use crate::record::record;
use crate::runs::{overlap, runs_of, tasks};
use crate::world::{configuration, CantRun, Queue, World};
use crate::Verdict;

const JOBS: usize = 40;
/// How long the process is partitioned from the store: `for_s` of the sites' `platform_down`
/// with `nodes leader busy`.
const CUT_MS: u64 = 7_000;
/// From the cut to the crash: the others have taken over by then.
const CRASH_AFTER_MS: u64 = 4_000;
/// How long the crashed runners are down.
const DOWN_MS: u64 = 400;
/// Two of 15 runners crash: `share` of the sites' `srv_crash` is 0.14.
const RUNNERS: usize = 15;
const CRASHED: usize = 2;

pub fn run(has_trouble: bool) -> Result<Verdict, CantRun> {
    let mut world = World::new()?;
    for number in 0..RUNNERS {
        let rack = format!("r1-{}", number / 8);
        world.add_runner("rounds", &["a", &rack], 16_000, 64_000)?;
    }
    world.add_daemons(3)?;
    let queue = Queue("r-rounds", "/rounds/", "rounds");
    world
        .store
        .put("op/config", &configuration(7, &[queue], &["rounds"]));
    world.start()?;
    thread::sleep(Duration::from_secs(8));

    let body = "{\"spec\":\"work=90000 cpu=4000 mem=1000\",\"steps\":[{\"count\":1,\"cpu\":4000,\"mem_mb\":1000,\"estimate_ms\":90000}]}";
    for job in 0..JOBS {
        world.submit("/rounds/", &format!("{:016x}", 0xd000 + job * 7919), body)?;
    }
    thread::sleep(Duration::from_secs(3));

    let stale = world.daemons[0].name.clone();
    let owned = |id: &str| {
        world
            .store
            .holds(&format!("turmericfold/fleet/owners/workers/{id}"), &stale)
    };
    let running = |id: &str| {
        let tasks = tasks();
        let runs = tasks.iter().flat_map(|task| runs_of(task));
        runs.filter(|run| run.runner == id && run.until.is_none())
            .count()
    };
    let mut victims: Vec<(usize, usize)> = (0..RUNNERS)
        .map(|number| (running(&world.runners[number].settings.id), number))
        .filter(|(_, number)| owned(&world.runners[*number].settings.id))
        .collect();
    victims.sort_unstable();
    let victims: Vec<usize> = victims
        .into_iter()
        .rev()
        .take(CRASHED)
        .map(|(_, number)| number)
        .collect();
    if victims.len() < CRASHED {
        return Err(CantRun(format!("{stale} owns too few runners")));
    }
    if has_trouble {
        record(&format!("script {stale} is partitioned from the store"));
        world.daemons[0].store_path.cut();
        thread::sleep(Duration::from_millis(CRASH_AFTER_MS));
        for number in &victims {
            world.runners[*number].kill();
        }
        thread::sleep(Duration::from_millis(DOWN_MS));
        for number in &victims {
            world.runners[*number].start()?;
        }
        thread::sleep(Duration::from_millis(CUT_MS - CRASH_AFTER_MS - DOWN_MS));
        world.daemons[0].store_path.heal();
        record(&format!("script {stale} reaches the store again"));
    } else {
        thread::sleep(Duration::from_millis(CUT_MS));
    }
    thread::sleep(Duration::from_secs(6));
    let doubled: Vec<String> = tasks()
        .iter()
        .filter_map(|task| Some(format!("task {task}: {}", overlap(&runs_of(task))?)))
        .collect();
    for line in &doubled {
        record(&format!("script {line}"));
    }
    Ok(match doubled.first() {
        Some(first) => Verdict::Broken(format!(
            "{} tasks ran twice at the same time; {first}",
            doubled.len()
        )),
        None => Verdict::Held,
    })
}
