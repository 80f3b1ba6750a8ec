//! Makes the calls to workers that the node has ordered.

use turmericfold_fleet::{Event, WorkerCall, WorkerRequest, WorkerResult};
use turmericfold_platform::{Clock, PlatformError, TaskWorkers};
use turmericfold_types::MonotonicMs;

/// The time after which a call that has not begun is dropped, in milliseconds: the process was
/// paused, and what allowed the call may have ended meanwhile.
const MAX_WAIT_MS: u64 = 700;

/// Makes a call that was ordered at `ordered_at`, and returns the event of its result.
///
/// A call that begins too late is not made: the fencing token does not stop it at a worker that
/// has restarted meanwhile.
pub async fn call_worker<Workers, CallClock>(
    workers: Workers,
    clock: CallClock,
    ordered_at: MonotonicMs,
    request: WorkerRequest,
) -> Event
where
    Workers: TaskWorkers,
    CallClock: Clock,
{
    let WorkerRequest {
        call,
        worker,
        worker_call,
    } = request;
    let waited_ms = clock.now().since_ms(ordered_at);
    let result = if waited_ms >= MAX_WAIT_MS {
        log::warn!(worker:% = worker.id, waited_ms = waited_ms; "call to a worker begins too late; it is not made");
        worker_call.failed(PlatformError::no_effect("the call began too late"))
    } else {
        match worker_call {
            WorkerCall::Start(start) => WorkerResult::Start(workers.start(&worker, start).await),
            WorkerCall::Stop(stop) => WorkerResult::Stop(workers.stop(&worker, stop).await),
            WorkerCall::Pace(pace) => WorkerResult::Pace(workers.pace(&worker, pace).await),
            WorkerCall::Poll(poll) => WorkerResult::Poll(workers.poll(&worker, poll).await),
        }
    };
    Event::Worker {
        worker: worker.id,
        call,
        result,
    }
}
