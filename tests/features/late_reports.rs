//! Reports that reach the owner of a job after newer knowledge.

use rstest::rstest;
use turmericfold_fleet::{PeerMessage, RecoveryReport, StartOutcome};
use turmericfold_jobs::{RunKey, RunNumber, TaskKey};
use turmericfold_tests::job_owner::{JOB, JobOwnerHarness, WORKER};
use turmericfold_types::InstanceName;

/// A late report that says that a run is in progress.
#[derive(Debug, Clone, Copy)]
enum LateReport {
    Found,
    Recovery,
}

/// Guards against a task that waits for ever for an ended run, which a late report revives.
#[rstest]
fn ended_run_stays_ended(
    #[values(None, Some(LateReport::Found), Some(LateReport::Recovery))] late: Option<LateReport>,
) {
    let mut harness = JobOwnerHarness::new();
    harness.submit();
    harness.report_usable(true);
    let ordered = harness.ordered_runs();
    assert_eq!(ordered.len(), 1, "the task is not started");
    let run = ordered[0];
    let worker = InstanceName::new(WORKER);
    harness.receive(PeerMessage::StartAnswer {
        worker: worker.clone(),
        run,
        outcome: StartOutcome::Started,
    });
    harness.report_usable(false);
    let query_id = harness.reassign_worker();
    assert!(
        query_id.is_some(),
        "the runs of the worker are not asked for"
    );
    harness.report_end(run);
    let runs = vec![run];
    match late {
        None => {}
        Some(LateReport::Found) => harness.receive(PeerMessage::RunsFound { worker, runs }),
        Some(LateReport::Recovery) => {
            harness.receive(PeerMessage::RecoveryReport(RecoveryReport {
                worker,
                worker_epoch: harness.worker_epoch,
                query_id,
                runs,
                ends: Vec::new(),
            }));
        }
    }
    let mut restarted = Vec::new();
    for _ in 0..100 {
        harness.report_usable(true);
        harness.answer_store();
        harness.driven.now_ms += 300;
        restarted.extend(harness.ordered_runs());
    }
    assert_eq!(restarted.len(), 1, "the task must start once more");
}

/// Guards against an order to a leaving worker, whose owner does not know yet that it leaves.
#[test]
fn leaving_worker_gets_nothing() {
    let mut harness = JobOwnerHarness::new();
    harness.drain();
    harness.submit();
    harness.report_usable(true);
    assert_eq!(harness.ordered_runs(), []);
}

/// Guards against the acknowledgement of an end by a former owner that does not know the job.
#[test]
fn former_owner_acknowledges_nothing() {
    let mut harness = JobOwnerHarness::new();
    let task = TaskKey {
        job: JOB,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    harness.report_end(RunKey {
        task,
        number: RunNumber(1_001),
    });
    assert!(
        !harness.has_acknowledged(),
        "the end of an unknown run is acknowledged"
    );
}

/// Guards against the acknowledgement of an end, which is not stored, by a former owner.
#[test]
fn uncertain_owner_acknowledges_nothing() {
    let mut harness = JobOwnerHarness::new();
    harness.submit();
    harness.report_usable(true);
    let ordered = harness.ordered_runs();
    assert_eq!(ordered.len(), 1, "the task is not started");
    harness.report_usable(false);
    harness.report_end(ordered[0]);
    assert!(!harness.has_acknowledged(), "the end is acknowledged");
}

/// Guards against a start beside a run that counted as over and is found again, while it stops.
#[test]
fn found_run_holds_its_task() {
    let mut harness = JobOwnerHarness::new();
    harness.submit();
    harness.report_usable(true);
    let first = harness.ordered_runs()[0];
    harness.report_lapse(first, false);
    harness.report_usable(true);
    let second = harness.ordered_runs()[0];
    let worker = InstanceName::new(WORKER);
    let runs = vec![first];
    harness.receive(PeerMessage::RunsFound { worker, runs });
    harness.report_lapse(second, false);
    for _ in 0..5 {
        harness.report_usable(true);
        assert_eq!(harness.ordered_runs(), [], "the first run is not over");
    }
    harness.report_end(first);
    harness.report_usable(true);
    assert_eq!(harness.ordered_runs().len(), 1, "the task waits for ever");
}
