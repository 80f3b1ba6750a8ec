//! A process and a worker that are cut off together from the store and from all other
//! processes.

use rstest::rstest;
use turmericfold_tests::cut_fleet::{
    CUT_AT_MS, NODES, WORKERS, cut_fleet_of, finite_job, lasting_job, with_cut_workers,
};
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan, FleetWorld};

/// How long the runs work, in milliseconds: longer than any cut.
const WORK_MS: u64 = 40_000;

/// The number of nodes of a fleet of which a group is cut off.
const GROUP_NODES: usize = 5;

/// How long the store is out, in milliseconds: longer than the lease of the workers.
const OUTAGE_MS: u64 = 14_000;

/// How long the tasks work.
#[derive(Debug, Clone, Copy)]
enum Work {
    /// For `WORK_MS`.
    Finite,
    /// Until they are cancelled.
    Lasting,
}

/// Returns a plan in which `former` reaches only worker 0, and no other node reaches it.
fn cut(former: usize, for_ms: u64) -> FaultPlan {
    cut_group(NODES, &[former], 0, for_ms)
}

fn cut_store(node: usize, for_ms: u64) -> FaultKind {
    FaultKind::CutStore { node, for_ms }
}

fn cut_watch(node: usize, for_ms: u64) -> FaultKind {
    FaultKind::CutWatch { node, for_ms }
}

fn cut_peers(one: usize, other: usize, for_ms: u64) -> FaultKind {
    FaultKind::CutPeers { one, other, for_ms }
}

/// Returns a plan in which the nodes of `group` reach only each other and worker 0, which no
/// other node reaches. They lose the store `lead_ms` before the other nodes.
fn cut_group(nodes: usize, group: &[usize], lead_ms: u64, for_ms: u64) -> FaultPlan {
    let mut plan = FaultPlan::new();
    for node in group {
        plan = plan.with_fault(CUT_AT_MS, cut_store(*node, lead_ms + for_ms));
    }
    for node in (0..nodes).filter(|node| !group.contains(node)) {
        plan = with_cut_workers(plan, node, 1, lead_ms + for_ms);
        for member in group {
            plan = plan.with_fault(CUT_AT_MS + lead_ms, cut_peers(*member, node, for_ms));
        }
    }
    plan
}

/// Guards against a second run beside one whose lease an unheard former owner still renews.
#[rstest]
fn unheard_owner_stops_renewing(
    #[values(1, 2)] seed: u64,
    #[values(0, 1, 2)] former: usize,
    #[values(12_000, 20_000)] for_ms: u64,
    #[values(Work::Finite, Work::Lasting)] work: Work,
) {
    assert_runs_once(seed, former, for_ms, false, work);
}

/// Guards against a second run of the cut owner beside an unregistered worker of another.
#[rstest]
fn other_owner_is_heard(
    #[values(1, 2)] seed: u64,
    #[values(0, 1)] former: usize,
    #[values(12_000, 20_000)] for_ms: u64,
    #[values(Work::Finite, Work::Lasting)] work: Work,
) {
    assert_runs_once(seed, former, for_ms, true, work);
}

/// Guards against a second run beside one that a cut owner renews on an unregistered worker.
#[rstest]
fn unregistered_worker_waits(
    #[values(1, 2)] seed: u64,
    #[values(2)] former: usize,
    #[values(12_000, 20_000)] for_ms: u64,
    #[values(Work::Finite, Work::Lasting)] work: Work,
) {
    assert_runs_once(seed, former, for_ms, true, work);
}

/// Guards against a second run beside one whose lease a cut-off group of processes renews.
#[rstest]
fn group_stops_renewing(
    #[values(1, 2)] seed: u64,
    #[values(0, 1, 2, 3, 4)] first: usize,
    #[values(false, true)] unregistered: bool,
    #[values(Work::Finite, Work::Lasting)] work: Work,
) {
    let group = [first, (first + 1) % GROUP_NODES];
    let plan = cut_group(GROUP_NODES, &group, 0, 24_000);
    let world = cut_world(GROUP_NODES, seed, plan, unregistered, work);
    assert_no_violations(world, 26_000);
}

/// Guards against a second run of a lasting task whose lease a cut-off majority renews.
#[rstest]
fn majority_keeps_lasting_runs(
    #[values(1, 2)] seed: u64,
    #[values(0, 1, 2, 3, 4)] first: usize,
    #[values(8_000, 14_000)] for_ms: u64,
) {
    let group = [0, 1, 2].map(|offset| (first + offset) % GROUP_NODES);
    let plan = cut_group(GROUP_NODES, &group, 0, for_ms);
    let world = cut_world(GROUP_NODES, seed, plan, false, Work::Lasting);
    assert_no_violations(world, for_ms + 2_000);
}

/// Guards against a group that renews leases as most of a list of members that has shrunk.
#[rstest]
fn shrunken_list_renews_nothing(
    #[values(1, 2)] seed: u64,
    #[values(0, 1, 2, 3)] first: usize,
    #[values(Work::Finite, Work::Lasting)] work: Work,
) {
    let nodes = 4;
    let [killed, peer, second] = [1, 2, 3].map(|offset| (first + offset) % nodes);
    let (killed_ms, for_ms) = (3_000, 14_000);
    let kill = FaultKind::KillNode {
        node: killed,
        down_ms: killed_ms + 2_500,
    };
    let mut plan = FaultPlan::new().with_fault(CUT_AT_MS, kill);
    let cut_at_ms = CUT_AT_MS + killed_ms;
    for one in [first, second] {
        plan = plan.with_fault(cut_at_ms, cut_store(one, for_ms));
        for other in [killed, peer] {
            plan = plan.with_fault(cut_at_ms, cut_peers(one, other, for_ms));
        }
    }
    for node in [killed, peer] {
        plan = with_cut_workers(plan, node, 1, killed_ms + for_ms);
    }
    let world = cut_world(nodes, seed, plan, false, work);
    assert_no_violations(world.with_member_addresses(), killed_ms + for_ms + 2_000);
}

/// Guards against a minority that ends the runs of an unregistered worker that others still renew.
#[rstest]
fn majority_keeps_unregistered_runs(
    #[values(1, 2)] seed: u64,
    #[values(0, 1, 2, 3, 4)] first: usize,
    #[values(8_000, 20_000)] for_ms: u64,
    #[values(false, true)] unregistered: bool,
    #[values(Work::Finite, Work::Lasting)] work: Work,
) {
    let group = [0, 1, 2].map(|offset| (first + offset) % GROUP_NODES);
    let plan = cut_group(GROUP_NODES, &group, 0, for_ms);
    let world = cut_world(GROUP_NODES, seed, plan, unregistered, work);
    assert_no_violations(world.with_member_addresses(), for_ms + 2_000);
}

/// Guards against a new process that does not know the majority which renews its worker's lease.
#[rstest]
fn restarted_owner_waits(
    #[values(1, 2)] seed: u64,
    #[values(0, 1, 2)] killed: usize,
    #[values(Work::Finite, Work::Lasting)] work: Work,
) {
    let for_ms = 14_000;
    let group = [1, 2].map(|offset| (killed + offset) % NODES);
    let kill = FaultKind::KillNode {
        node: killed,
        down_ms: 300,
    };
    let plan = cut_group(NODES, &group, 0, for_ms).with_fault(CUT_AT_MS + 2_500, kill);
    let world = cut_world(NODES, seed, plan, true, work).with_member_addresses();
    assert_no_violations(world, for_ms + 2_000);
}

/// Guards against processes that the store turns away and that hear one that it serves.
#[rstest]
fn served_peer_ends_renewals(
    #[values(1, 2)] seed: u64,
    #[values(0, 1, 2, 3, 4)] first: usize,
    #[values(Work::Finite, Work::Lasting)] work: Work,
) {
    let for_ms = 20_000;
    let group = [0, 1, 2].map(|offset| (first + offset) % GROUP_NODES);
    let mut plan = FaultPlan::new();
    for node in 0..GROUP_NODES {
        plan = match group.contains(&node) {
            true => plan.with_fault(CUT_AT_MS, cut_store(node, for_ms)),
            false => with_cut_workers(plan, node, 1, for_ms),
        };
    }
    let world = cut_world(GROUP_NODES, seed, plan, true, work);
    assert_no_violations(world.with_member_addresses(), for_ms + 2_000);
}

/// Guards against a second run beside one of an owner that loses the store before its peers.
#[rstest]
fn late_cut_stops_renewing(
    #[values(1, 2)] seed: u64,
    #[values(0, 1, 2)] former: usize,
    #[values(1_300, 1_600, 1_900, 2_200)] lead_ms: u64,
    #[values(Work::Finite, Work::Lasting)] work: Work,
) {
    let plan = cut_group(NODES, &[former], lead_ms, 12_000);
    let world = cut_world(NODES, seed, plan, true, work);
    assert_no_violations(world, lead_ms + 14_000);
}

/// Guards against a second run beside one of an owner that only the new owner tells its loss.
#[rstest]
fn told_owner_stops_renewing(
    #[values(1, 2)] seed: u64,
    #[values(0, 1, 2)] former: usize,
    #[values(1, 2)] offset: usize,
    #[values(Work::Finite, Work::Lasting)] work: Work,
) {
    let for_ms = 30_000;
    let successor = (former + offset) % NODES;
    let mut plan = FaultPlan::new()
        .with_fault(CUT_AT_MS, cut_store(former, 3_000))
        .with_fault(CUT_AT_MS, cut_watch(former, for_ms))
        .with_fault(CUT_AT_MS + 6_000, cut_peers(former, successor, for_ms));
    for node in (0..NODES).filter(|node| *node != former) {
        plan = with_cut_workers(plan, node, 1, for_ms);
    }
    let world = cut_world(NODES, seed, plan, true, work);
    assert_no_violations(world, 20_000);
}

/// Guards against owners that stop renewing in an outage of the store that ends one process.
#[rstest]
#[case::alone(1, None, 60_000)]
#[case::pair(2, None, 60_000)]
#[case::three(3, None, 60_000)]
#[case::killed_first(3, Some(0), 60_000)]
#[case::killed_second(3, Some(1), 60_000)]
#[case::killed_third(3, Some(2), 60_000)]
#[case::restarted(3, Some(1), 2_000)]
#[case::five(5, Some(3), 60_000)]
fn outage_keeps_work(
    #[values(1, 2)] seed: u64,
    #[case] nodes: usize,
    #[case] killed: Option<usize>,
    #[case] down_ms: u64,
) {
    let outage = FaultKind::StoreDown { for_ms: OUTAGE_MS };
    let mut plan = FaultPlan::new().with_fault(CUT_AT_MS, outage);
    if let Some(node) = killed {
        plan = plan.with_fault(CUT_AT_MS + 1_500, FaultKind::KillNode { node, down_ms });
    }
    let mut world = cut_world(nodes, seed, plan, false, Work::Finite);
    let lost = killed.map_or_else(Vec::new, |node| world.workers_of(node));
    let runs = runs_beside(&world, &lost);
    assert!(runs.iter().sum::<usize>() > 0, "no run could be lost");
    world.run_for(OUTAGE_MS - 2_000);
    assert_eq!(runs_beside(&world, &lost), runs, "runs were lost");
    assert_eq!(world.violations(), [], "promises were broken");
}

/// Returns the number of runs on each worker that is not among the lost ones.
fn runs_beside(world: &FleetWorld, lost: &[usize]) -> Vec<usize> {
    let kept = (0..WORKERS).filter(|worker| !lost.contains(worker));
    kept.map(|worker| world.runs_on(worker)).collect()
}

fn assert_runs_once(seed: u64, former: usize, for_ms: u64, unregistered: bool, work: Work) {
    let world = cut_world(NODES, seed, cut(former, for_ms), unregistered, work);
    assert_no_violations(world, for_ms + 2_000);
}

/// Creates a fleet whose jobs run when the plan begins, if need be without the registration
/// of worker 0.
fn cut_world(
    nodes: usize,
    seed: u64,
    plan: FaultPlan,
    unregistered: bool,
    work: Work,
) -> FleetWorld {
    let (spec, work_ms) = match work {
        Work::Finite => (finite_job(WORK_MS), Some(WORK_MS)),
        Work::Lasting => (lasting_job(), None),
    };
    let mut world = cut_fleet_of(nodes, seed, plan, &spec, work_ms);
    if unregistered {
        world.unregister_worker(0);
    }
    world
}

fn assert_no_violations(mut world: FleetWorld, for_ms: u64) {
    world.run_for(for_ms);
    assert_eq!(world.violations(), [], "promises were broken");
}
