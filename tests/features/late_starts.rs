//! Starts of runs that their worker's owner could not send for a while.

use rstest::rstest;
use turmericfold_fleet::{Event, WorkerCall, WorkerRequest, WorkerResult};
use turmericfold_platform::{PlatformError, StoreVersion};
use turmericfold_standin::TaskWorkerModel;
use turmericfold_tests::node_parts::{member_change, process};
use turmericfold_tests::worker_owner::{WorkerOwnerHarness, entry, no_answer};
use turmericfold_types::MonotonicMs;

/// The time between two steps of a test, in milliseconds.
const STEP_MS: u64 = 50;

/// When the run is ordered, in milliseconds: the registration of its owner was granted at 1 s, for
/// 2 s.
const ORDERED_AT_MS: u64 = 2_750;

/// The time after which a call counts as lost, in milliseconds.
const TIMEOUT_MS: u64 = 250;

/// The time after which the owner of the job takes an order back, in milliseconds.
const STOP_AFTER_MS: u64 = 4_000;

/// The time for which the worker answers in the end, in milliseconds.
const ANSWERING_MS: u64 = 2_000;

fn answer_polls(harness: &mut WorkerOwnerHarness, worker: &mut TaskWorkerModel) {
    for request in std::mem::take(&mut harness.driven.out.workers) {
        let now = MonotonicMs(harness.driven.now_ms);
        let result = match request.worker_call {
            WorkerCall::Poll(poll) => WorkerResult::Poll(Ok(worker.poll(now, &poll))),
            other => other.failed(PlatformError::unknown("no answer")),
        };
        harness.answer(request.call, result);
    }
}

fn lose_calls(harness: &mut WorkerOwnerHarness) {
    for request in std::mem::take(&mut harness.driven.out.workers) {
        let error = PlatformError::unknown("no answer");
        harness.answer(request.call, request.worker_call.failed(error));
    }
}

/// Guards against the start of a run whose order the owner of its job has taken back, by a stop that
/// a cut holds.
#[rstest]
fn old_start_is_given_up(#[values(4_300, 4_600)] back_after_ms: u64) {
    let mut harness = WorkerOwnerHarness::new();
    let mut worker = TaskWorkerModel::new(entry().capacity, MonotonicMs(0));
    harness.answer_registration(true);
    let peer = member_change(process(1, 1), StoreVersion(2));
    harness.driven.deliver(Event::KeysChanged(vec![peer]));
    while harness.driven.now_ms < ORDERED_AT_MS {
        harness.wait(STEP_MS);
        answer_polls(&mut harness, &mut worker);
    }
    harness.order_run(1);
    let ordered_at_ms = harness.driven.now_ms;
    let call = harness.take_start();
    harness.wait(TIMEOUT_MS);
    harness.answer(call, no_answer());
    while harness.driven.now_ms < ordered_at_ms + back_after_ms {
        lose_calls(&mut harness);
        harness.wait(STEP_MS);
    }
    let is_start = |request: &WorkerRequest| matches!(request.worker_call, WorkerCall::Start(_));
    for _ in 0..ANSWERING_MS / STEP_MS {
        harness.answer_registration(false);
        harness.wait(STEP_MS);
        let age_ms = harness.driven.now_ms - ordered_at_ms;
        let starts = harness.driven.out.workers.iter().any(is_start);
        assert!(
            !starts || age_ms < STOP_AFTER_MS,
            "a start call is sent {age_ms} ms after the order"
        );
        answer_polls(&mut harness, &mut worker);
    }
}
