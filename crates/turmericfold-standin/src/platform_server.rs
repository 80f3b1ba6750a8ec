//! Serves the models of the store, the instance list and the workers over HTTP.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ecow::EcoString;
use http::{Response, StatusCode};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use turmericfold_platform::{BootClock, Clock, ListQuery, StoreCall, StoreReply, WorkerSync};
use turmericfold_types::InstanceName;
use warp::Filter;

use crate::fault::{CallFault, CallFaults};
use crate::instance_list::InstanceListModel;
use crate::store_model::StoreModel;
use crate::worker_model::WorkerModel;
use crate::worker_violation::WorkerViolation;

/// The size of the largest request body that is accepted.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// The state of a platform; clones share it.
#[derive(Debug, Clone, Default)]
pub struct PlatformState {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    store: Mutex<StoreModel>,
    store_faults: Mutex<CallFaults>,
    store_changed: Notify,
    list: Mutex<InstanceListModel>,
    list_faults: Mutex<CallFaults>,
    workers: Mutex<BTreeMap<InstanceName, WorkerModel>>,
    worker_faults: Mutex<CallFaults>,
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PlatformState {
    /// Creates a platform with the given list and workers, and an empty store.
    pub fn new(list: InstanceListModel, workers: Vec<(InstanceName, WorkerModel)>) -> Self {
        let state = Self::default();
        *lock(&state.inner.list) = list;
        lock(&state.inner.workers).extend(workers);
        state
    }

    /// Locks the model of the store and returns it.
    pub fn store(&self) -> MutexGuard<'_, StoreModel> {
        lock(&self.inner.store)
    }

    /// Locks the model of the instance list and returns it.
    pub fn list(&self) -> MutexGuard<'_, InstanceListModel> {
        lock(&self.inner.list)
    }

    /// Locks the models of the workers and returns them.
    pub fn workers(&self) -> MutexGuard<'_, BTreeMap<InstanceName, WorkerModel>> {
        lock(&self.inner.workers)
    }

    /// Sets the faults of calls to the store.
    pub fn set_store_faults(&self, faults: CallFaults) {
        *lock(&self.inner.store_faults) = faults;
    }

    /// Sets the faults of calls to the instance list.
    pub fn set_list_faults(&self, faults: CallFaults) {
        *lock(&self.inner.list_faults) = faults;
    }

    /// Sets the faults of calls to workers.
    pub fn set_worker_faults(&self, faults: CallFaults) {
        *lock(&self.inner.worker_faults) = faults;
    }

    /// Returns the violations on all workers, and the tasks that run on two workers.
    pub fn worker_violations(&self) -> Vec<WorkerViolation> {
        let now = BootClock.now();
        let mut workers = self.workers();
        let mut violations = Vec::new();
        let mut worker_by_task = BTreeMap::new();
        for (name, worker) in workers.iter_mut() {
            violations.extend(worker.violations().iter().cloned());
            for (task, _) in worker.running(now) {
                if worker_by_task.insert(task.clone(), name.clone()).is_some() {
                    violations.push(WorkerViolation::DoubleRun {
                        worker: name.clone(),
                        task,
                    });
                }
            }
        }
        violations
    }

    async fn store_call(self, call: StoreCall) -> Response<String> {
        let faults = lock(&self.inner.store_faults).clone();
        let fault = draw_fault(&faults).await;
        if let Some(refusal) = refusal_for(fault).await {
            return refusal;
        }
        let result = match call {
            StoreCall::Watch { wait_ms, .. } => {
                let timeout = Duration::from_millis(wait_ms);
                let watching = self.watch(&call);
                match tokio::time::timeout(timeout, watching).await {
                    Ok(result) => result,
                    Err(_) => self.store().call(BootClock.now(), call),
                }
            }
            other => {
                let is_write = other.is_write();
                let result = self.store().call(BootClock.now(), other);
                if is_write {
                    self.inner.store_changed.notify_waiters();
                }
                result
            }
        };
        answer(fault, result).await
    }

    /// Repeats a watch after every write until the reply is not an empty list of changes.
    async fn watch(
        &self,
        call: &StoreCall,
    ) -> Result<StoreReply, turmericfold_platform::PlatformError> {
        loop {
            let changed = self.inner.store_changed.notified();
            let result = self.store().call(BootClock.now(), call.clone());
            match &result {
                Ok(StoreReply::Changes { changes, .. }) if changes.is_empty() => {}
                _ => return result,
            }
            changed.await;
        }
    }

    async fn list_call(self, query: ListQuery) -> Response<String> {
        let faults = lock(&self.inner.list_faults).clone();
        let fault = draw_fault(&faults).await;
        if let Some(refusal) = refusal_for(fault).await {
            return refusal;
        }
        let listing = self.list().query(BootClock.now(), &query);
        answer(fault, Ok::<_, EcoString>(listing)).await
    }

    async fn worker_call(self, worker: InstanceName, sync: WorkerSync) -> Response<String> {
        let faults = lock(&self.inner.worker_faults).clone();
        let fault = draw_fault(&faults).await;
        if let Some(refusal) = refusal_for(fault).await {
            return refusal;
        }
        let reply = self
            .workers()
            .get_mut(&worker)
            .map(|model| model.sync(BootClock.now(), sync));
        answer(fault, reply.ok_or("no such worker")).await
    }
}

/// Waits for the injected delay, then draws the fault of a call.
async fn draw_fault(faults: &CallFaults) -> CallFault {
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    faults.decide(rand::random_range(0..1_000))
}

/// Returns the refusal of a call, if any; never completes for a dropped call.
async fn refusal_for(fault: CallFault) -> Option<Response<String>> {
    match fault {
        CallFault::Refused => Some(response(StatusCode::SERVICE_UNAVAILABLE, String::new())),
        CallFault::Dropped => std::future::pending().await,
        CallFault::None | CallFault::AnswerLost => None,
    }
}

/// Builds the answer to a call; never completes if the answer is to be lost.
async fn answer<Reply, Error>(fault: CallFault, result: Result<Reply, Error>) -> Response<String>
where
    Reply: Serialize,
{
    if fault == CallFault::AnswerLost {
        return std::future::pending().await;
    }
    match result.map(|reply| serde_json::to_string(&reply)) {
        Ok(Ok(json)) => response(StatusCode::OK, json),
        _ => response(StatusCode::BAD_REQUEST, String::new()),
    }
}

fn response(status: StatusCode, body: String) -> Response<String> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// An HTTP server for the state of a platform.
#[derive(Debug)]
pub struct PlatformServer {
    /// The socket on which the server accepts connections.
    pub listener: TcpListener,
    /// The state that the server reads and changes.
    pub state: PlatformState,
}

impl PlatformServer {
    /// Serves calls until `stop` completes, then shuts down gracefully.
    pub async fn serve<Stop>(self, stop: Stop)
    where
        Stop: Future<Output = ()> + Send + 'static,
    {
        let state = self.state;
        let with_state = warp::any().map(move || state.clone());
        let body_limit = warp::body::content_length_limit(MAX_BODY_BYTES);
        let store = warp::path!("v1" / "store")
            .and(with_state.clone())
            .and(body_limit)
            .and(warp::body::json())
            .then(PlatformState::store_call);
        let list = warp::path!("v1" / "instances")
            .and(with_state.clone())
            .and(body_limit)
            .and(warp::body::json())
            .then(PlatformState::list_call);
        let worker = warp::path!("workers" / InstanceName / "v1" / "sync")
            .and(with_state)
            .and(body_limit)
            .and(warp::body::json())
            .then(|worker, state: PlatformState, sync| state.worker_call(worker, sync));
        let routes = store.or(list).unify().or(worker).unify();
        warp::serve(routes)
            .incoming(self.listener)
            .graceful(stop)
            .run()
            .await;
    }
}
