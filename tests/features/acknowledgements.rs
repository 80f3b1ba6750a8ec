//! How the owner of a worker acknowledges recorded ends.

use rstest::rstest;
use turmericfold_fleet::{StartOutcome, WorkerChange, WorkerResult};
use turmericfold_platform::{PlatformError, StartReply, WorkerEntry};
use turmericfold_tests::ended_run::{EndedRun, behaviour};
use turmericfold_tests::worker_owner::entry;
use turmericfold_types::MonotonicMs;

/// The number of tokens of one epoch.
const TOKENS_PER_EPOCH: u64 = 1_024;

/// Restarts the worker so often that no higher token is left, and lets its owner poll it.
fn exhaust_tokens(ended: &mut EndedRun) {
    for _ in 0..TOKENS_PER_EPOCH {
        let now = MonotonicMs(ended.harness.driven.now_ms);
        ended.worker.restart(now);
        for _ in 0..2 {
            ended.harness.wait(150);
            ended.harness.poll_and_answer(&mut ended.worker);
        }
    }
}

fn poll_without_answer() -> WorkerResult {
    WorkerResult::Poll(Err(PlatformError::unknown("no answer")))
}

/// Guards against a start that overtakes an acknowledgement for the former life of the worker.
#[test]
fn starts_wait() {
    let mut ended = EndedRun::new();
    let (call, poll) = ended.take_acknowledgement();
    ended.harness.order_run(2);
    ended.harness.wait(50);
    assert_eq!(ended.started_calls(), 0, "the start did not wait");
    ended.answer_poll(call, &poll);
    assert_eq!(ended.started_calls(), 1, "the start still waits");
}

/// Guards against an acknowledgement without an answer that takes effect after a later start.
#[test]
fn unanswered_is_fenced() {
    let mut ended = EndedRun::new();
    let (call, poll) = ended.take_acknowledgement();
    ended.harness.answer(call, poll_without_answer());
    ended.harness.wait(150);
    let (next_call, next_poll) = ended.harness.take_poll_call();
    assert_eq!(next_poll.acknowledged_up_to, 0);
    assert!(next_poll.token > poll.token, "the token has not risen");
    ended.answer_poll(next_call, &next_poll);
    let (again_call, again_poll) = ended.harness.take_poll_call();
    assert_eq!(again_poll.acknowledged_up_to, 1, "it is not sent again");
    ended.answer_poll(again_call, &again_poll);
    ended.harness.order_run(2);
    let (_, start) = ended.harness.take_start_call();
    assert!(start.token > poll.token, "{} is too low", start.token);
}

/// Guards against orders that wait for seconds on a worker that may get no starts, as no higher
/// token is left for them.
#[test]
fn held_worker_refuses_orders() {
    let mut ended = EndedRun::new();
    ended.record_end();
    exhaust_tokens(&mut ended);
    ended.run_next();
    let (call, poll) = ended.take_acknowledgement();
    ended.harness.answer(call, poll_without_answer());
    ended.harness.wait(150);
    let (next_call, next_poll) = ended.harness.take_poll_call();
    assert_eq!(next_poll.token, poll.token, "a higher token is left");
    ended.answer_poll(next_call, &next_poll);
    ended.harness.outcomes();
    ended.harness.order_run(ended.number + 1);
    let outcomes = ended.harness.outcomes();
    assert!(
        matches!(outcomes[..], [StartOutcome::Refused(_)]),
        "{outcomes:?}"
    );
}

/// Guards against an acknowledgement after a start that may have reached a later life.
#[test]
fn start_delays_it() {
    let mut ended = EndedRun::new();
    ended.harness.order_run(2);
    let (start_call, start) = ended.harness.take_start_call();
    let now = MonotonicMs(ended.harness.driven.now_ms);
    let reply = ended.worker.start(now, &start, behaviour());
    ended
        .harness
        .answer(start_call, WorkerResult::Start(Ok(reply)));
    ended.record_end();
    let (call, poll) = ended.harness.take_poll_call();
    assert_eq!(poll.acknowledged_up_to, 0, "the start is not settled");
    ended.answer_poll(call, &poll);
    ended.harness.wait(30);
    let (_, poll) = ended.harness.take_poll_call();
    assert_eq!(poll.acknowledged_up_to, 1, "the start is settled");
}

/// Guards against taking the clock of the next life for that of the former one, when the answers
/// of both have waited in a paused process.
#[test]
fn paused_owner_acknowledges_nothing() {
    let mut ended = EndedRun::new();
    let harness = &mut ended.harness;
    harness.wait(8_000);
    harness.poll_and_answer(&mut ended.worker);
    harness.wait(150);
    let (poll_call, listing) = harness.poll(&mut ended.worker);
    harness.order_run(2);
    let (start_call, start) = harness.take_start_call();
    let paused_at_ms = harness.driven.now_ms;
    ended.worker.restart(MonotonicMs(paused_at_ms + 1_000));
    let started_at = MonotonicMs(paused_at_ms + 10_500);
    let reply = ended.worker.start(started_at, &start, behaviour());
    assert!(matches!(reply, StartReply::Started { .. }), "{reply:?}");
    harness.driven.now_ms += 12_000;
    harness.answer(poll_call, listing);
    harness.answer(start_call, WorkerResult::Start(Ok(reply)));
    ended.record_end();
    let (_, poll) = ended.harness.take_poll_call();
    assert_eq!(poll.acknowledged_up_to, 0, "the next life loses ends");
}

/// Guards against an acknowledgement and a deadline of the former life at a new address.
#[test]
fn moved_worker_gets_none() {
    let mut ended = EndedRun::new();
    let (_, poll) = ended.take_acknowledgement();
    let moved = WorkerEntry {
        address: "10.1.0.2:8000".into(),
        ..entry()
    };
    let changes = vec![WorkerChange::Registered(moved)];
    ended.harness.driven.change_workers(changes);
    ended.harness.wait(150);
    let (_, next_poll) = ended.harness.take_poll_call();
    assert_eq!(next_poll.acknowledged_up_to, 0);
    assert_eq!(next_poll.lease_until_ms, None);
    assert!(next_poll.token > poll.token, "the token has not risen");
}

/// How long the worker has been up when the tests of its clock begin, in milliseconds.
const UP_MS: u64 = 10_000;

/// Starts the second run on a worker that has been up for a while, with the clock in the answer that
/// `clock_ms` chooses from the true one.
fn start_with_clock<Choose>(clock_ms: Choose) -> EndedRun
where
    Choose: Fn(u64) -> u64,
{
    let mut ended = EndedRun::new();
    ended.harness.wait(UP_MS);
    for _ in 0..2 {
        ended.harness.wait(150);
        ended.harness.poll_and_answer(&mut ended.worker);
    }
    ended.harness.order_run(2);
    let (call, start) = ended.harness.take_start_call();
    let now = MonotonicMs(ended.harness.driven.now_ms);
    ended.worker.start(now, &start, behaviour());
    let reply = StartReply::Started {
        clock_ms: Some(clock_ms(now.0)),
    };
    ended.harness.answer(call, WorkerResult::Start(Ok(reply)));
    ended
}

/// Guards against a poll for each start, where the clock in its answer shows the life.
#[test]
fn clock_settles_a_start() {
    let mut ended = start_with_clock(|now_ms| now_ms);
    ended.take_acknowledgement();
}

/// Guards against an acknowledgement after a start whose answer shows the clock of a new life.
#[rstest]
fn new_clock_settles_nothing(#[values(0, 40, 1_000)] clock_ms: u64) {
    let mut ended = start_with_clock(|_| clock_ms);
    ended.record_end();
    ended.harness.wait(30);
    let (_, poll) = ended.harness.take_poll_call();
    assert_eq!(poll.acknowledged_up_to, 0);
}
