//! Runs that complete their task after a later run of it was ordered.

use rstest::rstest;
use turmericfold_jobs::{
    EndedRun, Job, JobId, JobRecord, JobSpec, QueueName, QueueSettings, RunEnd, StepSpec,
};
use turmericfold_tests::node_parts::run;
use turmericfold_types::{InstanceName, Resources};

const JOB: JobId = JobId(1);

fn job(copies_allowed: bool) -> Job {
    let mut step = StepSpec::new(1, Resources::new(1_000, 1 << 30), 1_000);
    step.copies_allowed = copies_allowed;
    let record = JobRecord {
        queue: QueueSettings {
            name: QueueName("visits".into()),
            service: "rounds".into(),
            priority: 0,
            max_attempts: 3,
            slack_factor: 2.0,
            target_duration_ms: 1_000,
        },
        spec: JobSpec {
            payload: "visit".into(),
            steps: vec![step],
            recurrence: None,
        },
        accepted_at_ms: 0,
    };
    Job::new(JOB, record.into())
}

fn ended(number: u64, end: RunEnd) -> EndedRun {
    EndedRun {
        run: run(JOB, number),
        end,
        checkpoint: None,
    }
}

/// Guards against an alarm for a task whose step allows copies.
#[rstest]
#[case::one_run(false, true)]
#[case::copies(true, false)]
fn copies_raise_none(#[case] copies_allowed: bool, #[case] expected: bool) {
    let mut job = job(copies_allowed);
    let worker = InstanceName::new("w-0");
    assert!(job.add_run(run(JOB, 1), worker.clone()));
    let change = job.end_run(&ended(1, RunEnd::Lapsed));
    assert_eq!(change.stop, []);
    assert!(job.add_run(run(JOB, 2), worker));
    let first_is_done = ended(1, RunEnd::Done);
    assert_eq!(job.is_late_completion(&first_is_done), expected);
}
