//! A runner leaves while some of its holds get no answer: starts that waited for them are sent to it
//! after `drain_ms`.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use super::{BROKEN, HELD, Scene, UNFIT, sleep_ms};
use crate::record::Record;
use crate::worker::Treatment;

const WORKERS: usize = 8;
const DRAIN_MS: u64 = 2_000;
/// For how long the holds of the runner get no answer (at most `for_s` = 5.5).
const UNANSWERED_MS: u64 = 2_200;
/// When a hold that gets no answer is carried out.
const LATE_MS: u64 = 2_200;
/// The time between the first such hold and the report.
const REPORT_MS: u64 = 230;
const SHORT: &str = "{\"spec\":\"ms=300;cpu=2000\",\"steps\":[{\"count\":15,\"cpu\":2000,\"mem_mb\":64,\"estimate_ms\":300}]}";

pub fn play(record: &Record, has_trouble: bool) -> i32 {
    let Some(mut scene) = Scene::start(record, 3, WORKERS, 16_000) else {
        return UNFIT;
    };
    let ids: Vec<String> = (0..120).map(|_| scene.new_id()).collect();
    let (scene, ids) = (&scene, &ids);
    let drained_ms = thread::scope(|scope| {
        scope.spawn(move || {
            for id in ids {
                scope.spawn(move || scene.submit(id, SHORT, 3));
                sleep_ms(100);
            }
        });
        sleep_ms(3_000);
        let worker = &scene.workers[0];
        let first_ms = Arc::new(AtomicU64::new(0));
        if has_trouble {
            let (first, clock) = (Arc::clone(&first_ms), record.clone());
            worker.treat(move |path, body| {
                let now_ms = clock.now_ms();
                let has_cursor = body.u64("ack_cursor").is_some_and(|cursor| cursor > 0);
                let is_first = path == "/-/hold" && has_cursor;
                if is_first {
                    let _ = first.compare_exchange(0, now_ms, Ordering::Relaxed, Ordering::Relaxed);
                }
                let is_started = first.load(Ordering::Relaxed) > 0;
                if !is_started || !(is_first || path == "/-/run-start") {
                    return Treatment::Normal;
                }
                match now_ms < first.load(Ordering::Relaxed) + UNANSWERED_MS {
                    true => Treatment::Late(LATE_MS),
                    false => Treatment::Normal,
                }
            });
            while first_ms.load(Ordering::Relaxed) == 0 && record.now_ms() < 20_000 {
                sleep_ms(10);
            }
        }
        sleep_ms(REPORT_MS);
        worker.drain();
        record.now_ms()
    });
    sleep_ms(3_000);
    let leaving = scene.workers[0].id();
    let is_stale = |event: &&crate::record::RunEvent| {
        event.worker == leaving
            && event.end.is_none()
            && !event.is_late
            && event.at_ms > drained_ms + DRAIN_MS
    };
    let runs = record.runs();
    let stale: Vec<_> = runs.iter().filter(is_stale).collect();
    for event in &stale {
        let after_ms = event.at_ms - drained_ms;
        record.line(format!(
            "{} run {} begins on {leaving} {after_ms} ms after the store has the report",
            event.task, event.run
        ));
    }
    record.line(format!(
        "{} starts later than {DRAIN_MS} ms after the report",
        stale.len()
    ));
    if stale.is_empty() { HELD } else { BROKEN }
}
