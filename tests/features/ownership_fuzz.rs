//! Interleaved faults break no promise about ownership and recovery.

use proptest::prelude::{Just, Strategy, prop_oneof};
use proptest::strategy::BoxedStrategy;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use turmericfold_tests::desai_configuration;
use turmericfold_tests::world::{Fault, World, WorldPlan};

/// The number of entry processes in the fuzzed world.
const PROCESSES: usize = 4;

#[derive(Debug, Clone)]
enum Step {
    Run(u64),
    Fault(Fault),
    Submit { count: usize, at_most_once: bool },
    Cancel,
    Ask,
}

/// The seed of the world and the number of submitted tasks.
#[derive(Debug, Clone)]
struct ReferenceState {
    seed: u64,
    submitted: usize,
}

fn fault() -> impl Strategy<Value = Fault> {
    let process = 0..PROCESSES;
    prop_oneof![
        4 => process.clone().prop_map(Fault::Pause),
        4 => process.clone().prop_map(Fault::Resume),
        2 => process.clone().prop_map(Fault::Crash),
        3 => process.clone().prop_map(Fault::Restart),
        1 => process.clone().prop_map(Fault::Stop),
        2 => Just(Fault::StoreOut),
        3 => Just(Fault::StoreBack),
        2 => process.clone().prop_map(Fault::StoreOutFor),
        2 => process.clone().prop_map(Fault::StoreBackFor),
        1 => (0..3_000_u64).prop_map(Fault::StoreSlow),
        2 => process.clone().prop_map(Fault::LoseAnswer),
        3 => (process.clone(), process.clone()).prop_map(|(from, to)| Fault::Cut(from, to)),
        2 => (process.clone(), process.clone()).prop_map(|(one, other)| Fault::Mend(one, other)),
        1 => (0..300_u32).prop_map(Fault::Duplicate),
        1 => (0..400_u64).prop_map(Fault::Jitter),
        // The drift between any two clocks stays within the margin that leases allow for it.
        1 => (process, -20_000..20_000_i64).prop_map(|(index, ppm)| Fault::Drift(index, ppm)),
        1 => (0..12_usize).prop_map(Fault::WorkerCut),
        1 => (0..12_usize).prop_map(Fault::WorkerMend),
        1 => (0..12_usize).prop_map(Fault::WorkerRestart),
        1 => Just(Fault::Heal),
    ]
}

impl ReferenceStateMachine for ReferenceState {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        (0..1_000_u64)
            .prop_map(|seed| Self { seed, submitted: 0 })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => (50..6_000_u64).prop_map(Step::Run),
            5 => fault().prop_map(Step::Fault),
            2 => (1..6_usize, proptest::bool::ANY)
                .prop_map(|(count, at_most_once)| Step::Submit { count, at_most_once }),
            1 => Just(Step::Cancel),
            1 => Just(Step::Ask),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        if let Step::Submit { count, .. } = step {
            state.submitted += count;
        }
        state
    }
}

struct OwnershipTest {
    world: World,
    submitted: usize,
}

impl StateMachineTest for OwnershipTest {
    type SystemUnderTest = Self;
    type Reference = ReferenceState;

    fn init_test(reference: &ReferenceState) -> Self {
        let plan = WorldPlan::new(reference.seed, desai_configuration()).with_processes(PROCESSES);
        let mut world = World::new(plan);
        world.run_for(4_000);
        Self {
            world,
            submitted: 0,
        }
    }

    fn apply(mut test: Self, _: &ReferenceState, step: Step) -> Self {
        match step {
            Step::Run(duration_ms) => test.world.run_for(duration_ms),
            Step::Fault(fault) => test.world.apply(fault),
            Step::Submit {
                count,
                at_most_once,
            } => {
                for _ in 0..count {
                    let key = format!("task-{}", test.submitted);
                    test.submitted += 1;
                    test.world.submit(&key, 2_000, at_most_once);
                }
            }
            Step::Cancel => {
                let task = test.world.open_tasks().next().cloned();
                if let Some(task) = task {
                    test.world.cancel(&task);
                }
            }
            Step::Ask => test.world.ask_all(),
        }
        test
    }

    fn check_invariants(test: &Self, _: &ReferenceState) {
        assert_eq!(test.world.check(), []);
    }

    fn teardown(mut test: Self, _: ReferenceState) {
        test.world.apply(Fault::Heal);
        for index in 0..PROCESSES {
            test.world.apply(Fault::Restart(index));
        }
        for _ in 0..16 {
            test.world.run_for(4_000);
            test.world.ask_all();
            test.world.run_for(100);
            if test.world.open_tasks().next().is_none() {
                break;
            }
        }
        assert_eq!(test.world.check(), []);
        assert_eq!(
            test.world.open_tasks().collect::<Vec<_>>(),
            Vec::<&_>::new()
        );
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 16,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..Config::default()
    })]

    #[test]
    fn faults_interleaved(sequential 1..40 => OwnershipTest);
}
