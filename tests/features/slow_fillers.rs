//! Fillers at a low pace, and their moves to workers on which they end sooner.

use rstest::rstest;
use turmericfold_fleet::policy::relocation::SlowFiller;
use turmericfold_fleet::{PeerMessage, SlowRun, StartOutcome};
use turmericfold_jobs::{RunKey, StepSpec};
use turmericfold_tests::job_owner::{JobOwnerHarness, WORKER};
use turmericfold_tests::shared_worker::{Conditions, SharedWorker, filler_key};
use turmericfold_types::{InstanceName, Resources};

/// Another worker than that of the run.
const OTHER: &str = "worker-01";

/// The processor time that a filler wants, in millicores.
const WANTED_MILLICORES: u64 = 2_000;

/// The time in which a low pace must be reported, in milliseconds: some polls.
const REPORT_MS: u64 = 3_000;

fn slow_filler() -> SlowFiller {
    SlowFiller {
        done_percent: 20,
        pace_percent: 20,
        worked_ms: 500,
        estimate_ms: 2_500,
    }
}

/// Guards against moves that take longer than they save.
#[rstest]
#[case("most of the work is left", slow_filler(), true)]
#[case("its pace is nearly full", SlowFiller { pace_percent: 60, ..slow_filler() }, false)]
#[case("it is nearly done", SlowFiller { done_percent: 95, worked_ms: 2_300, ..slow_filler() }, false)]
#[case("it has not begun, and is estimated to be long", SlowFiller { done_percent: 0, worked_ms: 0, ..slow_filler() }, true)]
#[case("it has not begun, and is estimated to be short", SlowFiller { done_percent: 0, worked_ms: 0, estimate_ms: 50, ..slow_filler() }, false)]
fn moves_save_time(#[case] scenario: &str, #[case] run: SlowFiller, #[case] expected: bool) {
    assert_eq!(run.ends_sooner_elsewhere(), expected, "{scenario}");
}

/// Returns the owner of a job whose only run works on the first worker.
fn owner_of_filler(is_checkpointing: bool) -> (JobOwnerHarness, RunKey) {
    let mut owner = JobOwnerHarness::new();
    owner.add_worker(OTHER);
    owner.submit_step(StepSpec {
        filler: true,
        checkpointing: is_checkpointing,
        image: "scan".into(),
        ..StepSpec::new(1, Resources::new(WANTED_MILLICORES, 1 << 30), 2_500)
    });
    owner.report_workers(&[(WORKER, WANTED_MILLICORES)]);
    let run = owner.ordered_runs()[0];
    owner.receive(PeerMessage::StartAnswer {
        worker: InstanceName::new(WORKER),
        run,
        outcome: StartOutcome::Started,
    });
    (owner, run)
}

/// Guards against runs that stay at a low pace, so that their step ends late, though another worker
/// has room for them.
#[rstest]
#[case("another worker has room", true, WANTED_MILLICORES, 1)]
#[case("no other worker has room", true, 0, 0)]
#[case("its work would be lost", false, WANTED_MILLICORES, 0)]
fn slow_fillers_move(
    #[case] scenario: &str,
    #[case] is_checkpointing: bool,
    #[case] spare_millicores: u64,
    #[case] expected: usize,
) {
    let (mut owner, run) = owner_of_filler(is_checkpointing);
    let slow = SlowRun {
        run,
        done_percent: 20,
        pace_percent: 20,
        worked_ms: 500,
    };
    owner.report_workers(&[(WORKER, 0), (OTHER, spare_millicores)]);
    owner.receive(PeerMessage::RunsSlowed {
        worker: InstanceName::new(WORKER),
        runs: vec![slow],
    });
    assert_eq!(owner.stopped_runs().len(), expected, "{scenario}");
}

/// Guards against owners of jobs that do not learn that a run of theirs is slow.
#[rstest]
#[case("no slack is left for it", 1.2, true)]
#[case("there is slack to spare", 4.0, false)]
fn low_paces_are_reported(#[case] scenario: &str, #[case] slack: f64, #[case] expected: bool) {
    let mut worker = SharedWorker::new(Conditions {
        learned_effect: Some(2.0),
        slacks: (4.0, 4.0),
        ..Conditions::default()
    });
    worker.start_all(1, 1, WANTED_MILLICORES);
    worker.run_for(REPORT_MS);
    assert_eq!(worker.slow_runs, [], "{scenario}: before");
    worker.conditions.slacks = (slack, slack);
    worker.run_for(REPORT_MS);
    let is_reported = worker
        .slow_runs
        .iter()
        .any(|slow| slow.run == filler_key(1));
    assert_eq!(is_reported, expected, "{scenario}");
}
