//! Runs that have not started when they are reported as over.

use rstest::rstest;
use turmericfold_fleet::{Event, PeerMessage, StartOutcome, WorkerCall, WorkerRequest};
use turmericfold_platform::{PlatformError, StoreVersion};
use turmericfold_standin::{TaskBehaviour, TaskWorkerModel};
use turmericfold_tests::node_parts::{member_change, process, run};
use turmericfold_tests::worker_owner::{
    JOB, WORKER, WorkerOwnerHarness, carry_out, entry, no_answer,
};
use turmericfold_types::{InstanceName, MonotonicMs, Resources};

/// The time between two steps of a test, in milliseconds.
const STEP_MS: u64 = 50;

/// When the run is ordered whose owner loses its registration, in milliseconds: the registration was
/// granted at 1 s, for 2 s.
const ORDERED_AT_MS: u64 = 2_750;

/// The time after which a call counts as lost, in milliseconds.
const TIMEOUT_MS: u64 = 250;

/// The time after which the lease of a start call has expired, in milliseconds.
const EXPIRY_MS: u64 = 5_500;

/// The longest time for which the tests wait for a report, in milliseconds.
const REPORT_MS: u64 = 10_000;

/// The time for which the worker answers after the report, in milliseconds.
const ANSWERING_MS: u64 = 2_000;

/// Why the start of a run is still due when the run is reported as over.
#[derive(Debug, Clone, Copy)]
enum Cause {
    /// It was not answered, and its owner lost its registration.
    Unregistered,
    /// It waits for the answer to an acknowledgement.
    Acknowledging,
}

/// An owner that has ordered a run, and its worker, which does not know the run.
struct Ordered {
    harness: WorkerOwnerHarness,
    worker: TaskWorkerModel,
    /// The run.
    number: u64,
    /// Until when the store does not answer.
    store_back_at_ms: u64,
}

impl Ordered {
    fn new(cause: Cause) -> Self {
        let mut ordered = Self {
            harness: WorkerOwnerHarness::new(),
            worker: TaskWorkerModel::new(entry().capacity, MonotonicMs(0)),
            number: 1,
            store_back_at_ms: 0,
        };
        ordered.harness.answer_registration(true);
        let peer = member_change(process(1, 1), StoreVersion(2));
        ordered
            .harness
            .driven
            .deliver(Event::KeysChanged(vec![peer]));
        match cause {
            Cause::Unregistered => ordered.lose_registration(),
            Cause::Acknowledging => ordered.lose_acknowledgement(),
        }
        ordered
    }

    /// Orders the run just before the registration ends; its start call is lost.
    fn lose_registration(&mut self) {
        while self.harness.driven.now_ms < ORDERED_AT_MS {
            self.harness.wait(STEP_MS);
            self.answer_calls();
        }
        self.harness.order_run(self.number);
        let call = self.harness.take_start();
        self.store_back_at_ms = self.harness.driven.now_ms + EXPIRY_MS;
        self.harness.wait(TIMEOUT_MS);
        self.harness.answer(call, no_answer());
    }

    /// Orders the run during an acknowledgement of another one, which is lost.
    fn lose_acknowledgement(&mut self) {
        self.harness.order_run(self.number);
        self.answer_calls();
        for _ in 0..4 {
            self.harness.wait(STEP_MS);
            self.answer_calls();
        }
        let runs = vec![run(JOB, self.number)];
        let worker = InstanceName::new(WORKER);
        self.receive(PeerMessage::EndsRecorded { worker, runs });
        self.harness.wait(STEP_MS);
        self.number += 1;
        self.harness.order_run(self.number);
        let calls = &self.harness.driven.out.workers;
        assert!(!calls.iter().any(is_start), "the start does not wait");
    }

    fn receive(&mut self, message: PeerMessage) {
        let (from, messages) = (process(1, 1), vec![message]);
        self.harness.driven.deliver(Event::Peer { from, messages });
    }

    fn take_calls(&mut self) -> Vec<WorkerRequest> {
        std::mem::take(&mut self.harness.driven.out.workers)
    }

    /// Lets the worker answer all calls.
    fn answer_calls(&mut self) {
        for request in self.take_calls() {
            let now = MonotonicMs(self.harness.driven.now_ms);
            let result = carry_out(&mut self.worker, now, &request.worker_call, behaviour());
            self.harness.answer(request.call, result);
        }
    }

    /// Loses all calls until the owner reports that the run is over. The calls that it makes then
    /// stay.
    fn await_report(&mut self) {
        for _ in 0..REPORT_MS / STEP_MS {
            for request in self.take_calls() {
                let error = PlatformError::unknown("no answer");
                let result = request.worker_call.failed(error);
                self.harness.answer(request.call, result);
            }
            self.harness.wait(STEP_MS);
            if self.harness.driven.now_ms >= self.store_back_at_ms {
                let is_renewed = self.store_back_at_ms == 0;
                self.harness.answer_registration(is_renewed);
            }
            if self.has_reported_over() {
                return;
            }
        }
        panic!("the run was not reported as over");
    }

    /// Returns whether the owner has told the owner of the job that the run is over: that its lease has
    /// expired, or that it never starts.
    fn has_reported_over(&mut self) -> bool {
        let messages = std::mem::take(&mut self.harness.driven.out.messages);
        let runs_of = |message| match message {
            PeerMessage::RunsExpired { ends, .. } => ends.iter().map(|end| end.ended.run).collect(),
            PeerMessage::StartAnswer {
                run,
                outcome: StartOutcome::Refused(_),
                ..
            } => vec![run],
            _ => Vec::new(),
        };
        let over = messages.into_values().flatten().flat_map(runs_of);
        let run = run(JOB, self.number);
        over.into_iter().any(|it| it == run)
    }
}

fn is_start(request: &WorkerRequest) -> bool {
    matches!(request.worker_call, WorkerCall::Start(_))
}

/// Returns how the runs behave.
fn behaviour() -> TaskBehaviour {
    TaskBehaviour {
        resources: Resources::default(),
        work_ms: Some(STEP_MS / 2),
        always_fails: false,
    }
}

/// Guards against a start of a run that was reported as over, whose task may run elsewhere by then.
#[rstest]
fn reported_runs_never_start(
    #[values(Cause::Unregistered, Cause::Acknowledging)] cause: Cause,
    #[values(false, true)] is_recorded: bool,
) {
    let mut ordered = Ordered::new(cause);
    ordered.await_report();
    if is_recorded {
        let runs = vec![run(JOB, ordered.number)];
        let worker = InstanceName::new(WORKER);
        ordered.receive(PeerMessage::InferredEndsRecorded { worker, runs });
    }
    for _ in 0..ANSWERING_MS / STEP_MS {
        let calls = &ordered.harness.driven.out.workers;
        assert!(!calls.iter().any(is_start), "{calls:?}");
        ordered.answer_calls();
        ordered.harness.wait(STEP_MS);
    }
}
