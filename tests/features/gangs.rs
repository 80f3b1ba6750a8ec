//! Gangs: steps whose tasks make progress only while all of them run.

use std::collections::BTreeMap;
use std::sync::Arc;

use rstest::rstest;
use turmericfold_fleet::WorkerSummary;
use turmericfold_fleet::policy::gang::place_gang;
use turmericfold_fleet::policy::interference::InterferenceModel;
use turmericfold_fleet::policy::offer::Offer;
use turmericfold_fleet::policy::placement::Demand;
use turmericfold_jobs::{
    EndedRun, Job, JobId, JobRecord, JobSpec, JobState, QueueName, QueueSettings, RunEnd, RunKey,
    RunNumber, StepSpec, TaskKey,
};
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld, Violation};
use turmericfold_types::{InstanceName, Resources, ServiceName};

const NODES: usize = 3;
const WORKERS: usize = 6;

/// The resources of a gang member; a worker of the simulated fleet holds two members.
fn member_resources() -> Resources {
    Resources::new(3_500, 1 << 30)
}

fn gang(task_count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        single_rack: true,
        image: "report".into(),
        ..StepSpec::new(task_count, member_resources(), 600)
    }
}

fn submit_gangs(world: &mut FleetWorld, jobs: u64, gap_ms: u64) {
    for number in 1..=jobs {
        let spec = JobSpec {
            payload: "visit".into(),
            steps: vec![gang(5)],
            recurrence: None,
        };
        let behaviour = TaskBehaviour {
            resources: member_resources(),
            work_ms: Some(600),
            always_fails: false,
        };
        let node = usize::try_from(number).unwrap() % NODES;
        world.submit(node, JobId(number), spec, vec![behaviour]);
        world.run_for(gap_ms);
    }
}

fn states(world: &mut FleetWorld) -> BTreeMap<JobId, Option<JobState>> {
    let jobs: Vec<JobId> = world.jobs().keys().copied().collect();
    for job in &jobs {
        world.ask_state(0, *job);
    }
    world.run_for(500);
    world
        .jobs()
        .iter()
        .map(|(job, known)| (*job, known.state))
        .collect()
}

/// Guards against gangs that block each other. Six workers hold twelve members, and three
/// processes start gangs of five at the same time: some starts are refused, and no member
/// may wait for members that do not start.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn gangs_start_whole(#[case] seed: u64) {
    let mut world = FleetWorld::new(seed, NODES, WORKERS);
    world.run_for(2_000);
    submit_gangs(&mut world, 12, 30);
    world.run_for(25_000);
    assert_eq!(world.violations(), []);
    let states = states(&mut world);
    let all_done = states
        .values()
        .all(|state| *state == Some(JobState::Completed));
    assert!(all_done, "{states:?}");
}

/// When a member is lost with its worker, its gang stops and runs again as a whole.
#[rstest]
#[case(4)]
#[case(5)]
fn gangs_survive_restarts(#[case] seed: u64) {
    let plan = FaultPlan::new()
        .with_fault(3_500, FaultKind::RestartWorker { worker: 1 })
        .with_fault(
            4_500,
            FaultKind::KillNode {
                node: 1,
                down_ms: 2_000,
            },
        )
        .with_fault(6_000, FaultKind::RestartWorker { worker: 3 });
    let mut world = FleetWorld::new(seed, NODES, WORKERS).with_plan(plan);
    world.run_for(2_000);
    submit_gangs(&mut world, 8, 400);
    world.run_for(45_000);
    // A fault may keep a member waiting for members that do not start; every other promise
    // must hold.
    let broken: Vec<&Violation> = world
        .violations()
        .iter()
        .filter(|violation| !matches!(violation, Violation::GangApart(_)))
        .collect();
    assert!(broken.is_empty(), "{broken:?}");
    let states = states(&mut world);
    let accepted = world.jobs().values().filter(|known| known.accepted).count();
    let done = states
        .values()
        .filter(|state| **state == Some(JobState::Completed))
        .count();
    assert_eq!(done, accepted, "{states:?}");
}

fn offer(name: &str, rack: &str, free_millicores: u64) -> Offer {
    let cores = Resources {
        cpu_millicores: free_millicores,
        memory_bytes: 32 << 30,
        ..Resources::default()
    };
    let summary = WorkerSummary {
        worker: name.into(),
        service: "rounds".into(),
        labels: vec!["a".into(), rack.into()],
        capacity: cores,
        free: cores,
        usable: true,
        ..WorkerSummary::default()
    };
    Offer::new(Arc::new(summary), true)
}

fn place(step: &StepSpec, offers: &[Offer]) -> Option<Vec<usize>> {
    let service = ServiceName::from("rounds");
    let siblings = BTreeMap::new();
    let demand = Demand {
        step,
        service: &service,
        siblings_by_worker: &siblings,
        failed_on: &[],
        is_starved: false,
    };
    place_gang(&InterferenceModel::default(), demand, offers)
}

#[rstest]
#[case("one rack has the resources", 3, Some(vec!["r2"; 3]))]
#[case("no single rack has the resources, all racks together have", 5, Some(vec!["r1", "r1", "r2", "r2", "r2"]))]
#[case("the resources do not suffice for all members", 6, None)]
fn racks_are_kept(
    #[case] scenario: &str,
    #[case] members: u32,
    #[case] expected: Option<Vec<&str>>,
) {
    let offers = [
        offer("w-0", "r1", 7_000),
        offer("w-1", "r2", 7_000),
        offer("w-2", "r2", 3_500),
    ];
    let places = place(&gang(members), &offers);
    let racks = places.map(|places| {
        let mut racks: Vec<String> = places
            .iter()
            .map(|place| offers[*place].worker.rack().unwrap().to_string())
            .collect();
        racks.sort();
        racks
    });
    let expected = expected.map(|racks| racks.iter().map(ToString::to_string).collect());
    assert_eq!(racks, expected, "{scenario}");
}

fn gang_job() -> Job {
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
            steps: vec![gang(2)],
            recurrence: None,
        },
        accepted_at_ms: 0,
    };
    Job::new(JobId(1), record.into())
}

fn member(index: u32) -> RunKey {
    RunKey {
        task: TaskKey {
            job: JobId(1),
            occurrence: 0,
            step: 0,
            index,
        },
        number: RunNumber(1),
    }
}

/// No member starts again before all members of the previous run have ended, and all
/// resume from the same checkpoint.
#[test]
fn members_wait_for_all() {
    let mut job = gang_job();
    let worker = InstanceName::new("w-0");
    for index in 0..2 {
        assert!(job.add_run(member(index), worker.clone()));
    }
    let ended = |index, end, checkpoint: Option<&str>| EndedRun {
        run: member(index),
        end,
        checkpoint: checkpoint.map(Into::into),
    };
    let change = job.end_run(&ended(1, RunEnd::Stopped, Some("c-7")));
    assert!(change.stop.is_empty(), "{change:?}");
    assert_eq!(job.startable(), [], "a member still runs");
    let change = job.end_run(&ended(0, RunEnd::Broken, None));
    assert!(change.stop.is_empty(), "{change:?}");
    assert_eq!(job.startable().len(), 2);
    assert_eq!(job.checkpoint(member(0).task), Some("c-7".into()));
    assert_eq!(job.next_number(member(0).task, RunNumber(0)), RunNumber(2));
}
