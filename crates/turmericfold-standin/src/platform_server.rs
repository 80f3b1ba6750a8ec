//! Serves store, instance list and workers over HTTP.

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
use crate::worker_model::{WorkerModel, WorkerViolation};

/// The largest body read, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// The whole platform; clones share it.
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

    /// Returns the store's model.
    pub fn store(&self) -> MutexGuard<'_, StoreModel> {
        lock(&self.inner.store)
    }

    /// Returns the instance list's model.
    pub fn list(&self) -> MutexGuard<'_, InstanceListModel> {
        lock(&self.inner.list)
    }

    /// Returns the workers' models.
    pub fn workers(&self) -> MutexGuard<'_, BTreeMap<InstanceName, WorkerModel>> {
        lock(&self.inner.workers)
    }

    /// Sets the faults of the store.
    pub fn set_store_faults(&self, faults: CallFaults) {
        *lock(&self.inner.store_faults) = faults;
    }

    /// Sets the faults of the instance list.
    pub fn set_list_faults(&self, faults: CallFaults) {
        *lock(&self.inner.list_faults) = faults;
    }

    /// Sets the faults of calls to workers.
    pub fn set_worker_faults(&self, faults: CallFaults) {
        *lock(&self.inner.worker_faults) = faults;
    }

    /// Returns the rules broken on workers, and tasks that run in two places.
    pub fn worker_violations(&self) -> Vec<WorkerViolation> {
        let now = BootClock.now();
        let mut workers = self.workers();
        let mut violations = Vec::new();
        let mut places = BTreeMap::new();
        for (name, worker) in workers.iter_mut() {
            violations.extend(worker.violations().iter().cloned());
            for (task, _) in worker.running(now) {
                if places.insert(task.clone(), name.clone()).is_some() {
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
        let fault = before(&faults).await;
        if let Some(refusal) = refused(fault).await {
            return refusal;
        }
        let result = match call {
            StoreCall::Watch { wait_ms, .. } => {
                let limit = Duration::from_millis(wait_ms);
                let watching = self.watch(&call);
                match tokio::time::timeout(limit, watching).await {
                    Ok(result) => result,
                    Err(_) => self.store().call(BootClock.now(), call),
                }
            }
            other => {
                let writes = other.is_write();
                let result = self.store().call(BootClock.now(), other);
                if writes {
                    self.inner.store_changed.notify_waiters();
                }
                result
            }
        };
        answer(fault, result).await
    }

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
        let fault = before(&faults).await;
        if let Some(refusal) = refused(fault).await {
            return refusal;
        }
        let listing = self.list().query(BootClock.now(), &query);
        answer(fault, Ok::<_, EcoString>(listing)).await
    }

    async fn worker_call(self, worker: InstanceName, sync: WorkerSync) -> Response<String> {
        let faults = lock(&self.inner.worker_faults).clone();
        let fault = before(&faults).await;
        if let Some(refusal) = refused(fault).await {
            return refusal;
        }
        let reply = self
            .workers()
            .get_mut(&worker)
            .map(|model| model.sync(BootClock.now(), sync));
        answer(fault, reply.ok_or("no such worker")).await
    }
}

async fn before(faults: &CallFaults) -> CallFault {
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    faults.decide(rand::random_range(0..1_000))
}

async fn refused(fault: CallFault) -> Option<Response<String>> {
    match fault {
        CallFault::Refused => Some(plain(StatusCode::SERVICE_UNAVAILABLE, String::new())),
        CallFault::Dropped => std::future::pending().await,
        CallFault::None | CallFault::AnswerLost => None,
    }
}

async fn answer<Reply, Error>(fault: CallFault, result: Result<Reply, Error>) -> Response<String>
where
    Reply: Serialize,
{
    if fault == CallFault::AnswerLost {
        return std::future::pending().await;
    }
    match result.map(|reply| serde_json::to_string(&reply)) {
        Ok(Ok(json)) => plain(StatusCode::OK, json),
        _ => plain(StatusCode::BAD_REQUEST, String::new()),
    }
}

fn plain(status: StatusCode, body: String) -> Response<String> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// An HTTP server around a platform.
#[derive(Debug)]
pub struct PlatformServer {
    /// Where it listens.
    pub listener: TcpListener,
    /// What it serves.
    pub state: PlatformState,
}

impl PlatformServer {
    /// Serves until `stop` completes.
    pub async fn serve<Stop>(self, stop: Stop)
    where
        Stop: Future<Output = ()> + Send + 'static,
    {
        let state = self.state;
        let with_state = warp::any().map(move || state.clone());
        let limit = warp::body::content_length_limit(MAX_BODY_BYTES);
        let store = warp::path!("v1" / "store")
            .and(with_state.clone())
            .and(limit)
            .and(warp::body::json())
            .then(PlatformState::store_call);
        let list = warp::path!("v1" / "instances")
            .and(with_state.clone())
            .and(limit)
            .and(warp::body::json())
            .then(PlatformState::list_call);
        let worker = warp::path!("workers" / InstanceName / "v1" / "sync")
            .and(with_state)
            .and(limit)
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
