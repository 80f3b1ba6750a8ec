//! How a worker's owner handles start calls whose outcome is unknown.

use turmericfold_fleet::Event;
use turmericfold_fleet::{StartOutcome, WorkerResult};
use turmericfold_jobs::RunEnd;
use turmericfold_platform::{StartReply, StoreVersion};
use turmericfold_standin::{TaskBehaviour, TaskWorkerModel};
use turmericfold_tests::worker_owner::{WORKER_EPOCH, WorkerOwnerHarness, entry, no_answer};
use turmericfold_types::{MonotonicMs, Resources};

fn behaviour() -> TaskBehaviour {
    TaskBehaviour {
        resources: Resources::default(),
        work_ms: None,
        always_fails: false,
    }
}

/// A start call without an answer may have started the run before a later owner raised
/// the fencing token of the worker. That the second call is refused as fenced does not
/// show that the first call had no effect.
#[test]
fn fenced_after_doubt() {
    let mut harness = WorkerOwnerHarness::new();
    harness.order_start();
    let first = harness.take_start();
    harness.answer(first, no_answer());
    harness.driven.now_ms += 300;
    harness.driven.deliver(Event::Tick);
    let second = harness.take_start();
    harness.answer(second, WorkerResult::Start(Ok(StartReply::Fenced)));
    assert_eq!(harness.outcomes(), [], "the run may have started");
}

#[test]
fn fenced_at_first() {
    let mut harness = WorkerOwnerHarness::new();
    harness.order_start();
    let first = harness.take_start();
    harness.answer(first, WorkerResult::Start(Ok(StartReply::Fenced)));
    let outcomes = harness.outcomes();
    assert!(
        matches!(outcomes[..], [StartOutcome::Refused(_)]),
        "{outcomes:?}"
    );
}

/// Guards against a late start of a run that ended with an earlier start of its worker.
#[test]
fn late_start_is_fenced() {
    let mut harness = WorkerOwnerHarness::new();
    let mut worker = TaskWorkerModel::new(entry().capacity, MonotonicMs(0));
    harness.order_start();
    let (first, start) = harness.take_start_call();
    worker.start(MonotonicMs(harness.driven.now_ms), &start, behaviour());
    harness.answer(first, no_answer());
    harness.wait(50);
    let (poll, listing) = harness.poll(&mut worker);
    worker.restart(MonotonicMs(harness.driven.now_ms));
    harness.wait(150);
    let (_, late) = harness.take_start_call();
    harness.answer(poll, listing);
    for _ in 0..2 {
        harness.wait(150);
        harness.poll_and_answer(&mut worker);
    }
    assert_eq!(harness.reported_ends(), [RunEnd::Lapsed]);
    let reply = worker.start(MonotonicMs(harness.driven.now_ms), &late, behaviour());
    assert_eq!(reply, StartReply::Fenced);
}

/// Guards against a start on a restarted worker that still obeys late calls.
#[test]
fn starts_wait_for_token() {
    let mut harness = WorkerOwnerHarness::new();
    harness.wait(50);
    harness.answer_poll(2);
    harness.order_start();
    let outcomes = harness.outcomes();
    assert!(
        matches!(outcomes[..], [StartOutcome::Refused(_)]),
        "{outcomes:?}"
    );
}

/// Guards against a start that is given up as the token has risen since it was sent.
#[test]
fn fenced_by_own_token() {
    let mut harness = WorkerOwnerHarness::new();
    harness.order_start();
    let (first, early) = harness.take_start_call();
    for _ in 0..2 {
        harness.wait(50);
        harness.answer_poll(2);
    }
    harness.answer(first, WorkerResult::Start(Ok(StartReply::Fenced)));
    assert_eq!(harness.outcomes(), [], "no later owner is known");
    harness.wait(50);
    let (_, again) = harness.take_start_call();
    assert!(again.token > early.token, "{} is too low", again.token);
}

/// Guards against an earlier owner that a later one does not fence after many restarts.
#[test]
fn later_epoch_outranks_restarts() {
    let mut harness = WorkerOwnerHarness::new();
    let mut token = 0;
    for started_ms in 2..1_200 {
        harness.wait(50);
        let poll = harness.answer_poll(started_ms);
        assert!(poll.token >= token, "{} is too low", poll.token);
        token = poll.token;
    }
    let later_epoch = StoreVersion(WORKER_EPOCH.0 + 1);
    let mut later = WorkerOwnerHarness::with_worker_epoch(later_epoch);
    later.wait(50);
    let poll = later.answer_poll(1);
    assert!(poll.token > token, "{} is too low", poll.token);
}
