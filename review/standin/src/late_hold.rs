//! A runner crashes and starts again under its id while it is busy; the first holds of its new life
//! get no answer and are carried out late.

use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::call;
use crate::record::record;
use crate::world::{configuration, CantRun, Queue, World};
use crate::Verdict;

/// For how long holds get no answer; they are carried out 2 s later.
const LATE_MS: u64 = 2_300;
const JOB_INTERVAL_MS: u64 = 60;
const BODY: &str = "{\"spec\":\"work=150 cpu=500 mem=10\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":10,\"estimate_ms\":150,\"requirements\":\"b\"}]}";

/// Returns the tasks that were started again after an end `done` that an `ack_cursor` has reached.
fn again_after_done(runner: &str) -> Vec<String> {
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
    let text = fs::read_to_string(path).unwrap_or_default();
    let value = |words: &[&str], name: &str| {
        words
            .iter()
            .find_map(|word| Some(word.strip_prefix(name)?.to_owned()))
    };
    // The ends `done` of this life that were not acknowledged yet, and the tasks of those that were.
    let mut open: Vec<(u64, String)> = Vec::new();
    let mut noted: Vec<String> = Vec::new();
    let mut again = Vec::new();
    for line in text.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        if words.get(1) != Some(&"runner") || words.get(2) != Some(&runner) {
            continue;
        }
        match words[3] {
            "UP" => open.clear(),
            "END" if words.contains(&"how=done") => {
                let end = value(&words, "end=")
                    .and_then(|end| end.parse().ok())
                    .unwrap_or(0);
                open.push((end, value(&words, "task=").unwrap_or_default()));
            }
            "ACK" => {
                let up_to: u64 = value(&words, "up_to=")
                    .and_then(|up_to| up_to.parse().ok())
                    .unwrap_or(0);
                noted.extend(
                    open.iter()
                        .filter(|(end, _)| *end <= up_to)
                        .map(|(_, task)| task.clone()),
                );
                open.retain(|(end, _)| *end > up_to);
            }
            "START" => {
                let task = value(&words, "task=").unwrap_or_default();
                if noted.contains(&task) {
                    again.push(task);
                }
            }
            _ => {}
        }
    }
    again
}

pub fn run(has_trouble: bool) -> Result<Verdict, CantRun> {
    let mut world = World::new()?;
    // The jobs require kind b, which one runner of eight has.
    world.add_runner("rounds", &["b", "r1-1"], 16_000, 64_000)?;
    for _ in 0..7 {
        world.add_runner("rounds", &["a", "r1-1"], 16_000, 64_000)?;
    }
    world.add_daemons(3)?;
    let queue = Queue("r-rounds", "/rounds/", "rounds");
    world
        .store
        .put("op/config", &configuration(7, &[queue], &["rounds"]));
    world.start()?;
    thread::sleep(Duration::from_secs(3));

    let fronts: Vec<String> = world
        .daemons
        .iter()
        .map(|daemon| daemon.front.clone())
        .collect();
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let (path, front) = (
                    format!("/rounds/{:016x}", 0xabc000 + number * 7919),
                    fronts[number % fronts.len()].clone(),
                );
                let headers = [("Host", "case.example"), ("Deadline-Ms", "3000")];
                let answer = call(&front, "POST", &path, &headers, BODY, 3_000);
                record(&format!("client POST {path} <- {answer:?}"));
                thread::sleep(Duration::from_millis(JOB_INTERVAL_MS));
            }
        });
        thread::sleep(Duration::from_secs(8));
        let mut result = Ok(());
        if has_trouble {
            world.runners[0].kill();
            world.runners[0].settings.late_holds_ms = LATE_MS;
            result = world.runners[0].start();
        }
        thread::sleep(Duration::from_secs(8));
        is_over.store(true, Ordering::SeqCst);
        result
    })?;
    thread::sleep(Duration::from_secs(6));
    let again = again_after_done(&world.runners[0].settings.id);
    Ok(match again.first() {
        None => Verdict::Held,
        Some(first) => Verdict::Broken(format!(
            "{} tasks were started again after an end done that was taken note of, first {first}",
            again.len()
        )),
    })
}
