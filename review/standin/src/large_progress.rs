//! Tasks with checkpoints lapse while their runners are cut off; then their job is cancelled, and
//! the system's processes are restarted in turn.

use std::thread;
use std::time::Duration;

use crate::record::{record, unix_ms};
use crate::runs::{runs_of, tasks};
use crate::world::{configuration, CantRun, Queue, World};
use crate::Verdict;

const JOB: &str = "fffffffffffffff7";
const TASKS: usize = 1_800;
/// A little shorter than a `spec` may be.
const CHECKPOINT_BYTES: usize = 3_600;
const RUNNERS: usize = 12;
/// Two of 12 runners: `share` of the sites' `node_cut` with `servers` is 0.17, `for_s` 5.5.
const CUT: usize = 2;
const CUT_MS: u64 = 5_500;
const ACK_MS: u64 = 4_000;
const CANCEL_MS: u64 = 3_000;
/// `gap_s` of the sites' `roll_term`.
const GAP_MS: u64 = 2_000;

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
    thread::sleep(Duration::from_secs(3));

    let body = format!(
        "{{\"spec\":\"work=300000 save={CHECKPOINT_BYTES} cpu=100 mem=10\",\"steps\":[{{\"count\":{TASKS},\"cpu\":100,\"mem_mb\":10,\"estimate_ms\":300000,\"checkpointing\":true}}]}}"
    );
    world.submit("/rounds/", JOB, &body)?;
    thread::sleep(Duration::from_secs(10));
    let started = tasks().len();
    record(&format!("script {started} of {TASKS} tasks have started"));
    if started < TASKS {
        return Err(CantRun(format!(
            "only {started} of {TASKS} tasks have started"
        )));
    }
    if has_trouble {
        for runner in &mut world.runners[..CUT] {
            runner.tell("cut");
        }
    }
    thread::sleep(Duration::from_millis(CUT_MS));
    if has_trouble {
        for runner in &mut world.runners[..CUT] {
            runner.tell("heal");
        }
    }
    thread::sleep(Duration::from_secs(10));

    // The client asks for the cancelling until it is acknowledged, or has waited `ack_ms`.
    let asked_at = unix_ms();
    let mut acknowledged_at = None;
    while acknowledged_at.is_none() && unix_ms() < asked_at + ACK_MS {
        for daemon in 0..world.daemons.len() {
            let answer = world.ask(daemon, "DELETE", &format!("/rounds/{JOB}"), "");
            if matches!(answer, Some((200..=299 | 410, _))) {
                acknowledged_at = Some(unix_ms());
                break;
            }
        }
    }
    record(&format!(
        "script the cancelling was asked for at {asked_at} and acknowledged at {acknowledged_at:?}"
    ));
    let cancelled_at = acknowledged_at.unwrap_or(unix_ms().max(asked_at + ACK_MS));
    thread::sleep(Duration::from_millis(CANCEL_MS + 1_000));
    if has_trouble {
        for number in 0..world.daemons.len() {
            world.restart_daemon(number)?;
            thread::sleep(Duration::from_millis(GAP_MS));
        }
        world.wait_until_ready()?;
    }
    thread::sleep(Duration::from_secs(10));
    let is_late = |task: &String| {
        runs_of(task)
            .iter()
            .any(|run| run.from > cancelled_at + CANCEL_MS)
    };
    let late = tasks().iter().filter(|task| is_late(task)).count();
    let ack = match acknowledged_at {
        Some(at) => format!("was acknowledged after {} ms", at - asked_at),
        None => format!("was not acknowledged within {ACK_MS} ms of quiet"),
    };
    Ok(match late {
        0 => Verdict::Held,
        late => Verdict::Broken(format!("the cancelling {ack}, and {late} tasks of the job were started later than {CANCEL_MS} ms after that")),
    })
}
