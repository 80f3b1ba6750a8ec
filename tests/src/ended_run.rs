//! The owner of a worker that has ended a run.

use turmericfold_fleet::{CallId, Event, PeerMessage, WorkerCall, WorkerResult};
use turmericfold_platform::PollCall;
use turmericfold_standin::{TaskBehaviour, TaskWorkerModel};
use turmericfold_types::{InstanceName, MonotonicMs, Resources};

use crate::node_parts::{process, run};
use crate::worker_owner::{JOB, WORKER, WorkerOwnerHarness, entry};

/// How long the runs work, in milliseconds.
pub const WORK_MS: u64 = 30;

/// An owner whose worker has ended a run, and the worker.
pub struct EndedRun {
    /// The owner.
    pub harness: WorkerOwnerHarness,
    /// The worker.
    pub worker: TaskWorkerModel,
    /// The number of the last run.
    pub number: u64,
}

impl Default for EndedRun {
    fn default() -> Self {
        Self::new()
    }
}

impl EndedRun {
    /// Creates them; the owner has listed the end, which is not recorded yet.
    pub fn new() -> Self {
        let harness = WorkerOwnerHarness::new();
        let worker = TaskWorkerModel::new(entry().capacity, MonotonicMs(0));
        let mut ended = Self {
            harness,
            worker,
            number: 0,
        };
        ended.run_next();
        ended
    }

    /// Starts the next run, and lets the owner list its end.
    pub fn run_next(&mut self) {
        self.number += 1;
        self.harness.order_run(self.number);
        let (call, start) = self.harness.take_start_call();
        let now = MonotonicMs(self.harness.driven.now_ms);
        let reply = self.worker.start(now, &start, behaviour());
        self.harness.answer(call, WorkerResult::Start(Ok(reply)));
        self.harness.wait(WORK_MS + 20);
        self.harness.poll_and_answer(&mut self.worker);
        // A poll of the same life after the start has been answered.
        self.harness.wait(150);
        self.harness.poll_and_answer(&mut self.worker);
    }

    /// Reports that the end of the last run is recorded.
    pub fn record_end(&mut self) {
        self.harness.driven.deliver(Event::Peer {
            from: process(1, 1),
            messages: vec![PeerMessage::EndsRecorded {
                worker: InstanceName::new(WORKER),
                runs: vec![run(JOB, self.number)],
            }],
        });
    }

    /// Lets the worker answer a poll.
    pub fn answer_poll(&mut self, call: CallId, poll: &PollCall) {
        let now = MonotonicMs(self.harness.driven.now_ms);
        let reply = self.worker.poll(now, poll);
        self.harness.answer(call, WorkerResult::Poll(Ok(reply)));
    }

    /// Returns the number of start calls that the test has not taken.
    pub fn started_calls(&self) -> usize {
        let calls = self.harness.driven.out.workers.iter();
        calls
            .filter(|request| matches!(request.worker_call, WorkerCall::Start(_)))
            .count()
    }

    /// Takes the poll that acknowledges the end.
    ///
    /// # Panics
    ///
    /// Panics if it acknowledges another end, or waits for ends.
    pub fn take_acknowledgement(&mut self) -> (CallId, PollCall) {
        self.record_end();
        let (call, poll) = self.harness.take_poll_call();
        assert_eq!(poll.acknowledged_up_to, 1);
        assert_eq!(poll.wait_ms, 0, "starts would wait for ends");
        (call, poll)
    }
}

/// Returns how the runs behave.
pub fn behaviour() -> TaskBehaviour {
    TaskBehaviour {
        resources: Resources::default(),
        work_ms: Some(WORK_MS),
        always_fails: false,
    }
}
