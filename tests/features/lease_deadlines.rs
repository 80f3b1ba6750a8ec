//! The deadlines that calls ask for, and the leases that calls without an answer grant later.

use rstest::rstest;
use turmericfold_fleet::{Event, PeerMessage, WorkerCall, WorkerRequest, WorkerResult};
use turmericfold_platform::{PlatformError, PollCall, StoreVersion};
use turmericfold_standin::{TaskBehaviour, TaskWorkerModel};
use turmericfold_tests::node_parts::{member_change, process, run};
use turmericfold_tests::worker_owner::{JOB, WorkerOwnerHarness, carry_out, entry};
use turmericfold_types::{MonotonicMs, Resources};

/// The time between two steps of a test, in milliseconds.
const STEP_MS: u64 = 50;

/// The length of the leases that an owner asks for, and what its estimate of the worker's clock may be
/// off by, in milliseconds.
const USUAL_LEASE_MS: u64 = 5_100;

/// The time for which the worker answers before it restarts, in milliseconds.
const FORMER_LIFE_MS: u64 = 12_000;

/// The longest time until the owner notices a restart, in milliseconds.
const NOTICE_MS: u64 = 2_000;

/// The time for which the worker answers after its restart, in milliseconds.
const NEXT_LIFE_MS: u64 = 1_500;

/// The longest time until the owner takes the run as over, in milliseconds.
const EXPIRY_MS: u64 = 45_000;

/// A call that takes effect late, with the time of that.
struct LateCall {
    due_at_ms: u64,
    poll: PollCall,
}

/// An owner, and its worker, of which one poll takes effect late.
struct Fleet {
    harness: WorkerOwnerHarness,
    worker: TaskWorkerModel,
    late: Option<LateCall>,
    /// The most time that a call has asked for beyond the present time of the worker's clock.
    longest_ask_ms: u64,
}

impl Fleet {
    fn new() -> Self {
        let mut harness = WorkerOwnerHarness::new();
        harness.answer_registration(true);
        let peer = member_change(process(1, 1), StoreVersion(2));
        harness.driven.deliver(Event::KeysChanged(vec![peer]));
        let worker = TaskWorkerModel::new(entry().capacity, MonotonicMs(0));
        Self {
            harness,
            worker,
            late: None,
            longest_ask_ms: 0,
        }
    }

    fn now(&self) -> MonotonicMs {
        MonotonicMs(self.harness.driven.now_ms)
    }

    /// Lets time pass, and a late call take effect if its time has come.
    fn step(&mut self) {
        self.harness.wait(STEP_MS);
        self.harness.answer_registration(true);
        let now = self.now();
        if let Some(late) = self.late.take_if(|late| late.due_at_ms <= now.0) {
            self.worker.poll(now, &late.poll);
        }
        self.worker.advance(now);
    }

    fn take_calls(&mut self) -> Vec<WorkerRequest> {
        std::mem::take(&mut self.harness.driven.out.workers)
    }

    /// Lets the worker answer all calls for a while.
    fn answer_for(&mut self, for_ms: u64) {
        let until_ms = self.now().0 + for_ms;
        while self.now().0 < until_ms {
            for request in self.take_calls() {
                self.note_deadline(&request.worker_call);
                let now = self.now();
                let result = carry_out(&mut self.worker, now, &request.worker_call, behaviour());
                self.harness.answer(request.call, result);
            }
            self.step();
        }
    }

    fn note_deadline(&mut self, call: &WorkerCall) {
        let deadline_ms = match call {
            WorkerCall::Poll(poll) => poll.lease_until_ms,
            WorkerCall::Start(start) => Some(start.lease_until_ms),
            _ => None,
        };
        let clock_ms = self.now().0 + 1 - self.worker.started_ms();
        let ask_ms = deadline_ms.unwrap_or_default().saturating_sub(clock_ms);
        self.longest_ask_ms = self.longest_ask_ms.max(ask_ms);
    }

    /// Restarts the worker, and lets its owner learn of that from a poll.
    fn restart(&mut self) {
        let now = self.now();
        self.worker.restart(now);
        for _ in 0..NOTICE_MS / STEP_MS {
            if let Some((call, result)) = self.harness.poll_if_sent(&mut self.worker) {
                self.harness.answer(call, result);
            }
            self.step();
            if self.has_raised_token() {
                return;
            }
        }
        panic!("the owner has not noticed the restart");
    }

    /// Returns whether the next poll bears a token that the worker has not seen.
    fn has_raised_token(&self) -> bool {
        let workers = &self.harness.driven.out.workers;
        let token = workers
            .iter()
            .find_map(|request| match &request.worker_call {
                WorkerCall::Poll(poll) => Some(poll.token),
                _ => None,
            });
        token.is_some_and(|token| token % 2 == 1)
    }

    /// Lets the next poll have no answer, and take effect late.
    fn lose_next_poll(&mut self, late_ms: u64) {
        let (call, poll) = self.harness.take_poll_call();
        self.note_deadline(&WorkerCall::Poll(poll.clone()));
        let due_at_ms = self.now().0 + late_ms;
        self.late = Some(LateCall { due_at_ms, poll });
        let error = PlatformError::unknown("no answer");
        self.harness.answer(call, WorkerResult::Poll(Err(error)));
    }

    /// Loses all calls until the owner reports the run as over.
    fn await_end(&mut self) {
        for _ in 0..EXPIRY_MS / STEP_MS {
            for request in self.take_calls() {
                let error = PlatformError::unknown("no answer");
                let result = request.worker_call.failed(error);
                self.harness.answer(request.call, result);
            }
            self.step();
            if self.has_reported_end() {
                return;
            }
        }
        panic!("the run was not reported as over");
    }

    fn has_reported_end(&mut self) -> bool {
        let messages = std::mem::take(&mut self.harness.driven.out.messages);
        let mut ends = messages
            .into_values()
            .flatten()
            .filter_map(|message| match message {
                PeerMessage::RunsExpired { ends, .. } | PeerMessage::EndsReported { ends, .. } => {
                    Some(ends)
                }
                _ => None,
            })
            .flatten();
        ends.any(|end| end.ended.run == run(JOB, 1))
    }
}

/// Returns how the runs behave.
fn behaviour() -> TaskBehaviour {
    TaskBehaviour {
        resources: Resources::default(),
        work_ms: None,
        always_fails: false,
    }
}

/// Guards against a run that counts as over while the lease that a poll without an answer has
/// granted later is valid.
#[rstest]
fn late_polls_renew(#[values(2_000, 4_000, 6_000, 8_000, 10_000, 11_900)] late_ms: u64) {
    let mut fleet = Fleet::new();
    fleet.answer_for(FORMER_LIFE_MS);
    fleet.restart();
    fleet.lose_next_poll(late_ms);
    fleet.answer_for(NEXT_LIFE_MS);
    fleet.harness.order_run(1);
    fleet.answer_for(STEP_MS);
    assert_eq!(fleet.worker.run_count(), 1, "the run has not started");
    fleet.await_end();
    assert_eq!(fleet.worker.run_count(), 0, "the run goes on");
}

/// Guards against calls that ask for as long a lease as their sender reckons with.
#[rstest]
fn usual_leases_are_asked_for() {
    let mut fleet = Fleet::new();
    fleet.answer_for(FORMER_LIFE_MS);
    fleet.restart();
    fleet.lose_next_poll(0);
    fleet.harness.order_run(1);
    fleet.answer_for(NEXT_LIFE_MS);
    assert!(
        fleet.longest_ask_ms <= USUAL_LEASE_MS,
        "{} ms",
        fleet.longest_ask_ms
    );
}
