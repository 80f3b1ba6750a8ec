//! Jobs of a great many tasks or steps, and what is stored of them.

use std::sync::Arc;

use rstest::rstest;
use turmericfold_fleet::{CallId, CallerRequest, Event, StoreRequest};
use turmericfold_jobs::{
    EndedRun, Job, JobId, JobProgress, JobRecord, JobSpec, JobState, QueueName, QueueSettings,
    RunEnd, RunKey, RunNumber, StepSpec, TaskKey,
};
use turmericfold_platform::StoreCall;
use turmericfold_tests::fleet_world::QUEUE;
use turmericfold_tests::job_owner::{JOB, JobOwnerHarness};
use turmericfold_types::{Resources, ServiceName};

/// The most bytes that a value of the store may have.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// The most bytes of the stored progress of a job of which few tasks are open.
const MAX_PROGRESS_BYTES: usize = 400;

/// The number of tasks that stay open.
const OPEN: u32 = 10;

fn record(steps: Vec<StepSpec>) -> JobRecord {
    JobRecord {
        queue: QueueSettings {
            name: QueueName("reports".into()),
            service: ServiceName::new("desk"),
            priority: 0,
            max_attempts: 3,
            slack_factor: 1.5,
            target_duration_ms: 1_000,
        },
        spec: JobSpec {
            payload: "visit".into(),
            steps,
            recurrence: None,
        },
        accepted_at_ms: 0,
    }
}

fn job(steps: Vec<StepSpec>) -> Job {
    Job::new(JobId(9), Arc::new(record(steps)))
}

fn task(step: u32, index: u32) -> TaskKey {
    TaskKey {
        job: JobId(9),
        occurrence: 0,
        step,
        index,
    }
}

fn finish(job: &mut Job, task: TaskKey) {
    let run = RunKey {
        task,
        number: RunNumber(1),
    };
    job.add_run(run, "worker-00".into());
    job.record_start();
    let _ = job.end_run(&EndedRun {
        run,
        end: RunEnd::Done,
        checkpoint: None,
    });
}

fn small_step(task_count: u32) -> StepSpec {
    StepSpec::new(task_count, Resources::new(10, 1 << 20), 100)
}

/// Steps of one task each, of which each waits for the one before.
fn chain(count: u32) -> Vec<StepSpec> {
    let step = |number: u32| StepSpec {
        after: number.checked_sub(1).into_iter().collect(),
        ..small_step(1)
    };
    (0..count).map(step).collect()
}

/// Guards against progress that grows with each task or step that is done.
#[rstest]
#[case("one step of many tasks", vec![small_step(20_000)], (0..20_000 - OPEN).map(|index| task(0, index)).collect())]
#[case("many steps", chain(4_000), (0..4_000 - OPEN).map(|step| task(step, 0)).collect())]
fn done_work_is_counted(
    #[case] scenario: &str,
    #[case] steps: Vec<StepSpec>,
    #[case] done: Vec<TaskKey>,
) {
    let mut before = job(steps.clone());
    for task in done {
        finish(&mut before, task);
    }
    let stored = serde_json::to_string(&before.progress()).unwrap();
    assert!(
        stored.len() <= MAX_PROGRESS_BYTES,
        "{scenario}: {}",
        stored.len()
    );
    let progress: JobProgress = serde_json::from_str(&stored).unwrap();
    let next = job(steps).with_progress(&progress);
    assert_eq!(next.startable(), before.startable(), "{scenario}");
    assert!(!next.startable().is_empty(), "{scenario}");
    assert_eq!(next.state(), JobState::Active, "{scenario}");
    assert_eq!(next.progress(), before.progress(), "{scenario}");
}

/// Guards against tasks that a later owner starts again, as an earlier version has stored that they
/// are done.
#[test]
fn earlier_progress_is_read() {
    let stored = r#"{"cancelled":false,"failed":false,"occurrences":{"0":{"steps":{
        "0":{"complete":true},"1":{"done":[0,2],"failed_runs":{"1":[4]}}}}}}"#;
    let progress: JobProgress = serde_json::from_str(stored).unwrap();
    let steps = vec![small_step(2), small_step(3), small_step(1)];
    let job = job(steps).with_progress(&progress);
    assert_eq!(job.startable(), [task(1, 1), task(2, 0)]);
    assert_eq!(job.task(task(1, 1)).unwrap().failed_runs, [RunNumber(4)]);
}

/// Guards against a job that callers may send and the store refuses, so that its owner repeats the
/// write and refuses all others.
#[rstest]
#[case("a chain", chain(4_000))]
#[case("steps without requirements", vec![StepSpec::new(1, Resources::default(), 0); 20_000])]
#[case("steps of one field", vec![StepSpec::new(1, Resources::new(1, 0), 0); 12_000])]
fn many_steps_are_stored(#[case] scenario: &str, #[case] steps: Vec<StepSpec>) {
    let mut harness = JobOwnerHarness::new();
    let spec = JobSpec {
        payload: "visit".into(),
        steps,
        recurrence: None,
    };
    let request = CallerRequest::Submit {
        queue: QueueName(QUEUE.into()),
        job: JOB,
        spec: spec.clone(),
    };
    let call = CallId(1);
    harness
        .driven
        .deliver(Event::CallerRequest { call, request });
    let value = stored_record(&harness.driven.out.store).expect("the job is not written");
    assert!(
        value.len() <= MAX_VALUE_BYTES,
        "{scenario}: {}",
        value.len()
    );
    let record: JobRecord = serde_json::from_str(&value).unwrap();
    assert_eq!(record.spec, spec, "{scenario}");
}

fn stored_record(calls: &[StoreRequest]) -> Option<String> {
    let transactions = calls
        .iter()
        .filter_map(|request| match &request.store_call {
            StoreCall::Transact(transaction) => Some(transaction),
            _ => None,
        });
    let mut writes = transactions.flat_map(|transaction| &transaction.write);
    let write = writes.find(|write| write.key.ends_with("/record"))?;
    Some(write.value.clone())
}

/// The size of each checkpoint of the tests, in bytes.
const CHECKPOINT_BYTES: usize = 3_600;

/// Returns a job whose tasks have all lapsed and left a checkpoint.
fn interrupted(task_count: u32) -> Job {
    let mut job = job(vec![small_step(task_count)]);
    for index in 0..task_count {
        let run = RunKey {
            task: task(0, index),
            number: RunNumber(1),
        };
        job.add_run(run, "worker-00".into());
        let _ = job.end_run(&EndedRun {
            run,
            end: RunEnd::Lapsed,
            checkpoint: Some("c\n".repeat(CHECKPOINT_BYTES / 2).into()),
        });
    }
    job
}

/// Guards against checkpoints that outgrow a value of the store, so that neither the progress nor the
/// cancelling of the job is ever stored.
#[test]
fn checkpoints_fit() {
    let mut job = interrupted(1_800);
    let progress = job.progress();
    let stored = serde_json::to_string(&progress).unwrap();
    assert!(
        stored.len() <= MAX_VALUE_BYTES / 2,
        "{} bytes",
        stored.len()
    );
    assert!(progress.unstored_checkpoints > 0);
    assert!(job.checkpoint(task(0, 1_799)).is_some(), "it is kept here");
    let next = self::job(vec![small_step(1_800)]).with_progress(&progress);
    assert!(next.checkpoint(task(0, 0)).is_some(), "none is stored");
    assert_eq!(next.startable().len(), 1_800);
    let _ = job.cancel();
    let stored = serde_json::to_string(&job.progress()).unwrap();
    assert!(stored.len() <= MAX_PROGRESS_BYTES, "{} bytes", stored.len());
    let next = self::job(vec![small_step(1_800)]).with_progress(&job.progress());
    assert_eq!(next.state(), JobState::Cancelled);
}

/// Guards against checkpoints that are left out though there is room for them.
#[test]
fn few_checkpoints_are_all_stored() {
    let job = interrupted(40);
    let progress = job.progress();
    assert_eq!(progress.unstored_checkpoints, 0);
    let next = self::job(vec![small_step(40)]).with_progress(&progress);
    assert!((0..40).all(|index| next.checkpoint(task(0, index)).is_some()));
}
