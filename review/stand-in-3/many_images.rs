//! Jobs whose steps each name an image of their own run beside tasks that serve.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fleet::Entry;
use crate::record::Record;
use crate::site::{Route, Site};

const ORDERS: Route = Route {
    name: "r-orders",
    host: "orders.example",
    prefix: "/orders/",
    service: "desk",
};

/// `limits.memory_mb` of the processes.
const MEMORY_MB: u64 = 260;

/// The delay after which the platform restarts a process that it has killed.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// The ends by itself of a process that the rule allows no more of.
const ENDS: usize = 3;

/// The machines on which that must happen: a tenth, two at least.
const MACHINES: usize = 2;

const RUNNERS: usize = 8;

/// The number of tasks that serve, three on each runner, each of an image of its own.
const SERVING: u64 = 24;

/// The steps of a job, each of one task that fills.
const STEPS: u64 = 5;

/// The images without the trouble.
const USUAL_IMAGES: u64 = 9;

/// The time between two jobs: the site has 9.8 a second.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(102);

const TRAFFIC: Duration = Duration::from_secs(92);

/// Returns whether the rule was broken.
pub fn play(record: Arc<Record>, has_trouble: bool) -> std::io::Result<Option<bool>> {
    let mut site = Site::new(Arc::clone(&record))?;
    site.add_runners("desk", RUNNERS, 16_000);
    site.configure(1, &[&ORDERS], &["desk"]);
    site.add_entries(3, || None)?;
    if !site.wait_until_ready(Duration::from_secs(15)) {
        record.line("the processes are not ready");
        return Ok(None);
    }
    std::thread::sleep(Duration::from_secs(2));
    for number in 0..SERVING {
        let id = format!("{:016x}", 0xabcd_0000_0000 + number);
        if !site.submit(&ORDERS, &id, &serving_body(number)) {
            return Ok(None);
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    let mut platform = Platform::new(site.entries.len());
    let ends_at = Instant::now() + TRAFFIC;
    let mut job = 0;
    while Instant::now() < ends_at && !platform.has_seen_fault() {
        let id = format!("{:016x}", (job + 1) * 0x0000_0123_4567_89ab);
        let body = filling_body(job, has_trouble);
        let entry = job as usize % site.entries.len();
        let answer = site.call(entry, "POST", &ORDERS, &id, &body);
        job += 1;
        if answer.is_none() {
            std::thread::sleep(SUBMISSION_INTERVAL);
        }
        std::thread::sleep(SUBMISSION_INTERVAL);
        platform.review(&record, &mut site.entries, job * STEPS)?;
    }
    record.line(&format!(
        "processes killed for their memory, by machine: {:?}; jobs: {job}",
        platform.kills
    ));
    Ok(Some(platform.has_seen_fault()))
}

/// What the platform does with the processes: kills one that exceeds its memory, and restarts it.
struct Platform {
    kills: Vec<usize>,
    restart_at: Vec<Option<Instant>>,
    next_review_at: Instant,
    reviews: u64,
}

impl Platform {
    fn new(machines: usize) -> Self {
        Self {
            kills: vec![0; machines],
            restart_at: vec![None; machines],
            next_review_at: Instant::now(),
            reviews: 0,
        }
    }

    fn has_seen_fault(&self) -> bool {
        self.kills.iter().filter(|kills| **kills >= ENDS).count() >= MACHINES
    }

    fn review(
        &mut self,
        record: &Record,
        entries: &mut [Entry],
        steps: u64,
    ) -> std::io::Result<()> {
        if Instant::now() < self.next_review_at {
            return Ok(());
        }
        self.next_review_at = Instant::now() + Duration::from_millis(100);
        self.reviews += 1;
        let mut used = Vec::new();
        for (machine, entry) in entries.iter_mut().enumerate() {
            let Some(restart_at) = self.restart_at[machine] else {
                let memory_mb = entry.memory_mb();
                used.push(memory_mb);
                if memory_mb > MEMORY_MB {
                    record.line(&format!(
                        "platform: {} uses {memory_mb} MB of {MEMORY_MB} MB and is killed",
                        entry.name
                    ));
                    entry.kill();
                    self.kills[machine] += 1;
                    self.restart_at[machine] = Some(Instant::now() + RESTART_DELAY);
                }
                continue;
            };
            if Instant::now() >= restart_at {
                entry.restart()?;
                record.line(&format!("platform: {} is started again", entry.name));
                self.restart_at[machine] = None;
            }
        }
        if self.reviews.is_multiple_of(20) {
            record.line(&format!("memory after {steps} steps: {used:?} MB"));
        }
        Ok(())
    }
}

/// A task that lasts and has a target of 100 ms, which it meets by far.
fn serving_body(number: u64) -> String {
    format!(
        "{{\"spec\":\"600000/5000/serves\",\"steps\":[{{\"count\":1,\"cpu\":5000,\"mem_mb\":64,\"estimate_ms\":1000,\"long_running\":true,\"image\":\"desk-{number}\",\"target_ms\":100}}]}}"
    )
}

/// Steps of one task of 0.9 s on half a core that fills.
fn filling_body(job: u64, has_own_images: bool) -> String {
    let image = |step: u64| match has_own_images {
        true => job * STEPS + step,
        false => (job * STEPS + step) % USUAL_IMAGES,
    };
    let steps: Vec<String> = (0..STEPS)
        .map(|step| {
            let image = image(step);
            format!("{{\"count\":1,\"cpu\":500,\"mem_mb\":16,\"estimate_ms\":900,\"image\":\"report-{image}\",\"fill_count\":1}}")
        })
        .collect();
    format!(
        "{{\"spec\":\"900/500/fills\",\"steps\":[{}]}}",
        steps.join(",")
    )
}
