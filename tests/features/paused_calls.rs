//! Calls to workers that a paused process has ordered before its pause.

use std::sync::{Arc, Mutex};

use rstest::rstest;
use turmericfold::fleet::call_worker;
use turmericfold_fleet::{CallId, Event, WorkerCall, WorkerRequest, WorkerResult};
use turmericfold_jobs::JobId;
use turmericfold_platform::{
    Clock, PaceCall, PlatformError, PollCall, PollReply, StartCall, StartReply, StopCall,
    TaskWorkers, WorkerEntry,
};
use turmericfold_tests::node_parts::run;
use turmericfold_tests::worker_owner::entry;
use turmericfold_types::MonotonicMs;

const ORDERED_AT: MonotonicMs = MonotonicMs(1_000);

/// A clock that stands still.
#[derive(Debug, Clone, Copy)]
struct FixedClock(MonotonicMs);

impl Clock for FixedClock {
    fn now(&self) -> MonotonicMs {
        self.0
    }
}

/// Workers that count the calls.
#[derive(Debug, Clone, Default)]
struct CountedWorkers(Arc<Mutex<u32>>);

impl CountedWorkers {
    fn count(&self) {
        *self.0.lock().unwrap() += 1;
    }
}

impl TaskWorkers for CountedWorkers {
    async fn start(&self, _: &WorkerEntry, _: StartCall) -> Result<StartReply, PlatformError> {
        self.count();
        Ok(StartReply::Started { clock_ms: None })
    }

    async fn stop(&self, _: &WorkerEntry, _: StopCall) -> Result<(), PlatformError> {
        self.count();
        Ok(())
    }

    async fn pace(&self, _: &WorkerEntry, _: PaceCall) -> Result<(), PlatformError> {
        self.count();
        Ok(())
    }

    async fn poll(&self, _: &WorkerEntry, _: PollCall) -> Result<PollReply, PlatformError> {
        self.count();
        Ok(PollReply::Fenced)
    }
}

fn start() -> WorkerCall {
    WorkerCall::Start(StartCall {
        run: run(JobId(1), 1),
        payload: "visit".into(),
        lease_until_ms: 5_000,
        token: 1,
        checkpoint: None,
    })
}

fn stop() -> WorkerCall {
    WorkerCall::Stop(StopCall {
        run: run(JobId(1), 1),
        token: 1,
    })
}

fn pace() -> WorkerCall {
    WorkerCall::Pace(PaceCall {
        run: run(JobId(1), 1),
        percent: 50,
        token: 1,
    })
}

fn poll() -> WorkerCall {
    WorkerCall::Poll(PollCall {
        token: 1,
        lease_until_ms: Some(5_000),
        acknowledged_up_to: 3,
        wait_ms: 0,
    })
}

/// Returns whether a call has certainly had no effect.
fn has_no_effect(result: WorkerResult) -> bool {
    let error = match result {
        WorkerResult::Start(result) => result.err(),
        WorkerResult::Stop(result) => result.err(),
        WorkerResult::Pace(result) => result.err(),
        WorkerResult::Poll(result) => result.err(),
    };
    error.is_some_and(|error| error.has_no_effect())
}

/// Guards against calls that a process makes after a pause, when another may own the worker and
/// the worker has restarted.
#[rstest]
#[tokio::test]
async fn none_is_made(
    #[values(start(), stop(), pace(), poll())] worker_call: WorkerCall,
    #[values(0, 5_000)] paused_ms: u64,
) {
    let workers = CountedWorkers::default();
    let request = WorkerRequest {
        call: CallId(1),
        worker: entry(),
        worker_call,
    };
    let clock = FixedClock(ORDERED_AT + paused_ms);
    let event = call_worker(workers.clone(), clock, ORDERED_AT, request).await;
    let Event::Worker { result, .. } = event else {
        panic!("not the result of a call: {event:?}");
    };
    let made = *workers.0.lock().unwrap();
    assert_eq!(made, u32::from(paused_ms == 0));
    assert_eq!(has_no_effect(result), paused_ms > 0);
}
