//! Runs that processes have found on workers that they do not own, as far as the owner of the
//! job knows.

use turmericfold_fleet::{Event, PeerMessage, RecoveryReport};
use turmericfold_platform::StoreVersion;
use turmericfold_tests::job_owner::{JOB, JobOwnerHarness, WORKER, WORKER_EPOCH};
use turmericfold_tests::node_parts::{owner_change, process, run};
use turmericfold_types::InstanceName;

/// The time within which the owner of a job learns of a change of owner, in milliseconds.
const WATCH_MS: u64 = 2_000;

const LATER_EPOCH: StoreVersion = StoreVersion(WORKER_EPOCH.0 + 2);

/// Returns a node whose job has a run that another process than the worker's owner has found.
fn with_found_run() -> JobOwnerHarness {
    let mut harness = JobOwnerHarness::new();
    harness.register();
    harness.submit();
    harness.report_usable(false);
    let found = PeerMessage::RunsFound {
        worker: InstanceName::new(WORKER),
        runs: vec![run(JOB, 1)],
    };
    harness.receive_from(process(2, 1), found);
    harness
}

/// Returns the report of the worker's owner that there is no run.
fn empty_report(query_id: Option<u64>) -> PeerMessage {
    PeerMessage::RecoveryReport(RecoveryReport {
        worker: InstanceName::new(WORKER),
        worker_epoch: WORKER_EPOCH,
        query_id,
        runs: Vec::new(),
        ends: Vec::new(),
    })
}

/// Guards against a task that waits for ever for a run that only a former owner of the worker has
/// found: its present owner does not know the run, so it never reports an end of it.
#[test]
fn former_owners_run_is_asked_for() {
    let mut harness = with_found_run();
    harness.report_usable(true);
    let query_id = harness.await_query();
    assert_eq!(harness.ordered_runs(), [], "the run may be in progress");
    assert!(query_id.is_some(), "the run is not asked for");
    harness.receive(empty_report(query_id));
    harness.report_usable(true);
    assert_eq!(harness.ordered_runs().len(), 1, "the task waits for ever");
}

/// Guards against a second run beside one that a later owner has found, of which the watch of the
/// owners reports afterwards: the process that seems to own the worker does not know the run.
#[test]
fn later_owners_run_goes_on() {
    let mut harness = with_found_run();
    let found_at_ms = harness.driven.now_ms;
    while harness.driven.now_ms < found_at_ms + WATCH_MS {
        assert_eq!(harness.next_query(), None, "a former owner is asked");
    }
    let key = format!("turmericfold/fleet/owners/workers/{WORKER}");
    let change = owner_change(&key, process(2, 1), LATER_EPOCH);
    harness.driven.deliver(Event::KeysChanged(vec![change]));
    let query_id = harness.await_query();
    assert!(query_id.is_some(), "the later owner is not asked");
    harness.receive(empty_report(query_id));
    harness.report_usable(true);
    assert_eq!(harness.ordered_runs(), [], "the run is in progress");
}
