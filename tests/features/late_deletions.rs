//! Deletions of the owners of departed workers that take effect late.

use turmericfold_fleet::{Event, StartOutcome, StartRefusal, WorkerChange, WorkerResult};
use turmericfold_platform::{PlatformError, StoreCall};
use turmericfold_standin::TaskWorkerModel;
use turmericfold_tests::worker_owner::{WORKER, WorkerOwnerHarness, entry};
use turmericfold_types::{InstanceName, MonotonicMs};

/// The time after which a worker without a registration that does not answer has departed, in
/// milliseconds: more than its lease.
const DEPARTED_MS: u64 = 6_000;

/// Guards against runs on a worker that is back, whose owner a late call may still delete: the
/// owners of jobs would take them as over.
#[test]
fn released_worker_starts_nothing() {
    let mut harness = WorkerOwnerHarness::new();
    let mut worker = TaskWorkerModel::new(entry().capacity, MonotonicMs(0));
    harness.wait(150);
    let (poll, _) = harness.take_poll_call();
    let no_answer = || PlatformError::unknown("no answer");
    harness.answer(poll, WorkerResult::Poll(Err(no_answer())));
    let gone = WorkerChange::Unregistered(InstanceName::new(WORKER));
    harness.driven.change_workers(vec![gone]);
    harness.wait(DEPARTED_MS);
    let mut calls = std::mem::take(&mut harness.driven.out.store).into_iter();
    let deletion = calls.rfind(|request| match &request.store_call {
        StoreCall::Transact(transaction) => !transaction.remove.is_empty(),
        _ => false,
    });
    let call = deletion.expect("the owner is not deleted").call;
    let result = Err(no_answer());
    harness.driven.deliver(Event::Store { call, result });
    let back = WorkerChange::Registered(entry());
    harness.driven.change_workers(vec![back]);
    harness.wait(1_000);
    if let Some((call, result)) = harness.poll_if_sent(&mut worker) {
        harness.answer(call, result);
    }
    harness.order_start();
    let refused = StartOutcome::Refused(StartRefusal::NotOwner);
    assert_eq!(harness.outcomes(), [refused]);
}
