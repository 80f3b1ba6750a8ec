//! The order in which jobs get room.

use std::sync::Arc;

use rstest::rstest;
use turmericfold_fleet::policy::urgency::urgency;
use turmericfold_jobs::{
    EndedRun, Job, JobId, JobRecord, JobSpec, QueueName, QueueSettings, Recurrence, RunEnd, RunKey,
    RunNumber, StepSpec, TaskKey,
};
use turmericfold_types::{Resources, ServiceName};

/// When all jobs are accepted, in milliseconds since 1970.
const ACCEPTED_MS: u64 = 1_700_000_000_000;

/// The estimate of each of the two steps of a job, in milliseconds.
const ESTIMATE_MS: u64 = 2_000;

/// The objective of a job, in milliseconds: twice its two steps, and the target duration.
const OBJECTIVE_MS: u64 = 9_000;

fn queue() -> QueueSettings {
    QueueSettings {
        name: QueueName("reports".into()),
        priority: 2,
        max_attempts: 2,
        slack_factor: 2.0,
        target_duration_ms: 1_000,
        service: ServiceName::new("desk"),
    }
}

fn job(tasks: u32, recurrence: Option<Recurrence>) -> Job {
    let step = StepSpec::new(tasks, Resources::new(1_000, 1 << 20), ESTIMATE_MS);
    let second = StepSpec {
        after: vec![0],
        ..step.clone()
    };
    let spec = JobSpec {
        payload: "report".into(),
        steps: vec![step, second],
        recurrence,
    };
    let record = JobRecord {
        queue: queue(),
        spec,
        accepted_at_ms: ACCEPTED_MS,
    };
    Job::new(JobId(u64::from(tasks)), Arc::new(record))
}

/// Guards against work on a job that can't be in time, while one that can waits.
#[test]
fn hopeless_job_waits() {
    let now_ms = ACCEPTED_MS + OBJECTIVE_MS - ESTIMATE_MS;
    let hopeless = urgency(&job(1, None), now_ms);
    let mut later = job(8, None);
    later.record = Arc::new(JobRecord {
        accepted_at_ms: now_ms,
        ..(*later.record).clone()
    });
    assert!(
        hopeless.is_late,
        "two steps do not fit into the time of one"
    );
    assert!(urgency(&later, now_ms) < hopeless);
}

/// Guards against a large job that is nearly done and waits behind each small one that comes.
#[test]
fn begun_job_goes_first() {
    let mut begun = job(40, None);
    for index in 0..30 {
        let task = TaskKey {
            job: begun.id,
            occurrence: 0,
            step: 0,
            index,
        };
        let run = RunKey {
            task,
            number: RunNumber(1),
        };
        let change = begun.end_run(&EndedRun {
            run,
            end: RunEnd::Done,
            checkpoint: None,
        });
        assert!(change.must_persist);
    }
    let fresh = job(8, None);
    assert!(urgency(&begun, ACCEPTED_MS) < urgency(&fresh, ACCEPTED_MS));
    assert!(urgency(&fresh, ACCEPTED_MS) < urgency(&job(40, None), ACCEPTED_MS));
}

/// Guards against a wide job that counts as late as soon as its average task would be.
#[test]
fn longest_task_counts() {
    let now_ms = ACCEPTED_MS + OBJECTIVE_MS - 2 * ESTIMATE_MS + 1;
    assert!(urgency(&job(1, None), now_ms).is_late);
    assert!(!urgency(&job(40, None), now_ms).is_late);
}

/// Guards against a recurring job whose later occurrences count as late from the start.
#[rstest]
#[case(0, false)]
#[case(OBJECTIVE_MS, true)]
fn occurrences_count_from_due_times(#[case] after_due_ms: u64, #[case] is_late: bool) {
    let due_ms = ACCEPTED_MS + 60_000;
    let recurrence = Recurrence {
        count: 1,
        first_due_ms: due_ms,
        interval_ms: 1_000,
    };
    let mut job = job(2, Some(recurrence));
    let now_ms = due_ms + after_due_ms;
    assert!(job.open_due_occurrences(now_ms));
    assert_eq!(urgency(&job, now_ms).is_late, is_late);
}

/// Guards against amounts that overflow, which would stop the process or put the job first.
#[test]
fn huge_amounts_saturate() {
    let mut spec = job(2, None).spec().clone();
    spec.steps[0].estimate_ms = u64::MAX;
    spec.steps[0].resources.cpu_millicores = u64::MAX;
    let record = JobRecord {
        queue: queue(),
        spec,
        accepted_at_ms: ACCEPTED_MS,
    };
    let huge = Job::new(JobId(1), Arc::new(record));
    assert!(urgency(&job(2, None), ACCEPTED_MS) < urgency(&huge, ACCEPTED_MS));
}
