//! Tasks that are done on workers which their next owners can't reach.

use rstest::rstest;
use turmericfold_jobs::JobId;
use turmericfold_standin::TaskBehaviour;
use turmericfold_tests::cut_fleet::{
    CUT_AT_MS, LEASE_MS, MAX_OUTCOME_WAIT_MS, WORKERS, cut_fleet, cut_fleet_of, finite_job,
    resources, silence, with_cut_workers,
};
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld, Violation};

const NODES: usize = 4;

/// The number of jobs that are submitted at a time.
const JOBS: u64 = 4;

/// How long the runs work, in milliseconds: they end during the cut.
const WORK_MS: u64 = 8_000;

/// How long the first node is cut off, in milliseconds: its registration ends meanwhile.
const FIRST_CUT_MS: u64 = 2_600;

/// How long the others are cut off after it, in milliseconds: until their workers count as lost.
const SECOND_CUT_MS: u64 = LEASE_MS + MAX_OUTCOME_WAIT_MS + 6_000;

/// The time after the beginning of that cut at which the registration of their worker ends, in
/// milliseconds.
const UNREGISTERED_AFTER_MS: u64 = 2_000;

/// The time after a cut for which promises are checked, in milliseconds.
const CHECK_MS: u64 = WORK_MS + 4_000;

/// Adds to a plan that a node reaches neither the store nor the other nodes, but those in `group`.
fn with_cut_node(
    plan: FaultPlan,
    at_ms: u64,
    node: usize,
    group: &[usize],
    for_ms: u64,
) -> FaultPlan {
    let plan = plan.with_fault(at_ms, FaultKind::CutStore { node, for_ms });
    let others = (0..NODES).filter(|other| *other != node && !group.contains(other));
    others.fold(plan, |plan, other| {
        let one = node;
        plan.with_fault(at_ms, FaultKind::CutPeers { one, other, for_ms })
    })
}

/// Returns a plan in which one node is cut off until its registration has ended, then two others
/// together with worker 0: as far as these know, they are most of the members.
fn cuts_in_two_steps(first: usize) -> FaultPlan {
    let group = [first, (first + 1) % NODES];
    let gone = (first + 2) % NODES;
    let at_ms = CUT_AT_MS + FIRST_CUT_MS;
    let for_ms = SECOND_CUT_MS;
    let mut plan = with_cut_node(FaultPlan::new(), CUT_AT_MS, gone, &[], FIRST_CUT_MS);
    for node in 0..NODES {
        if group.contains(&node) {
            plan = with_cut_node(plan, at_ms, node, &group, for_ms);
            let cut = |worker| FaultKind::CutWorker {
                node,
                worker,
                for_ms,
            };
            plan = (1..WORKERS).fold(plan, |plan, worker| plan.with_fault(at_ms, cut(worker)));
        } else {
            let for_ms = FIRST_CUT_MS + SECOND_CUT_MS;
            plan = with_cut_workers(plan, node, 1, for_ms);
        }
    }
    plan
}

/// Returns the broken promises, without the starts that the platform allows as the lease of the
/// worker that lists the done run has lapsed.
fn counted_violations(world: &FleetWorld) -> Vec<&Violation> {
    let is_counted = |violation: &&Violation| !matches!(violation, Violation::AgainAfterLapse(_));
    world.violations().iter().filter(is_counted).collect()
}

/// Guards against a second run of a task that is done while a majority of a former list of
/// members renews the worker's lease.
#[rstest]
fn former_majority_runs_once(
    #[values(1, 2, 3)] seed: u64,
    #[values(0, 1, 2, 3)] first: usize,
    #[values(false, true)] is_unregistered: bool,
) {
    let plan = cuts_in_two_steps(first);
    let mut world = cut_fleet_of(NODES, seed, plan, &finite_job(WORK_MS), Some(WORK_MS))
        .with_member_addresses();
    world.run_for(FIRST_CUT_MS + UNREGISTERED_AFTER_MS);
    if is_unregistered {
        world.unregister_worker(0);
    }
    world.run_for(SECOND_CUT_MS - UNREGISTERED_AFTER_MS);
    if is_unregistered {
        world.register_worker(0);
    }
    world.run_for(CHECK_MS);
    let counted = counted_violations(&world);
    assert!(counted.is_empty(), "promises were broken: {counted:?}");
}

/// Guards against a second run of a task that is done on a worker which only processes reach that
/// the store turns away, though all processes hear each other.
#[rstest]
fn unserved_owners_run_once(
    #[values(1, 2)] seed: u64,
    #[values(0, 1, 2, 3)] first: usize,
    #[values(1, 2, 3)] unserved: usize,
    #[values(3_000, 6_000, 20_000)] for_ms: u64,
    #[values(1_500, 8_000)] work_ms: u64,
) {
    let is_unserved = |node: usize| (node + NODES - first) % NODES < unserved;
    let cut = |plan: FaultPlan, node: usize| match is_unserved(node) {
        true => plan.with_fault(CUT_AT_MS, FaultKind::CutStore { node, for_ms }),
        false => with_cut_workers(plan, node, 1, for_ms),
    };
    let plan = (0..NODES).fold(FaultPlan::new(), cut);
    let mut world = cut_fleet_of(NODES, seed, plan, &finite_job(work_ms), Some(work_ms))
        .with_member_addresses();
    let submit_all = |world: &mut FleetWorld, first_job: u64| {
        for number in 0..JOBS {
            let behaviour = TaskBehaviour {
                resources: resources(),
                work_ms: Some(work_ms),
                always_fails: false,
            };
            let node = usize::try_from(number).unwrap() % NODES;
            let job = JobId(first_job + number);
            world.submit(node, job, finite_job(work_ms), vec![behaviour]);
        }
    };
    submit_all(&mut world, 100);
    world.run_for(1_000);
    submit_all(&mut world, 200);
    world.run_for(for_ms + CHECK_MS);
    match for_ms > LEASE_MS + MAX_OUTCOME_WAIT_MS {
        true => assert!(
            counted_violations(&world).is_empty(),
            "{:?}",
            world.violations()
        ),
        false => assert_eq!(world.violations(), [], "promises were broken"),
    }
}

/// Guards against a registered worker that is given up before its lease has lapsed, so that its
/// done ends are still taken note of.
#[rstest]
fn given_up_after_lapse(
    #[values(1, 2, 3)] seed: u64,
    #[values(4_500, 2_500)] work_ms: u64,
    #[values(None, Some(0), Some(1), Some(2))] killed: Option<usize>,
) {
    let silent_ms = LEASE_MS + MAX_OUTCOME_WAIT_MS + 4_000;
    let kill = |node| FaultKind::KillNode { node, down_ms: 500 };
    let plan = silence(1, silent_ms);
    let plan = match killed {
        Some(node) => plan.with_fault(CUT_AT_MS + 500, kill(node)),
        None => plan,
    };
    let mut world = cut_fleet(seed, plan, &finite_job(work_ms), Some(work_ms));
    world.run_for(silent_ms + work_ms + CHECK_MS);
    assert!(
        counted_violations(&world).is_empty(),
        "{:?}",
        world.violations()
    );
}
