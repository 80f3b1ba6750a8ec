//! Recurring jobs with a great many occurrences, due at once or long done.

use std::sync::Arc;

use proptest::prelude::*;
use rstest::rstest;
use turmericfold_jobs::{
    EndedRun, Job, JobId, JobProgress, JobRecord, JobSpec, JobState, NumberRanges, QueueName,
    QueueSettings, Recurrence, RunEnd, RunKey, RunNumber, StepSpec, TaskKey,
};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::captured_logs;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};
use turmericfold_types::{Resources, ServiceName};

const SERIES: JobId = JobId(9);

/// The number of occurrences of a series of one a second for a day.
const DAY: u32 = 86_400;

/// A time at which all occurrences of all series here are due, in milliseconds since 1970.
const LATER_MS: u64 = 1 << 50;

/// The most tasks of a series that its owner keeps in full while none has begun.
const MAX_WAITING: usize = 300;

/// The most bytes of the stored progress of a series of which few occurrences are open.
const MAX_PROGRESS_BYTES: usize = 400;

/// What the owner of a job logs if a pass over its tasks or a write is long.
const COSTLY: &str = "job costs its owner much in a pass or a write; other jobs wait meanwhile";

fn spec(steps: Vec<StepSpec>, count: u32, interval_ms: u64) -> JobSpec {
    JobSpec {
        payload: "visit".into(),
        steps,
        recurrence: Some(Recurrence {
            count,
            first_due_ms: 0,
            interval_ms,
        }),
    }
}

fn step(task_count: u32) -> StepSpec {
    StepSpec::new(task_count, Resources::new(1_000, 1 << 28), 1_000)
}

fn job(steps: Vec<StepSpec>, count: u32) -> Job {
    let record = JobRecord {
        queue: QueueSettings {
            name: QueueName("reports".into()),
            service: ServiceName::new("desk"),
            priority: 0,
            max_attempts: 3,
            slack_factor: 1.5,
            target_duration_ms: 1_000,
        },
        spec: spec(steps, count, 100),
        accepted_at_ms: 0,
    };
    Job::new(SERIES, Arc::new(record))
}

fn first_run(occurrence: u32) -> RunKey {
    RunKey {
        task: TaskKey {
            job: SERIES,
            occurrence,
            step: 0,
            index: 0,
        },
        number: RunNumber(1),
    }
}

fn ended(run: RunKey, end: RunEnd) -> EndedRun {
    EndedRun {
        run,
        end,
        checkpoint: None,
    }
}

fn finish(job: &mut Job, occurrence: u32) {
    let run = first_run(occurrence);
    job.add_run(run, "worker-00".into());
    job.record_start();
    let _ = job.end_run(&ended(run, RunEnd::Done));
}

fn stored(job: &Job) -> String {
    serde_json::to_string(&job.progress()).unwrap()
}

fn restored(steps: Vec<StepSpec>, count: u32, stored: &str) -> Job {
    let progress: JobProgress = serde_json::from_str(stored).unwrap();
    job(steps, count).with_progress(&progress)
}

/// Guards against an owner that a series of past times keeps busy, so that it answers nobody.
#[rstest]
#[case("most fit nowhere", 1_000)]
#[case("none fits anywhere", 1_000_000)]
fn past_times_cost_little(#[case] scenario: &str, #[case] cpu_millicores: u64) {
    const SMALL_JOBS: u64 = 6;
    captured_logs::capture();
    let mut world = FleetWorld::new(1, 3, 4);
    world.run_for(4_000);
    let resources = Resources::new(cpu_millicores, 1 << 28);
    let behaviour = TaskBehaviour {
        resources,
        work_ms: Some(1_000),
        always_fails: false,
    };
    let steps = vec![StepSpec::new(1, resources, 1_000)];
    let series = spec(steps, DAY / 8, 1_000);
    world.submit(0, SERIES, series, vec![behaviour]);
    world.run_for(2_000);
    let small = Resources::new(500, 1 << 28);
    for number in 1..=SMALL_JOBS {
        let spec = JobSpec {
            recurrence: None,
            ..spec(vec![StepSpec::new(2, small, 500)], 1, 1)
        };
        let behaviour = TaskBehaviour {
            resources: small,
            work_ms: Some(500),
            always_fails: false,
        };
        world.submit(1, JobId(100 + number), spec, vec![behaviour]);
    }
    world.run_for(4_000);
    for number in 1..=SMALL_JOBS {
        world.ask_state(2, JobId(100 + number));
    }
    world.ask_state(2, SERIES);
    world.run_for(500);
    let costly = captured_logs::take();
    let costly: Vec<_> = costly.iter().filter(|it| it.message == COSTLY).collect();
    assert_eq!(costly, Vec::<&captured_logs::LogLine>::new(), "{scenario}");
    assert_eq!(world.violations(), [], "{scenario}");
    for number in 1..=SMALL_JOBS {
        let state = world.jobs()[&JobId(100 + number)].state;
        assert_eq!(state, Some(JobState::Completed), "{scenario}");
    }
    assert!(world.jobs()[&SERIES].state.is_some(), "{scenario}");
}

/// Guards against a shape of the steps for which the cost grows with the past times all the same.
#[rstest]
#[case("wide", vec![step(100)])]
#[case("a chain", (0..5).map(|number: u32| StepSpec { after: number.checked_sub(1).into_iter().collect(), ..step(1) }).collect())]
#[case("a gang", vec![StepSpec { gang: true, ..step(3) }])]
#[case("apart", vec![StepSpec { max_per_worker: Some(1), ..step(3) }])]
#[case("copies", vec![StepSpec { copies_allowed: true, ..step(2) }])]
#[case("fillers", vec![StepSpec { filler: true, image: "scan".into(), ..step(2) }])]
fn shapes_cost_little(#[case] scenario: &str, #[case] steps: Vec<StepSpec>) {
    captured_logs::capture();
    let mut world = FleetWorld::new(3, 3, 4);
    world.run_for(4_000);
    let behaviour = TaskBehaviour {
        resources: step(1).resources,
        work_ms: Some(300),
        always_fails: false,
    };
    let behaviours = vec![behaviour; steps.len()];
    world.submit(0, SERIES, spec(steps, DAY / 8, 1_000), behaviours);
    world.run_for(8_000);
    let costly = captured_logs::take();
    let costly: Vec<_> = costly.iter().filter(|it| it.message == COSTLY).collect();
    assert_eq!(costly, Vec::<&captured_logs::LogLine>::new(), "{scenario}");
    assert_eq!(world.violations(), [], "{scenario}");
    let begun = world.runs_begun();
    assert!(begun > 100, "{scenario}: {begun} runs");
}

/// Guards against a search in each occurrence for a worker that no occurrence finds.
#[test]
fn unfit_steps_cost_little() {
    captured_logs::capture();
    let mut world = FleetWorld::new(2, 3, 4);
    world.run_for(4_000);
    let small = Resources::new(100, 1 << 20);
    let behaviour = TaskBehaviour {
        resources: small,
        work_ms: Some(200),
        always_fails: false,
    };
    let huge = Resources::new(1_000_000, 1 << 20);
    let steps = vec![StepSpec::new(1, small, 200), StepSpec::new(1, huge, 200)];
    world.submit(0, SERIES, spec(steps, 2_500, 0), vec![behaviour, behaviour]);
    world.run_for(8_000);
    let costly = captured_logs::take();
    let costly: Vec<_> = costly.iter().filter(|it| it.message == COSTLY).collect();
    assert!(world.runs_begun() > 1_500, "{} runs", world.runs_begun());
    assert_eq!(costly, Vec::<&captured_logs::LogLine>::new());
}

/// Guards against an owner that keeps each due occurrence in full, however many there are.
#[rstest]
fn waiting_times_are_counted(#[values(1_000, DAY, u32::MAX)] count: u32) {
    let mut job = job(vec![step(1)], count);
    assert!(job.spec().validate().is_ok());
    for _ in 0..5 {
        job.open_due_occurrences(LATER_MS);
    }
    assert!(job.occurrences().len() <= MAX_WAITING);
    let startable = job.startable();
    assert!((100..=MAX_WAITING).contains(&startable.len()));
    assert!(stored(&job).len() <= MAX_PROGRESS_BYTES);
}

/// Guards against progress that grows with each occurrence that is done, until the store refuses
/// it.
#[test]
fn done_times_are_counted() {
    let mut series = job(vec![step(1)], DAY);
    for occurrence in 0..DAY - 1 {
        series.open_due_occurrences(LATER_MS);
        finish(&mut series, occurrence);
    }
    assert!(series.occurrences().len() <= MAX_WAITING);
    let stored = stored(&series);
    assert!(stored.len() <= MAX_PROGRESS_BYTES, "{} bytes", stored.len());
    let mut next = restored(vec![step(1)], DAY, &stored);
    next.open_due_occurrences(LATER_MS);
    assert_eq!(next.startable(), [first_run(DAY - 1).task]);
    assert_eq!(next.state(), JobState::Active);
    finish(&mut next, DAY - 1);
    assert_eq!(next.state(), JobState::Completed);
}

/// Guards against occurrences that a later owner starts again, as an earlier version has stored
/// their progress.
#[test]
fn earlier_progress_is_read() {
    let stored = r#"{"cancelled":false,"failed":false,"occurrences":{
        "0":{"steps":{"0":{"complete":true}}},
        "1":{"steps":{"0":{"done":[1]}}},
        "2":{"steps":{"0":{"complete":true}}}}}"#;
    let mut job = restored(vec![step(2)], 4, stored);
    job.open_due_occurrences(LATER_MS);
    let waiting: Vec<(u32, u32)> = job
        .startable()
        .iter()
        .map(|task| (task.occurrence, task.index))
        .collect();
    assert_eq!(waiting, [(1, 0), (3, 0), (3, 1)]);
    assert_eq!(job.state(), JobState::Active);
    assert_eq!(job.done_occurrence_count(), 2);
}

/// Guards against an end or a run of an occurrence that is done, which opens it again.
#[test]
fn done_times_stay_done() {
    let mut series = job(vec![step(1)], 3);
    series.open_due_occurrences(LATER_MS);
    finish(&mut series, 1);
    let late = RunKey {
        number: RunNumber(2),
        ..first_run(1)
    };
    assert!(!series.add_run(late, "worker-01".into()));
    assert!(series.has_ended(late));
    let change = series.end_run(&ended(late, RunEnd::Failed));
    assert!(!change.must_persist);
    let waiting = [first_run(0).task, first_run(2).task];
    assert_eq!(series.startable(), waiting);
}

/// Guards against a copy that goes on, as its occurrence is done.
#[test]
fn copies_are_stopped() {
    let mut copied = step(1);
    copied.copies_allowed = true;
    let mut series = job(vec![copied], 2);
    series.open_due_occurrences(LATER_MS);
    let copy = RunKey {
        number: RunNumber(2),
        ..first_run(0)
    };
    series.add_run(first_run(0), "worker-00".into());
    series.add_run(copy, "worker-01".into());
    let change = series.end_run(&ended(first_run(0), RunEnd::Done));
    assert_eq!(change.stop, [copy]);
    assert_eq!(series.done_occurrence_count(), 1);
    let change = series.end_run(&ended(copy, RunEnd::Stopped));
    assert!(!change.must_persist);
    assert_eq!(series.startable(), [first_run(1).task]);
}

/// Guards against a series that stands still, as one occurrence can't go on.
#[test]
fn stuck_times_hold_up_none() {
    let mut series = job(vec![step(1)], DAY);
    for occurrence in 1..2_000 {
        series.open_due_occurrences(LATER_MS);
        assert!(series.startable().contains(&first_run(occurrence).task));
        finish(&mut series, occurrence);
    }
    assert!(series.occurrences().contains_key(&0));
    assert!(stored(&series).len() <= MAX_PROGRESS_BYTES);
}

/// Guards against wide occurrences that overlap without a bound, and against some that wait for
/// one straggler.
#[test]
fn wide_times_overlap() {
    let mut series = job(vec![step(15_000)], DAY);
    while series.open_due_occurrences(LATER_MS) {
        let last = series.occurrences().keys().max().copied().unwrap();
        series.add_run(first_run(last), "worker-00".into());
    }
    let open = series.occurrences().len();
    assert!((2..=4).contains(&open), "{open} are open");
}

/// Guards against an occurrence that never ends or runs twice, through a kill of all processes
/// and changes of the owner.
#[rstest]
#[case("no faults", FaultPlan::new())]
#[case(
    "all processes are killed twice",
    FaultPlan::new()
        .with_fault(7_000, FaultKind::KillAll { down_ms: 600 })
        .with_fault(16_000, FaultKind::KillAll { down_ms: 600 })
)]
fn backlogs_are_worked_off(#[case] scenario: &str, #[case] plan: FaultPlan) {
    const COUNT: u32 = 700;
    let mut world = FleetWorld::new(5, 3, 6).with_plan(plan);
    world.run_for(4_000);
    let resources = Resources::new(1_000, 1 << 28);
    let behaviour = TaskBehaviour {
        resources,
        work_ms: Some(500),
        always_fails: false,
    };
    let steps = vec![StepSpec::new(1, resources, 500)];
    world.submit(0, SERIES, spec(steps, COUNT, 0), vec![behaviour]);
    world.run_for(40_000);
    world.ask_state(1, SERIES);
    world.run_for(500);
    assert_eq!(world.violations(), [], "{scenario}");
    let state = world.jobs()[&SERIES].state;
    assert_eq!(state, Some(JobState::Completed), "{scenario}");
}

proptest! {
    /// Guards against ranges that lack a number, or have one too many.
    #[test]
    fn ranges_are_sets(numbers in prop::collection::vec(0_u32..60, 0..80)) {
        let mut ranges = NumberRanges::default();
        let mut set = std::collections::BTreeSet::new();
        for number in numbers {
            ranges.insert(number);
            set.insert(number);
        }
        prop_assert_eq!(ranges.count(), set.len() as u64);
        for number in 0..62 {
            prop_assert_eq!(ranges.contains(number), set.contains(&number));
            let missing = (number..).find(|it| !set.contains(it));
            prop_assert_eq!(ranges.next_missing(number), missing);
        }
        let touching = ranges.ranges().zip(ranges.ranges().skip(1));
        prop_assert!(touching.into_iter().all(|((_, last), (first, _))| last + 1 < first));
        let encoded = serde_json::to_string(&ranges).unwrap();
        let decoded: NumberRanges = serde_json::from_str(&encoded).unwrap();
        prop_assert_eq!(decoded, ranges);
    }

    /// Guards against a value that was not written by this program, which a process can't read.
    #[test]
    fn odd_ranges_are_read(pairs in prop::collection::vec((0_u32..40, 0_u32..40), 0..12)) {
        let ranges = NumberRanges::from(pairs.clone());
        for number in 0..41 {
            let is_in = pairs.iter().any(|(first, last)| (*first..=*last).contains(&number));
            prop_assert_eq!(ranges.contains(number), is_in);
        }
    }

    /// Guards against a next owner that knows another state than the one that was stored.
    #[test]
    fn any_order_is_restored(order in Just((0_u32..40).collect::<Vec<_>>()).prop_shuffle(), done in 0_usize..40) {
        let mut series = job(vec![step(1)], 40);
        series.open_due_occurrences(LATER_MS);
        for occurrence in &order[..done] {
            finish(&mut series, *occurrence);
        }
        let mut next = restored(vec![step(1)], 40, &stored(&series));
        next.open_due_occurrences(LATER_MS);
        prop_assert_eq!(next.startable(), series.startable());
        prop_assert_eq!(next.progress(), series.progress());
        prop_assert_eq!(next.state(), series.state());
    }
}
