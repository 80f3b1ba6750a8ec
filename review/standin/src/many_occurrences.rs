//! A job with many occurrences is accepted; other jobs are asked for afterwards.

use std::thread;
use std::time::Duration;

use crate::record::record;
use crate::world::{configuration, CantRun, Queue, World};
use crate::Verdict;

const JOB: &str = "0000000000000e05";
/// As many as the system accepts, all of them due.
const OCCURRENCES: usize = 100_000;
const OTHER_JOBS: usize = 12;
const FINISH_MS: u64 = 14_000;
/// How often each job is asked for.
const ROUNDS: usize = 4;

pub fn run(has_trouble: bool) -> Result<Verdict, CantRun> {
    let mut world = World::new()?;
    for number in 0..8 {
        let rack = format!("r1-{}", number / 8);
        world.add_runner("rounds", &["a", &rack], 16_000, 64_000)?;
    }
    world.add_daemons(3)?;
    let queue = Queue("r-rounds", "/rounds/", "rounds");
    world.store.put("op/config", &configuration(7, &[queue], &["rounds"]));
    world.start()?;
    thread::sleep(Duration::from_secs(3));

    let body = "{\"spec\":\"work=500 cpu=1000 mem=100\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":500}]}";
    let others: Vec<String> = (0..OTHER_JOBS).map(|number| format!("{:016x}", 0xf000 + number * 7919)).collect();
    for job in &others {
        world.submit("/rounds/", job, body)?;
    }
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        let body = format!(
            "{{\"spec\":\"work=1000 cpu=1000 mem=100\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":1000}}],\"repeat_count\":{OCCURRENCES},\"first_run_ms\":1000,\"interval_ms\":1000}}"
        );
        world.submit("/rounds/", JOB, &body)?;
    }
    thread::sleep(Duration::from_millis(FINISH_MS + 12_000));

    // All jobs are asked for at once, as their clients would, each at the processes in turn.
    let world = &world;
    let ask = |number: usize, job: &str| {
        let mut daemons = (0..ROUNDS).map(|round| (number + round) % world.daemons.len());
        daemons.any(|daemon| matches!(world.ask(daemon, "GET", &format!("/rounds/{job}"), ""), Some((200, _))))
    };
    let unanswered: Vec<&String> = thread::scope(|scope| {
        let asked: Vec<_> = others.iter().enumerate().map(|(number, job)| (job, scope.spawn(move || ask(number, job)))).collect();
        let answered = asked.into_iter().map(|(job, asked)| (job, asked.join().unwrap_or(false)));
        answered.filter(|(_, is_answered)| !is_answered).map(|(job, _)| job).collect()
    });
    record(&format!("script no answer for {unanswered:?}"));
    Ok(match unanswered.len() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} of {OTHER_JOBS} accepted and completed jobs got no state: each was asked for {ROUNDS} times, at each process at least once, with 3 s to answer")),
    })
}
