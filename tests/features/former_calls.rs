//! Stops and paces that reach a worker in its next life, and stops by a process that may no longer
//! own the worker.

use rstest::rstest;
use turmericfold_fleet::{Authority, Event, JobShard, PeerMessage, WorkerCall, WorkerResult};
use turmericfold_jobs::{JobId, RunEnd};
use turmericfold_platform::{PlatformError, StartReply, StopCall, StoreVersion};
use turmericfold_standin::{TaskBehaviour, TaskWorkerModel};
use turmericfold_tests::cut_fleet::{CUT_AT_MS, NODES, WORKERS, cut_fleet, lasting_job};
use turmericfold_tests::fleet_world::{FaultKind, FaultPlan};
use turmericfold_tests::node_parts::{process, run};
use turmericfold_tests::worker_owner::{JOB, WORKER, WorkerOwnerHarness, entry};
use turmericfold_types::{InstanceName, MonotonicMs, Resources};

/// The time of the world at which the workers restart, in milliseconds: the jobs run by then.
const RESTART_AT_MS: u64 = CUT_AT_MS + 1_100;

fn behaviour() -> TaskBehaviour {
    TaskBehaviour {
        resources: Resources::default(),
        work_ms: None,
        always_fails: false,
    }
}

/// Orders the owner of the worker to stop a run by its number.
fn order_stop(harness: &mut WorkerOwnerHarness, number: u64) {
    let stop = PeerMessage::Stop {
        authority: Authority {
            shard: JobShard::of(JOB),
            epoch: StoreVersion(6),
        },
        worker: InstanceName::new(WORKER),
        run: run(JOB, number),
    };
    harness.driven.deliver(Event::Peer {
        from: process(1, 1),
        messages: vec![stop],
    });
}

fn take_stop(harness: &mut WorkerOwnerHarness) -> (turmericfold_fleet::CallId, StopCall) {
    harness.take_call_where(|call| match call {
        WorkerCall::Stop(stop) => Some(stop),
        _ => None,
    })
}

/// Guards against a stop of the former life that keeps the task from running in the next one.
#[rstest]
fn late_stop_bars_nothing(#[values(false, true)] takes_effect: bool) {
    let mut harness = WorkerOwnerHarness::new();
    let mut worker = TaskWorkerModel::new(entry().capacity, MonotonicMs(0));
    let now = |harness: &WorkerOwnerHarness| MonotonicMs(harness.driven.now_ms);
    harness.order_start();
    let (call, start) = harness.take_start_call();
    let reply = worker.start(now(&harness), &start, behaviour());
    harness.answer(call, WorkerResult::Start(Ok(reply)));
    harness.wait(50);
    let (poll, listing) = harness.poll(&mut worker);
    order_stop(&mut harness, 1);
    let (call, stop) = take_stop(&mut harness);
    worker.restart(now(&harness));
    harness.answer(poll, listing);
    if takes_effect {
        worker.stop(now(&harness), &stop);
    }
    let error = PlatformError::unknown("no answer");
    harness.answer(call, WorkerResult::Stop(Err(error)));
    let mut ends = Vec::new();
    for _ in 0..4 {
        harness.wait(200);
        if let Some(poll) = harness.poll_if_sent(&mut worker) {
            harness.answer(poll.0, poll.1);
        }
        answer_stops(&mut harness, &mut worker);
        ends.extend(harness.reported_ends());
    }
    ends.dedup();
    assert_eq!(ends, [RunEnd::Stopped], "the run is not over");
    harness.order_run(2);
    let (_, start) = harness.take_start_call();
    let reply = worker.start(now(&harness), &start, behaviour());
    assert!(matches!(reply, StartReply::Started { .. }), "{reply:?}");
}

/// Lets the worker answer the stops that are sent again.
fn answer_stops(harness: &mut WorkerOwnerHarness, worker: &mut TaskWorkerModel) {
    let now = MonotonicMs(harness.driven.now_ms);
    for request in std::mem::take(&mut harness.driven.out.workers) {
        if let WorkerCall::Stop(stop) = request.worker_call {
            worker.stop(now, &stop);
            harness.answer(request.call, WorkerResult::Stop(Ok(())));
        }
    }
}

/// Guards against a process that may no longer own the worker and says that a run is not there.
#[rstest]
fn uncertain_owner_denies_nothing() {
    let mut harness = WorkerOwnerHarness::new();
    order_stop(&mut harness, 7);
    harness.wait(50);
    assert_eq!(harness.reported_ends(), []);
}

/// Guards against a late stop or pace that reaches a run of the worker's next life: each names its
/// run, and no later run of the task bears the same number.
#[rstest]
fn numbers_rise(#[values(1, 2, 3)] seed: u64, #[values(false, true)] owners_too: bool) {
    let restarts = (0..WORKERS).fold(FaultPlan::new(), |plan, worker| {
        plan.with_fault(RESTART_AT_MS, FaultKind::RestartWorker { worker })
    });
    let plan = match owners_too {
        true => (0..NODES).fold(restarts, |plan, node| {
            let kill = FaultKind::KillNode { node, down_ms: 300 };
            plan.with_fault(RESTART_AT_MS, kill)
        }),
        false => restarts,
    };
    let mut world = cut_fleet(seed, plan, &lasting_job(), None);
    let jobs: Vec<JobId> = world.jobs().keys().copied().collect();
    let before: Vec<_> = jobs.iter().map(|job| world.running_numbers(*job)).collect();
    world.run_for(12_000);
    for (job, before) in jobs.into_iter().zip(before) {
        let after = world.running_numbers(job);
        assert_eq!(after.len(), before.len(), "job {job} has lost a task");
        for (after, before) in after.into_iter().zip(before) {
            assert!(after > before, "job {job}: {after:?} after {before:?}");
        }
    }
}
