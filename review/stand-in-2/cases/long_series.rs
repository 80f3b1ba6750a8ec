//! A job of many occurrences grows until its owner can't record anything about it, nor about the
//! other jobs whose changes it writes together with it.

use std::collections::BTreeSet;
use std::thread;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use super::{BROKEN, HELD, Scene, UNFIT, sleep_ms};
use crate::record::{Record, RunEvent};

const ACK_MS: u128 = 4_000;
const FINISH_MS: u64 = 14_000;
const IDLE_MS: u64 = 3_000;
const LASTING_JOBS: usize = 24;
const SHORT_JOBS: usize = 18;
const OCCURRENCES: usize = 45_000;
const INTERVAL_MS: usize = 2;
/// Without trouble the series is shorter.
const CALM_OCCURRENCES: usize = 3_000;
const LIMIT_MS: u64 = 70_000;

const SHORT: &str = "{\"spec\":\"ms=300;cpu=500\",\"steps\":[{\"count\":3,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":300},{\"count\":3,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":300,\"after\":[0]}]}";

/// The capacity in use, in thousandths of a core, if all runs were the largest.
fn in_use(runs: &[RunEvent]) -> usize {
    let begun = runs.iter().filter(|event| event.end.is_none()).count();
    (2 * begun - runs.len()) * 500
}

/// Whether the first step of a job has ended `done`, its second one has not, and nothing of the job
/// has run for the last 3 s.
fn is_idle(runs: &[RunEvent], id: &str, now_ms: u64) -> bool {
    let of_job = || runs.iter().filter(|event| event.task.starts_with(id));
    let done = |step: &str| {
        let prefix = format!("{id}.0.{step}.");
        let is_done = |event: &&RunEvent| {
            event.task.starts_with(&prefix) && event.end.as_deref() == Some("done")
        };
        let tasks: BTreeSet<&str> = of_job()
            .filter(is_done)
            .map(|event| event.task.as_str())
            .collect();
        tasks.len()
    };
    let begun = of_job().filter(|event| event.end.is_none()).count();
    let ended = of_job().filter(|event| event.end.is_some()).count();
    let last_ms = of_job().map(|event| event.at_ms).max().unwrap_or(0);
    done("0") == 3 && done("1") < 3 && begun == ended && last_ms + IDLE_MS < now_ms
}

pub fn play(record: &Record, has_trouble: bool) -> i32 {
    let Some(mut scene) = Scene::start(record, 3, 6, 16_000) else {
        return UNFIT;
    };
    let lasting = "{\"spec\":\"ms=0;cpu=100\",\"steps\":[{\"count\":2,\"cpu\":100,\"mem_mb\":64,\"estimate_ms\":500,\"long_running\":true}]}";
    let mut lasting_jobs = Vec::new();
    for _ in 0..LASTING_JOBS {
        let id = scene.new_id();
        if !scene.submit(&id, lasting, 4) {
            return UNFIT;
        }
        lasting_jobs.push(id);
    }
    let occurrences = if has_trouble {
        OCCURRENCES
    } else {
        CALM_OCCURRENCES
    };
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let first = unix.as_millis();
    let series = format!(
        "{{\"spec\":\"ms=20;cpu=10\",\"steps\":[{{\"count\":1,\"cpu\":10,\"mem_mb\":1,\"estimate_ms\":20}}],\"repeat_count\":{occurrences},\"first_run_ms\":{first},\"interval_ms\":{INTERVAL_MS}}}"
    );
    let series_id = format!("fd{}", &scene.new_id()[2..]);
    if !scene.submit(&series_id, &series, 4) {
        return UNFIT;
    }
    loop {
        let now_ms = record.now_ms();
        let has_grown = has_trouble && scene.store.refused() >= 20;
        let has_run = scene.state(&series_id).as_deref() == Some("completed");
        if has_grown || has_run || now_ms > LIMIT_MS {
            break;
        }
        sleep_ms(500);
        let values = scene.store.values("turmericfold/jobs/");
        let size = values
            .iter()
            .map(|(_, value)| value.len())
            .max()
            .unwrap_or(0);
        record.line(format!(
            "largest value {size} bytes, {} refused",
            scene.store.refused()
        ));
    }
    // The stretch without any disruption, in which the cancels are sent.
    let late: usize = thread::scope(|scope| {
        let scene = &scene;
        let mut cancels = Vec::new();
        for id in &lasting_jobs {
            cancels.push(scope.spawn(move || {
                let began = Instant::now();
                while began.elapsed().as_millis() < ACK_MS {
                    if let Some((200 | 410, _)) = scene.ask("DELETE", id, "") {
                        return 0;
                    }
                    sleep_ms(300);
                }
                record.line(format!(
                    "the cancel of {id} has no 2xx or 410 after {ACK_MS} ms"
                ));
                1
            }));
            sleep_ms(100);
        }
        cancels
            .into_iter()
            .map(|cancel| cancel.join().unwrap_or(0))
            .sum()
    });
    record.line(format!(
        "{late} of {LASTING_JOBS} cancels were not acknowledged"
    ));
    sleep_ms(2_000);
    let short_ids: Vec<String> = (0..SHORT_JOBS).map(|_| scene.new_id()).collect();
    let accepted: Vec<&String> = thread::scope(|scope| {
        let scene = &scene;
        let mut submits = Vec::new();
        for id in &short_ids {
            submits.push((id, scope.spawn(move || scene.submit(id, SHORT, 2))));
            sleep_ms(100);
        }
        let accepted = submits
            .into_iter()
            .filter_map(|(id, submit)| submit.join().ok()?.then_some(id));
        accepted.collect()
    });
    // The end of the traffic.
    sleep_ms(FINISH_MS + IDLE_MS);
    let now_ms = record.now_ms();
    let runs = record.runs();
    let ask = |id: &&String| scene.state(id);
    let states: Vec<Option<String>> = thread::scope(|scope| {
        let asked: Vec<_> = accepted
            .iter()
            .map(|id| scope.spawn(move || ask(id)))
            .collect();
        asked
            .into_iter()
            .map(|asked| asked.join().ok().flatten())
            .collect()
    });
    let mut lost = 0;
    for (id, state) in accepted.iter().zip(&states) {
        // Under half of the service's capacity is in use.
        let has_room = in_use(&runs) * 2 < 96_000;
        let is_idle =
            has_room && state.as_deref() != Some("completed") && is_idle(&runs, id, now_ms);
        if is_idle {
            lost += 1;
        }
        record.line(format!(
            "{id} is {state:?}, its next step is due and has not begun for {IDLE_MS} ms: {is_idle}"
        ));
    }
    let state = scene.state(&series_id);
    let begun = runs.iter().filter(|event| event.end.is_none()).count();
    record.line(format!("the series is {state:?}; {begun} runs have begun and {} ended, {} of 96,000 thousandths of a core are in use", runs.len() - begun, in_use(&runs)));
    record.line(format!(
        "{lost} of {} short jobs have nothing running though their second step is due",
        accepted.len()
    ));
    if !has_trouble && state.as_deref() != Some("completed") {
        return UNFIT;
    }
    match (late >= 3 && late * 10 > LASTING_JOBS) || lost > 0 {
        true => BROKEN,
        false => HELD,
    }
}
