//! Silent workers whose registration is lost and comes back.

use std::time::Duration;

use rstest::rstest;
use tokio::sync::mpsc;
use turmericfold::fleet::{PlatformDecoder, Watches};
use turmericfold_fleet::{Configuration, Event};
use turmericfold_platform::{
    PlatformError, Store, StoreCall, StoreReply, StoreVersion, WorkerEntry,
};
use turmericfold_tests::cut_fleet::{
    CUT_AT_MS, LEASE_MS, NODES, assert_all_completed, cut_fleet, finite_job, silence,
};
use turmericfold_tests::fleet_world::FaultKind;
use turmericfold_types::InstanceName;

/// The prefix of the registrations of workers.
const WORKER_PREFIX: &str = "servers/";

/// How long the runs work, in milliseconds: they end while the worker is silent.
const WORK_MS: u64 = 2_500;

/// How long the worker is silent, in milliseconds.
const SILENT_MS: u64 = LEASE_MS + 2_000;

/// The time of the world at which the registration is lost, in milliseconds.
const LOST_AT_MS: u64 = CUT_AT_MS + 2_600;

/// The time that the watch of a process waits for an answer that is lost, in milliseconds.
const LOST_ANSWER_MS: u64 = 3_700;

/// How long a worker is silent and the watches are late, in milliseconds: longer than a new
/// owner waits for a worker that it never heard.
const LATE_MS: u64 = 12_000;

/// The time in which the watches report a change, in milliseconds.
const REPORT_MS: u64 = 50;

/// A store without workers, whose watches end without a change.
#[derive(Debug, Clone)]
struct QuietStore;

impl Store for QuietStore {
    async fn call(&self, call: StoreCall) -> Result<StoreReply, PlatformError> {
        let version = StoreVersion(1);
        match call {
            StoreCall::Range { prefix, .. } if prefix == WORKER_PREFIX => Ok(StoreReply::Page {
                keys: Vec::new(),
                more: false,
                version,
            }),
            StoreCall::Watch {
                prefix, wait_ms, ..
            } if prefix == WORKER_PREFIX => {
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                let changes = Vec::new();
                Ok(StoreReply::Changes { changes, version })
            }
            _ => std::future::pending().await,
        }
    }
}

#[derive(Debug, Clone)]
struct NoDecoder;

impl PlatformDecoder for NoDecoder {
    fn configuration_key(&self) -> &'static str {
        "op/config"
    }

    fn worker_prefix(&self) -> &'static str {
        WORKER_PREFIX
    }

    fn configuration(&self, _value: &str) -> Option<Configuration> {
        None
    }

    fn worker(&self, _key: &str, _value: &str) -> Option<WorkerEntry> {
        None
    }

    fn worker_id_from_key(&self, _key: &str) -> Option<InstanceName> {
        None
    }
}

/// Guards against a lost worker that never counts as lost, as its watch has no more changes.
#[tokio::test(start_paused = true)]
async fn quiet_watch_reports() {
    let (event_sender, mut events) = mpsc::channel(16);
    let watches = Watches::start(QuietStore, NoDecoder, event_sender);
    let read = events.recv().await;
    assert!(matches!(read, Some(Event::WorkersReloaded { .. })));
    let report = tokio::time::timeout(Duration::from_secs(2), events.recv()).await;
    assert!(matches!(report, Ok(Some(Event::WorkersChanged { .. }))));
    watches.stop().await;
}

/// Guards against a second run of a task whose worker is back before the watch reports it.
#[rstest]
fn done_runs_once(#[values(1, 2, 3)] seed: u64) {
    let mut plan = silence(1, SILENT_MS);
    for node in 0..NODES {
        let late = FaultKind::CutWatch {
            node,
            for_ms: LOST_ANSWER_MS,
        };
        plan = plan.with_fault(LOST_AT_MS + REPORT_MS, late);
    }
    let mut world = cut_fleet(seed, plan, &finite_job(WORK_MS), Some(WORK_MS));
    world.run_for(LOST_AT_MS - world.now().0);
    world.unregister_worker(0);
    world.run_for(2 * REPORT_MS);
    world.register_worker(0);
    world.run_for(SILENT_MS + 12_000);
    assert_all_completed(&mut world);
}

/// Guards against a second run of a task whose worker a new owner counts as departed, though
/// it is back.
#[rstest]
fn late_watch_departs_none(#[values(1, 2, 3)] seed: u64, #[values(0, 1, 2)] killed: usize) {
    let kill = FaultKind::KillNode {
        node: killed,
        down_ms: LATE_MS,
    };
    let mut plan = silence(1, LATE_MS).with_fault(CUT_AT_MS + 500, kill);
    for node in 0..NODES {
        let late = FaultKind::CutWatch {
            node,
            for_ms: LATE_MS,
        };
        plan = plan.with_fault(LOST_AT_MS + REPORT_MS, late);
    }
    let mut world = cut_fleet(seed, plan, &finite_job(WORK_MS), Some(WORK_MS));
    world.run_for(LOST_AT_MS - world.now().0);
    world.unregister_worker(0);
    world.run_for(2 * REPORT_MS);
    world.register_worker(0);
    world.run_for(LATE_MS + 12_000);
    assert_eq!(world.violations(), [], "promises were broken");
}
