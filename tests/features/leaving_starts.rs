//! Starts that wait, or are sent again, while their worker says that it leaves.

use rstest::rstest;
use turmericfold_fleet::{
    Event, JobShard, RunDetails, StartOutcome, StartRefusal, WorkerCall, WorkerChange,
    WorkerRequest, WorkerResult,
};
use turmericfold_platform::{PlatformError, PollReply, StartReply, StoreVersion, WorkerEntry};
use turmericfold_tests::ended_run::EndedRun;
use turmericfold_tests::node_parts::{owner_change, process, run};
use turmericfold_tests::worker_owner::{JOB, WORKER, WorkerOwnerHarness, entry, no_answer};
use turmericfold_types::{InstanceName, MonotonicMs, Resources};

/// The time between two steps of a test, in milliseconds.
const STEP_MS: u64 = 50;

/// The time for which a start is awaited, in milliseconds: longer than all that holds one here.
const WATCHED_MS: u64 = 6_000;

/// The time from which an order starts nothing, in milliseconds.
const MAX_AGE_MS: u64 = 2_000;

/// What is known of the worker from some moment on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum News {
    Nothing,
    Leaves,
    Unregistered,
}

fn learn(harness: &mut WorkerOwnerHarness, news: News) {
    let change = match news {
        News::Nothing => return,
        News::Leaves => WorkerChange::Registered(WorkerEntry {
            draining: true,
            remaining_ms: Some(5_000),
            ..entry()
        }),
        News::Unregistered => WorkerChange::Unregistered(InstanceName::new(WORKER)),
    };
    harness.driven.change_workers(vec![change]);
}

fn is_start(request: &WorkerRequest) -> bool {
    matches!(request.worker_call, WorkerCall::Start(_))
}

fn is_stop(request: &WorkerRequest) -> bool {
    matches!(request.worker_call, WorkerCall::Stop(_))
}

fn poll_reply() -> WorkerResult {
    WorkerResult::Poll(Ok(PollReply::Runs {
        clock_ms: 10,
        started_ms: 1,
        running: Vec::new(),
        finished: Vec::new(),
    }))
}

/// The calls that the owner of a worker has sent.
#[derive(Debug, Default, PartialEq, Eq)]
struct SentCalls {
    starts: usize,
    stops: usize,
}

/// Lets time pass; polls are answered, stops accepted, and starts get no answer.
fn watch(harness: &mut WorkerOwnerHarness) -> SentCalls {
    let mut sent = SentCalls::default();
    for _ in 0..WATCHED_MS / STEP_MS {
        harness.wait(STEP_MS);
        for request in std::mem::take(&mut harness.driven.out.workers) {
            sent.starts += usize::from(is_start(&request));
            sent.stops += usize::from(is_stop(&request));
            let result = match request.worker_call {
                WorkerCall::Poll(_) => poll_reply(),
                WorkerCall::Stop(_) => WorkerResult::Stop(Ok(())),
                other => other.failed(PlatformError::unknown("no answer")),
            };
            harness.answer(request.call, result);
        }
    }
    sent
}

/// Guards against a start that is sent again to a worker that leaves or is not registered, as the first
/// call had no answer.
#[rstest]
#[case("the worker stays", News::Nothing, 1)]
#[case("it leaves", News::Leaves, 0)]
#[case("it is not registered", News::Unregistered, 0)]
fn unanswered_not_repeated(
    #[case] scenario: &str,
    #[case] news: News,
    #[case] repeated: usize,
    #[values(false, true)] learned_before_timeout: bool,
) {
    let mut harness = WorkerOwnerHarness::new();
    harness.order_start();
    let call = harness.take_start();
    if learned_before_timeout {
        learn(&mut harness, news);
    }
    harness.driven.now_ms += 700;
    harness.answer(call, no_answer());
    if !learned_before_timeout {
        learn(&mut harness, news);
    }
    let sent = watch(&mut harness);
    assert_eq!(sent.starts, repeated, "{scenario}");
    assert!(sent.stops > 0, "{scenario}: the run may be in progress");
}

/// Guards against a start that waits for the answer to an acknowledgement and is sent after the worker
/// has said that it leaves.
#[rstest]
#[case("the worker stays", News::Nothing, 1)]
#[case("it leaves", News::Leaves, 0)]
#[case("it is not registered", News::Unregistered, 0)]
fn held_not_sent(#[case] scenario: &str, #[case] news: News, #[case] sent: usize) {
    let mut ended = EndedRun::new();
    let (call, poll) = ended.take_acknowledgement();
    ended.harness.outcomes();
    ended.harness.order_run(2);
    ended.harness.wait(STEP_MS);
    learn(&mut ended.harness, news);
    ended.answer_poll(call, &poll);
    assert_eq!(ended.started_calls(), sent, "{scenario}");
    ended.harness.wait(STEP_MS);
    let refused = StartOutcome::Refused(StartRefusal::WorkerUnusable);
    let outcomes = ended.harness.outcomes();
    match news {
        News::Leaves => assert_eq!(outcomes, [refused], "{scenario}"),
        _ => assert_eq!(outcomes, [], "{scenario}"),
    }
}

/// Guards against a start that is sent again under a new token to a worker that leaves.
#[rstest]
#[case(News::Nothing, 1)]
#[case(News::Leaves, 0)]
fn fenced_not_repeated(#[case] news: News, #[case] repeated: usize) {
    let mut ended = EndedRun::new();
    ended.harness.order_run(2);
    let (start, _) = ended.harness.take_start_call();
    // A restart of the worker raises the token.
    let now = MonotonicMs(ended.harness.driven.now_ms);
    ended.worker.restart(now);
    for _ in 0..2 {
        ended.harness.wait(150);
        ended.harness.poll_and_answer(&mut ended.worker);
    }
    learn(&mut ended.harness, news);
    ended
        .harness
        .answer(start, WorkerResult::Start(Ok(StartReply::Fenced)));
    ended.harness.wait(STEP_MS);
    assert_eq!(ended.started_calls(), repeated);
}

/// Guards against a start that is sent once the worker is registered again, though its order is old by
/// then; a short absence only delays it.
#[rstest]
#[case(300, 1)]
#[case(MAX_AGE_MS + 500, 0)]
fn absence_delays_starts(#[case] absent_ms: u64, #[case] sent: usize) {
    let mut ended = EndedRun::new();
    let (call, poll) = ended.take_acknowledgement();
    ended.harness.order_run(2);
    learn(&mut ended.harness, News::Unregistered);
    ended.answer_poll(call, &poll);
    assert_eq!(ended.started_calls(), 0, "it is not registered");
    ended.harness.wait(absent_ms);
    let back = WorkerChange::Registered(entry());
    ended.harness.driven.change_workers(vec![back]);
    ended.harness.wait(STEP_MS);
    assert_eq!(ended.started_calls(), sent);
}

/// Guards against a start that is sent though the job has another owner by then.
#[rstest]
#[case(6, 1)]
#[case(9, 0)]
fn former_owners_start_nothing(#[case] epoch: u64, #[case] sent: usize) {
    let mut ended = EndedRun::new();
    let (call, poll) = ended.take_acknowledgement();
    ended.harness.order_run(2);
    let shard = JobShard::of(JOB);
    let key = format!("turmericfold/fleet/owners/jobs/{shard}");
    let owner = owner_change(&key, process(1, 1), StoreVersion(epoch));
    let changed = Event::KeysChanged(vec![owner]);
    ended.harness.driven.deliver(changed);
    ended.answer_poll(call, &poll);
    assert_eq!(ended.started_calls(), sent);
}

/// Guards against a run that the next owner of the job has adopted and whose start is given up.
#[test]
fn next_owners_keep_runs() {
    let mut harness = WorkerOwnerHarness::new();
    harness.order_start();
    let call = harness.take_start();
    let shard = JobShard::of(JOB);
    let key = format!("turmericfold/fleet/owners/jobs/{shard}");
    let owner = owner_change(&key, process(1, 1), StoreVersion(9));
    harness.driven.deliver(Event::KeysChanged(vec![owner]));
    harness.answer(call, no_answer());
    harness.wait(200);
    harness.take_start();
}

/// Guards against a start for which a worker that has started anew has no room.
#[test]
fn smaller_workers_are_refused() {
    let mut ended = EndedRun::new();
    let (call, poll) = ended.take_acknowledgement();
    ended.harness.outcomes();
    let capacity = entry().capacity;
    let details = |resources: Resources| RunDetails {
        resources,
        wanted_millicores: 1_000,
        filler: false,
        latency_target_ms: None,
        image: "".into(),
        due_ms: 0,
    };
    ended.harness.order_with(run(JOB, 2), details(capacity));
    assert_eq!(ended.started_calls(), 0, "it does not wait");
    let smaller = WorkerChange::Registered(WorkerEntry {
        capacity: Resources::new(1_000, 1 << 30),
        ..entry()
    });
    ended.harness.driven.change_workers(vec![smaller]);
    ended.answer_poll(call, &poll);
    assert_eq!(ended.started_calls(), 0);
    ended.harness.wait(STEP_MS);
    let refused = StartOutcome::Refused(StartRefusal::NoRoom);
    assert_eq!(ended.harness.outcomes(), [refused]);
}
