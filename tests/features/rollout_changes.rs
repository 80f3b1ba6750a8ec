//! Operators and processes change the configuration through a store that fails and loses
//! answers: revisions never decrease, one of several concurrent changes wins, and a trial
//! is evaluated once.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rstest::rstest;
use turmericfold_control::CONFIGURATION_KEY;
use turmericfold_control::rollout::{
    ChangeKind, Rollout, RolloutRecord, TrialPlan, WriteOutcome, write_outcome,
};
use turmericfold_platform::{PlatformError, StoreCall, StoreReply, StoreVersion};
use turmericfold_standin::StoreModel;
use turmericfold_tests::desai_configuration;
use turmericfold_types::{InstanceName, MonotonicMs, RequestStats, Revision};

const OPERATORS: usize = 3;
const PROCESSES: usize = 4;
const EVALUATE_AFTER_MS: u64 = 1_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Refused,
    AnswerLost,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Plan(usize),
    Apply(usize, bool, Fault),
    Resolve(usize),
    Withdraw(usize, Fault),
    Read(usize),
    SendRecord(usize, usize),
    Restart(usize),
    Evaluate(usize, Fault),
    AddEvictions,
}

/// A rule that a test breaks, to show that the oracle detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BrokenRule {
    /// A write does not compare the version of the record.
    BlindWrite,
    /// A process accepts every record it receives.
    AcceptLower,
    /// An operator treats a lost answer as a conflict.
    GuessOutcome,
    /// A process writes an evaluation although the record has changed since it was
    /// computed.
    StaleEvaluation,
}

struct Pending {
    version: Option<StoreVersion>,
    next: RolloutRecord,
    token: u64,
}

struct World {
    store: StoreModel,
    now: u64,
    next_token: u64,
    plans: Vec<Option<(RolloutRecord, Option<StoreVersion>)>>,
    pending: Vec<Option<Pending>>,
    processes: Vec<Rollout>,
    trial_evictions: u64,
    broken: Option<BrokenRule>,
    // The state of the oracle.
    accepted: Revision,
    changes: BTreeMap<u64, (Revision, ChangeKind)>,
    written: BTreeSet<u64>,
    conflicted: BTreeSet<u64>,
    last_revisions: Vec<Revision>,
}

fn instance(index: usize) -> InstanceName {
    InstanceName::new(format!("entry-{index}"))
}

impl World {
    fn new(broken: Option<BrokenRule>) -> Self {
        let mut world = Self {
            store: StoreModel::default(),
            now: 1,
            next_token: 1,
            plans: (0..OPERATORS).map(|_| None).collect(),
            pending: (0..OPERATORS).map(|_| None).collect(),
            processes: (0..PROCESSES)
                .map(|index| Rollout::new(instance(index)))
                .collect(),
            trial_evictions: 0,
            broken,
            accepted: Revision(0),
            changes: BTreeMap::new(),
            written: BTreeSet::new(),
            conflicted: BTreeSet::new(),
            last_revisions: vec![Revision(0); PROCESSES],
        };
        let first = RolloutRecord::default()
            .accept(desai_configuration(), Revision(0), 0, "first".into())
            .unwrap();
        world.swap(None, &first, Fault::None).unwrap();
        world
    }

    fn token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    fn read(&mut self) -> (RolloutRecord, Option<StoreVersion>) {
        let key = CONFIGURATION_KEY.into();
        match self
            .store
            .call(MonotonicMs(self.now), StoreCall::Get { key })
        {
            Ok(StoreReply::Value(Some(stored))) => (
                RolloutRecord::parse(&stored.value).unwrap(),
                Some(stored.version),
            ),
            other => panic!("{other:?}"),
        }
    }

    fn swap(
        &mut self,
        version: Option<StoreVersion>,
        next: &RolloutRecord,
        fault: Fault,
    ) -> Result<StoreReply, PlatformError> {
        if fault == Fault::Refused {
            return Err(PlatformError::unknown("no answer"));
        }
        let is_blind = self.broken == Some(BrokenRule::BlindWrite) && version.is_some();
        let expected = if is_blind { self.read().1 } else { version };
        let call = StoreCall::CompareAndSwap {
            key: CONFIGURATION_KEY.into(),
            expected,
            value: serde_json::to_string(next).ok(),
            lease: None,
        };
        let reply = self.store.call(MonotonicMs(self.now), call);
        match fault {
            Fault::AnswerLost => Err(PlatformError::unknown("the answer was lost")),
            _ => reply,
        }
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        self.now += 300;
        match step {
            Step::Plan(operator) => self.plans[operator] = Some(self.read()),
            Step::Apply(operator, trial, fault) => self.apply(operator, trial, fault),
            Step::Resolve(operator) => self.resolve(operator, Fault::None),
            Step::Withdraw(operator, fault) => {
                let (record, version) = self.read();
                let token = self.token();
                if let Ok(next) = record.end_trial(false, token, "by hand".into()) {
                    self.send(
                        operator,
                        Pending {
                            version,
                            next,
                            token,
                        },
                        fault,
                    );
                }
            }
            Step::Read(process) => {
                let (record, version) = self.read();
                self.observe(process, record, version);
            }
            Step::SendRecord(from, to) => {
                if let Some(record) = self.processes[from].record().cloned() {
                    self.observe(to, record, None);
                }
            }
            Step::Restart(process) => {
                self.processes[process] = Rollout::new(instance(process));
                self.last_revisions[process] = Revision(0);
            }
            Step::Evaluate(process, fault) => self.evaluate(process, fault),
            Step::AddEvictions => self.trial_evictions += 100,
        }
        self.check()
    }

    fn apply(&mut self, operator: usize, trial: bool, fault: Fault) {
        if self.pending[operator].is_some() {
            return;
        }
        let Some((record, version)) = self.plans[operator].take() else {
            return;
        };
        let token = self.token();
        let mut configuration = desai_configuration();
        configuration.fleet.store_calls_per_s = 100 + u32::try_from(token).unwrap();
        let base = record.accepted.revision;
        let next = if trial {
            let plan = TrialPlan {
                instances: vec![instance(0)],
                evaluate_after_ms: EVALUATE_AFTER_MS,
            };
            record.begin_trial(configuration, base, plan, token, "trial".into())
        } else {
            record.accept(configuration, base, token, "change".into())
        };
        if let Ok(next) = next {
            self.send(
                operator,
                Pending {
                    version,
                    next,
                    token,
                },
                fault,
            );
        }
    }

    fn send(&mut self, operator: usize, pending: Pending, fault: Fault) {
        if self.pending[operator].is_none() {
            self.pending[operator] = Some(pending);
            self.resolve(operator, fault);
        }
    }

    fn resolve(&mut self, operator: usize, fault: Fault) {
        let Some(pending) = self.pending[operator].take() else {
            return;
        };
        let reply = self.swap(pending.version, &pending.next, fault);
        let token = pending.token;
        match write_outcome(reply, token) {
            WriteOutcome::Written => {
                self.written.insert(token);
            }
            WriteOutcome::Conflict(_) => {
                self.conflicted.insert(token);
            }
            _ if self.broken == Some(BrokenRule::GuessOutcome) => {
                self.conflicted.insert(token);
            }
            _ => self.pending[operator] = Some(pending),
        }
    }

    fn observe(&mut self, process: usize, record: RolloutRecord, version: Option<StoreVersion>) {
        if self.broken == Some(BrokenRule::AcceptLower) {
            self.processes[process] = Rollout::new(instance(process));
        }
        self.processes[process].observe(MonotonicMs(self.now), record, version);
    }

    fn evaluate(&mut self, process: usize, fault: Fault) {
        let reports: BTreeMap<InstanceName, RequestStats> = (0..PROCESSES)
            .map(|index| {
                let evictions = if index == 0 { self.trial_evictions } else { 0 };
                let stats = RequestStats {
                    evictions,
                    ..RequestStats::default()
                };
                (instance(index), stats)
            })
            .collect();
        let now = MonotonicMs(self.now);
        let Some(evaluation) = self.processes[process].due_evaluation(now, process, &reports)
        else {
            return;
        };
        let token = self.token();
        let evaluated = self.processes[process].record_with_evaluation(&evaluation, token);
        let Some((version, next)) = evaluated else {
            return;
        };
        let is_stale = self.broken == Some(BrokenRule::StaleEvaluation);
        let version = if is_stale {
            self.read().1
        } else {
            Some(version)
        };
        let _ = self.swap(version, &next, fault);
    }

    fn check(&mut self) -> Result<(), String> {
        let (record, _) = self.read();
        if record.accepted.revision < self.accepted {
            return Err(format!(
                "the accepted revision in the store decreased to {}",
                record.accepted.revision
            ));
        }
        self.accepted = record.accepted.revision;
        for change in &record.history {
            let known = self
                .changes
                .insert(change.token, (change.revision, change.kind));
            if known.is_some_and(|known| known != (change.revision, change.kind)) {
                return Err(format!("the change {} was rewritten", change.token));
            }
        }
        self.check_winners(&record)?;
        self.check_evaluations()?;
        for (process, rollout) in self.processes.iter().enumerate() {
            if rollout.accepted_revision() < self.last_revisions[process] {
                return Err(format!(
                    "the accepted revision of process {process} decreased to {}",
                    rollout.accepted_revision()
                ));
            }
            self.last_revisions[process] = rollout.accepted_revision();
        }
        Ok(())
    }

    fn check_winners(&self, record: &RolloutRecord) -> Result<(), String> {
        if let Some(token) = self
            .conflicted
            .iter()
            .find(|token| self.changes.contains_key(token))
        {
            return Err(format!(
                "change {token} was reported as a conflict, but it is in the history"
            ));
        }
        let oldest = record.history.first().map_or(0, |change| change.token);
        let is_kept = |token: &&u64| record.contains(**token) || **token < oldest;
        let missing = self
            .written
            .iter()
            .find(|token| !is_kept(token) && record.history.len() < 32);
        match missing {
            Some(token) => Err(format!(
                "change {token} was reported as written, but it is not in the history"
            )),
            None => Ok(()),
        }
    }

    fn check_evaluations(&self) -> Result<(), String> {
        let mut evaluation_counts: BTreeMap<Revision, u32> = BTreeMap::new();
        for (revision, kind) in self.changes.values() {
            if matches!(kind, ChangeKind::TrialAccepted | ChangeKind::TrialWithdrawn) {
                *evaluation_counts.entry(*revision).or_default() += 1;
            }
        }
        match evaluation_counts.iter().find(|(_, count)| **count > 1) {
            Some((revision, count)) => {
                Err(format!("the trial of {revision} has {count} evaluations"))
            }
            None => Ok(()),
        }
    }

    /// Ends all faults and checks that every process has the right configuration in force.
    fn converge(&mut self) -> Result<(), String> {
        for operator in 0..OPERATORS {
            self.step(Step::Resolve(operator))?;
            if self.pending[operator].is_some() {
                return Err("the outcome of a change is still unknown".into());
            }
        }
        for process in 0..PROCESSES {
            self.step(Step::Read(process))?;
            let (record, _) = self.read();
            let in_force = self.processes[process]
                .in_force()
                .ok_or("no configuration is in force")?;
            if **in_force != *record.in_force_on(&instance(process)) {
                return Err(format!(
                    "process {process} has the wrong configuration in force: {}",
                    in_force.revision
                ));
            }
        }
        Ok(())
    }
}

fn steps() -> BoxedStrategy<Step> {
    let fault = || {
        prop_oneof![
            3 => Just(Fault::None),
            1 => Just(Fault::Refused),
            1 => Just(Fault::AnswerLost),
        ]
    };
    prop_oneof![
        4 => (0..OPERATORS).prop_map(Step::Plan),
        4 => (0..OPERATORS, any::<bool>(), fault()).prop_map(|(o, t, f)| Step::Apply(o, t, f)),
        2 => (0..OPERATORS).prop_map(Step::Resolve),
        1 => (0..OPERATORS, fault()).prop_map(|(o, f)| Step::Withdraw(o, f)),
        5 => (0..PROCESSES).prop_map(Step::Read),
        2 => (0..PROCESSES, 0..PROCESSES).prop_map(|(a, b)| Step::SendRecord(a, b)),
        1 => (0..PROCESSES).prop_map(Step::Restart),
        4 => (0..PROCESSES, fault()).prop_map(|(p, f)| Step::Evaluate(p, f)),
        1 => Just(Step::AddEvictions),
    ]
    .boxed()
}

#[derive(Debug, Clone)]
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        steps()
    }

    fn apply((): (), _: &Step) {}
}

struct Changes;

impl StateMachineTest for Changes {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(_: &()) -> World {
        World::new(None)
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        if let Err(violation) = world.step(step) {
            panic!("{violation}");
        }
        world
    }

    fn teardown(mut world: World, _: ()) {
        if let Err(violation) = world.converge() {
            panic!("{violation}");
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 150,
        rng_seed: RngSeed::Fixed(71),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn changes_agree(sequential 1..60 => Changes);
}

#[rstest]
#[case(BrokenRule::BlindWrite)]
#[case(BrokenRule::AcceptLower)]
#[case(BrokenRule::GuessOutcome)]
#[case(BrokenRule::StaleEvaluation)]
fn broken_rule(#[case] broken: BrokenRule) {
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), random);
    let plan = proptest::collection::vec(steps(), 60);
    let detected = (0..200).any(|_| {
        let steps = plan.new_tree(&mut runner).unwrap().current();
        let mut world = World::new(Some(broken));
        steps.into_iter().any(|step| world.step(step).is_err()) || world.converge().is_err()
    });
    assert!(detected, "{broken:?} was not detected");
}

#[test]
fn harmful_trial() {
    let mut world = World::new(None);
    let run = |world: &mut World, steps: &[Step]| {
        for step in steps {
            world.step(*step).unwrap();
        }
    };
    run(
        &mut world,
        &[Step::Plan(0), Step::Apply(0, true, Fault::None)],
    );
    run(
        &mut world,
        &[
            Step::Read(0),
            Step::Read(1),
            Step::Evaluate(1, Fault::None),
            Step::AddEvictions,
        ],
    );
    // The first process restarts; the second one evaluates the trial.
    run(&mut world, &[Step::Restart(0)]);
    for _ in 0..12 {
        run(&mut world, &[Step::Evaluate(1, Fault::AnswerLost)]);
    }
    let (record, _) = world.read();
    let last = record.history.last().unwrap();
    assert_eq!(last.kind, ChangeKind::TrialWithdrawn);
    assert!(last.reason.contains("more evictions"), "{}", last.reason);
    assert_eq!(record.accepted.revision, Revision(1));
    world.converge().unwrap();
}
