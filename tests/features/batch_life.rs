//! Batch tasks run in one place, resume from their checkpoint and end, under all faults.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rstest::rstest;
use turmericfold_config::{
    Configuration, FleetRules, FleetShare, Interruption, Profile, Service, Team, Urgency,
};
use turmericfold_standin::{KindBehaviour, KindBehaviours};
use turmericfold_tests::batch_world::{BatchWorld, BrokenRule};
use turmericfold_types::{Resources, TaskId, TaskSpec, TaskState};

pub(crate) const GIB: u64 = 1 << 30;

pub(crate) fn profile(urgency: Urgency, evictable: bool) -> Profile {
    Profile {
        share: FleetShare {
            guaranteed_permille: 0,
            ceiling_permille: 1_000,
        },
        urgency,
        interruption: Interruption {
            evictable,
            checkpointable: evictable,
            max_evictions: 3,
            notice_ms: 400,
        },
    }
}

pub(crate) fn configuration(quota: Resources) -> Configuration {
    let service = |profile: &str| Service {
        profile: profile.into(),
        deadline_ms: 1_000,
        max_run_ms: 1_000,
        idempotent_writes: false,
        queue_requests: 1,
        queue_bytes: 1 << 20,
        runs_on: None,
        team: None,
        retry_permille: 100,
    };
    Configuration {
        profiles: BTreeMap::from([
            ("urgent".into(), profile(Urgency::Urgent, false)),
            ("background".into(), profile(Urgency::Background, true)),
        ]),
        services: BTreeMap::from([
            ("visits".into(), service("urgent")),
            ("reports".into(), service("background")),
        ]),
        teams: BTreeMap::from([
            ("rounds".into(), Team { quota }),
            ("orchards".into(), Team { quota }),
        ]),
        fleet: FleetRules {
            failure_domains: vec!["north".into()],
            shards_per_failure_domain: 1,
            store_calls_per_s: 100,
            freeze_automatic_changes: false,
        },
        ..Configuration::default()
    }
}

pub(crate) fn spec(service: &str, kind: &str, cores: u64, run_ms: u64) -> TaskSpec {
    TaskSpec {
        key: None,
        service: service.into(),
        team: "rounds".into(),
        kind: kind.into(),
        resources: Resources::new(cores * 1_000, cores * 2 * GIB),
        run_ms,
        at_most_once: false,
        payload: ecow::eco_format!("{run_ms}"),
        group: None,
    }
}

pub(crate) fn worker_size() -> Resources {
    Resources::new(16_000, 60 * GIB)
}

/// Returns kinds whose declared sizes (2 cores, 4 GiB) are wrong by a factor of up to 4.
fn behaviours() -> KindBehaviours {
    let behaviour = |cpu_millicores, gib, min_run_ms| KindBehaviour {
        cpu_millicores,
        memory_bytes: gib * GIB,
        size_spread_permille: 200,
        min_run_ms,
        has_heavy_tail: true,
        ..KindBehaviour::default()
    };
    KindBehaviours::from([
        ("small".into(), behaviour(500, 1, 4_000)),
        ("large".into(), behaviour(6_000, 14, 6_000)),
    ])
}

fn world() -> BatchWorld {
    let quota = Resources::new(48_000, 200 * GIB);
    BatchWorld::new(configuration(quota), 4, worker_size()).with_behaviours(behaviours())
}

#[derive(Debug, Clone)]
enum Step {
    Submit {
        kind: usize,
        urgent: bool,
        other_team: bool,
        at_most_once: bool,
    },
    Cancel {
        task: usize,
    },
    Wait {
        wait_ms: u64,
    },
    CutOff {
        worker: usize,
        for_ms: u64,
    },
    Break {
        worker: usize,
    },
    Heal,
    RestartOwner,
}

/// The reference holds no state: the oracle is in the world.
#[derive(Debug)]
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        prop_oneof![
            8 => (0..2_usize, any::<bool>(), any::<bool>(), prop::bool::weighted(0.2))
                .prop_map(|(kind, urgent, other_team, at_most_once)| Step::Submit { kind, urgent, other_team, at_most_once }),
            3 => any::<usize>().prop_map(|task| Step::Cancel { task }),
            6 => (200_u64..4_000).prop_map(|wait_ms| Step::Wait { wait_ms }),
            2 => (0..4_usize, 500_u64..20_000).prop_map(|(worker, for_ms)| Step::CutOff { worker, for_ms }),
            1 => (0..4_usize).prop_map(|worker| Step::Break { worker }),
            1 => Just(Step::Heal),
            1 => Just(Step::RestartOwner),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Debug)]
struct BatchLifeTest {
    world: BatchWorld,
    tasks: Vec<TaskId>,
}

impl StateMachineTest for BatchLifeTest {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test((): &()) -> Self {
        let (world, tasks) = (world(), Vec::new());
        Self { world, tasks }
    }

    fn apply(mut state: Self, (): &(), step: Step) -> Self {
        let world = &mut state.world;
        match step {
            Step::Submit {
                kind,
                urgent,
                other_team,
                at_most_once,
            } => {
                let service = if urgent { "visits" } else { "reports" };
                let mut spec = spec(service, ["small", "large"][kind], 2, 5_000);
                spec.at_most_once = at_most_once;
                if other_team {
                    spec.team = "orchards".into();
                }
                let key = format!("task-{}", state.tasks.len());
                state.tasks.extend(world.submit(&key, spec));
            }
            Step::Cancel { task } => {
                let count = state.tasks.len();
                if count > 0 {
                    world.cancel(&state.tasks[task % count]);
                }
            }
            Step::Wait { wait_ms } => world.run_for(wait_ms),
            Step::CutOff { worker, for_ms } => {
                let worker = world.worker(worker).unwrap();
                world.cut_off(&worker, for_ms);
            }
            Step::Break { worker } => {
                let worker = world.worker(worker).unwrap();
                world.break_worker(&worker, true);
            }
            Step::Heal => world.heal(),
            Step::RestartOwner => world.restart_owner(),
        }
        state
    }

    fn check_invariants(state: &Self, (): &()) {
        assert_eq!(state.world.first_violation(), None);
    }

    fn teardown(mut state: Self, (): ()) {
        state.world.heal();
        state.world.run_for(400_000);
        assert_eq!(state.world.first_violation(), None);
        assert_eq!(state.world.unfinished(), Vec::<TaskId>::new());
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 48,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    })]

    #[test]
    fn life_holds(sequential 1..60 => BatchLifeTest);
}

/// Runs a loaded world and returns whether the oracle detected a broken rule or a task
/// stayed unfinished.
fn is_violation_detected(broken: Option<BrokenRule>) -> bool {
    let mut configuration = configuration(Resources::new(40_000, 200 * GIB));
    if let Some(team) = configuration.teams.get_mut(&"rounds".into()) {
        team.quota.cpu_millicores = 20_000;
    }
    let mut world = BatchWorld::new(configuration, 3, worker_size()).with_behaviours(behaviours());
    if let Some(broken) = broken {
        world = world.with_broken(broken);
    }
    let mut tasks = Vec::new();
    for number in 0..60 {
        let spec = spec("reports", "large", 2, 6_000);
        tasks.extend(world.submit(&format!("low-{number}"), spec));
        world.run_for(400);
    }
    for number in 0..8 {
        let mut spec = spec("visits", "large", 4, 5_000);
        spec.team = "orchards".into();
        world.submit(&format!("high-{number}"), spec);
    }
    world.run_for(20_000);
    let waiting_task = tasks.iter().rev().find(|task| {
        matches!(
            world.state(task),
            Some(TaskState::Queued | TaskState::Evicted)
        )
    });
    if let Some(task) = waiting_task.cloned() {
        world.cancel(&task);
    }
    world.run_for(600_000);
    world.first_violation().is_some() || !world.unfinished().is_empty()
}

#[rstest]
#[case(BrokenRule::RunTwice)]
#[case(BrokenRule::OverReserve)]
#[case(BrokenRule::HideUse)]
#[case(BrokenRule::LoseTask)]
#[case(BrokenRule::DropCancel)]
#[case(BrokenRule::DropCheckpoint)]
#[case(BrokenRule::DoubleQuota)]
fn broken_rules(#[case] broken: BrokenRule) {
    assert!(is_violation_detected(Some(broken)));
}

#[test]
fn rules_hold() {
    assert!(!is_violation_detected(None));
}
