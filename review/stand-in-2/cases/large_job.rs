//! A few jobs of many steps, each within the limits on bodies, stop the owners of jobs from accepting
//! anything.

use std::thread;

use super::{BROKEN, HELD, Scene, UNFIT, sleep_ms};
use crate::record::Record;

const STEPS: usize = 4_000;
const LARGE_JOBS: usize = 18;
const SHORT_JOBS: usize = 24;
const SHORT_TRIES: u32 = 8;

pub fn play(record: &Record, has_trouble: bool) -> i32 {
    let Some(mut scene) = Scene::start(record, 3, 6, 16_000) else {
        return UNFIT;
    };
    let short = "{\"spec\":\"ms=300;cpu=500\",\"steps\":[{\"count\":3,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":300},{\"count\":3,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":300,\"after\":[0]}]}";
    let large_ids: Vec<String> = (0..LARGE_JOBS).map(|_| scene.new_id()).collect();
    let short_ids: Vec<String> = (0..SHORT_JOBS).map(|_| scene.new_id()).collect();
    let scene = &scene;
    if has_trouble {
        let steps = vec!["{\"count\":1,\"cpu\":100,\"mem_mb\":16,\"estimate_ms\":200}"; STEPS];
        let body = format!(
            "{{\"spec\":\"ms=200;cpu=100\",\"steps\":[{}]}}",
            steps.join(",")
        );
        record.line(format!(
            "{LARGE_JOBS} jobs of {STEPS} steps, {} bytes each",
            body.len()
        ));
        let body = &body;
        thread::scope(|scope| {
            for id in &large_ids {
                scope.spawn(move || scene.submit(id, body, 1));
                sleep_ms(200);
            }
        });
    }
    let accepted: Vec<&String> = thread::scope(|scope| {
        let mut submitted = Vec::new();
        for id in &short_ids {
            submitted.push((
                id,
                scope.spawn(move || scene.submit(id, short, SHORT_TRIES)),
            ));
            sleep_ms(500);
        }
        let is_accepted = submitted
            .into_iter()
            .map(|(id, thread)| (id, thread.join().unwrap_or(false)));
        is_accepted
            .filter(|(_, is_accepted)| *is_accepted)
            .map(|(id, _)| id)
            .collect()
    });
    sleep_ms(5_000);
    let completed = accepted
        .iter()
        .filter(|id| scene.state(id).as_deref() == Some("completed"))
        .count();
    record.line(format!(
        "the store refused {} values for their size",
        scene.store.refused()
    ));
    record.line(format!(
        "{} of {SHORT_JOBS} short jobs were accepted, {completed} are completed",
        accepted.len()
    ));
    if !has_trouble && completed < SHORT_JOBS {
        return UNFIT;
    }
    match accepted.is_empty() {
        true => BROKEN,
        false => HELD,
    }
}
