//! The jobs that are submitted to a fleet.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::callers::{Callers, JobKind};

/// The number of tasks of each of the first jobs.
const FIRST_JOB_TASKS: u32 = 3;

/// How long the tasks of the first jobs work, in milliseconds.
const LONG_WORK_MS: u64 = 20_000;

/// How long the tasks of the first jobs work where a third of the jobs work long, in
/// milliseconds.
const MEDIUM_WORK_MS: u64 = 12_000;

/// The jobs that are submitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// Jobs that take about half of the workers, with faults after the first of them.
    Partial,
    /// Jobs that take all workers, and fillers, with faults from the start.
    Full,
    /// Jobs of which a third work long, and some last, with faults from the start.
    Long,
}

impl Load {
    /// Returns the number of jobs that are submitted first.
    fn first_jobs(self) -> usize {
        match self {
            Self::Partial => 30,
            Self::Full => 50,
            Self::Long => 30,
        }
    }

    /// Returns the time between two later submissions, in milliseconds.
    fn interval_ms(self) -> u64 {
        match self {
            Self::Partial => 250,
            Self::Full | Self::Long => 200,
        }
    }

    /// Returns what the tasks of one of the first jobs do.
    fn first_kind(self, number: usize) -> JobKind {
        match (self, number % 5) {
            (_, 0) => JobKind::Lasting,
            (Self::Full, 4) => JobKind::Filler {
                work_ms: LONG_WORK_MS,
            },
            (Self::Long, _) => JobKind::Work {
                work_ms: MEDIUM_WORK_MS,
            },
            _ => JobKind::Work {
                work_ms: LONG_WORK_MS,
            },
        }
    }

    /// Draws what the tasks of a later job do.
    fn later_kind(self, rng: &mut StdRng) -> JobKind {
        match (self, rng.random_range(0..10)) {
            (Self::Long, 0..=3) => JobKind::Work {
                work_ms: MEDIUM_WORK_MS,
            },
            (Self::Long, 4..=8) => JobKind::Work {
                work_ms: rng.random_range(500..4_000),
            },
            (_, 0..=3) => JobKind::Work { work_ms: 800 },
            (_, 4..=5) | (Self::Partial, 6) => JobKind::Work { work_ms: 2_000 },
            (Self::Full, 6) => JobKind::Filler {
                work_ms: rng.random_range(1_000..10_000),
            },
            (_, 7..=8) => JobKind::Work {
                work_ms: rng.random_range(8_000..20_000),
            },
            _ => JobKind::Lasting,
        }
    }
}

/// Submits the first jobs. Returns the number of accepted ones.
pub(super) async fn submit_first(load: Load, callers: Callers, rng: &mut StdRng) -> usize {
    let mut accepted = 0;
    for number in 0..load.first_jobs() {
        let kind = load.first_kind(number);
        let id = callers.submit(rng, kind, FIRST_JOB_TASKS).await;
        accepted += usize::from(id.is_some());
    }
    accepted
}

/// Submits jobs at an even pace, and cancels some of those that last. Returns the number of
/// accepted jobs.
pub(super) async fn submit_later(
    load: Load,
    callers: Callers,
    mut rng: StdRng,
    for_ms: u64,
) -> usize {
    let until = Instant::now() + Duration::from_millis(for_ms);
    let mut paces = tokio::time::interval(Duration::from_millis(load.interval_ms()));
    let mut submissions = JoinSet::new();
    while Instant::now() < until {
        paces.tick().await;
        let job_rng = StdRng::from_rng(&mut rng);
        submissions.spawn(submit_job(load, callers.clone(), job_rng));
    }
    let accepted = submissions.join_all().await;
    accepted.into_iter().filter(|accepted| *accepted).count()
}

async fn submit_job(load: Load, callers: Callers, mut rng: StdRng) -> bool {
    let kind = load.later_kind(&mut rng);
    let tasks = rng.random_range(1..4);
    let Some(id) = callers.submit(&mut rng, kind, tasks).await else {
        return false;
    };
    if kind == JobKind::Lasting {
        let lasts_ms = rng.random_range(2_000..12_000);
        tokio::time::sleep(Duration::from_millis(lasts_ms)).await;
        // Whether it is acknowledged is not checked here.
        callers.cancel(&mut rng, &id).await;
    }
    true
}
