//! Batch load: submits tasks, may cancel them, and waits until they have ended.

use std::time::{Duration, Instant};

use bytes::Bytes;
use ecow::{EcoString, eco_format};
use http::Request;
use http_body_util::{BodyExt, Full};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use turmericfold_types::{
    KindName, Resources, ServiceName, TaskSpec, TaskState, TaskStatus, TeamName,
};

use crate::load::{CALL_TIMEOUT_MS, HttpClient, client};

/// The time between two status requests for a task, and between two attempts of a call,
/// in milliseconds.
const POLL_INTERVAL_MS: u64 = 250;

/// The limit on attempts of a submission or a cancellation.
const MAX_CALL_ATTEMPTS: u32 = 100;

/// A number of tasks of one kind that are submitted together.
#[derive(Debug, Clone)]
pub struct TaskBurst {
    /// The prefix of the task keys, before the number; unique in a fleet.
    pub name: EcoString,
    /// The service.
    pub service: ServiceName,
    /// The team.
    pub team: TeamName,
    /// The time of submission, in milliseconds after the load began.
    pub submit_at_ms: u64,
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task declares.
    pub resources: Resources,
    /// The declared run time of the shortest tasks, in milliseconds.
    pub run_ms: u64,
    /// The actual run time, in thousandths of the declared one.
    pub actual_run_permille: u64,
    /// The time of cancellation, in milliseconds after the load began, or `None` for no
    /// cancellation.
    pub cancel_at_ms: Option<u64>,
}

/// The results of a batch load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLoadReport {
    /// Tasks whose submission was acknowledged.
    pub accepted: u64,
    /// Tasks finished.
    pub finished: u64,
    /// Tasks that were cancelled as the caller requested.
    pub cancelled: u64,
    /// Tasks that ended failed or quarantined.
    pub failed: u64,
    /// Acknowledged tasks that had not ended at the deadline.
    pub unfinished: u64,
    /// Acknowledged tasks that are unknown later, or that ended in the state *may have run*.
    pub lost: u64,
    /// Evictions of all tasks.
    pub evictions: u64,
    /// The time at which the last task ended, or at which its caller stopped waiting, in
    /// milliseconds after the load began.
    pub last_end_ms: u64,
}

impl TaskLoadReport {
    fn count(&mut self, end: &TaskEnd) {
        self.accepted += 1;
        self.evictions += u64::from(end.status.evictions);
        self.last_end_ms = self.last_end_ms.max(end.ended_at_ms);
        match end.status.state {
            TaskState::Finished => self.finished += 1,
            TaskState::Cancelled => self.cancelled += 1,
            TaskState::Failed | TaskState::Quarantined => self.failed += 1,
            TaskState::MayHaveRun => self.lost += 1,
            _ if end.is_unknown => self.lost += 1,
            _ => self.unfinished += 1,
        }
    }

    /// Adds the results of another report.
    pub fn add(&mut self, other: &Self) {
        self.accepted += other.accepted;
        self.finished += other.finished;
        self.cancelled += other.cancelled;
        self.failed += other.failed;
        self.unfinished += other.unfinished;
        self.lost += other.lost;
        self.evictions += other.evictions;
        self.last_end_ms = self.last_end_ms.max(other.last_end_ms);
    }
}

/// The last known state of an acknowledged task.
struct TaskEnd {
    status: TaskStatus,
    /// Whether the last answer to a status request was that the task is unknown.
    is_unknown: bool,
    ended_at_ms: u64,
}

/// Submits a burst of `count` tasks at once, then waits until every task has ended or
/// `wait_ms` has passed.
pub async fn run_tasks(addresses: Vec<EcoString>, count: u32, wait_ms: u64) -> TaskLoadReport {
    let burst = TaskBurst {
        name: "task".into(),
        service: "condition-reports".into(),
        team: "caretakers".into(),
        submit_at_ms: 0,
        count,
        resources: Resources::new(1_000, 1 << 30),
        run_ms: 500,
        actual_run_permille: 1_000,
        cancel_at_ms: None,
    };
    run_burst(addresses, burst, wait_ms).await
}

/// Submits a burst at its planned time, then waits until every task has ended or
/// `wait_ms` has passed since the load began.
pub async fn run_burst(
    addresses: Vec<EcoString>,
    burst: TaskBurst,
    wait_ms: u64,
) -> TaskLoadReport {
    let caller = TaskCaller {
        client: client(),
        addresses,
        started_at: Instant::now(),
        deadline: Instant::now() + Duration::from_millis(wait_ms),
    };
    caller.sleep_until_ms(burst.submit_at_ms).await;
    let mut tasks = JoinSet::new();
    for number in 0..burst.count {
        tasks.spawn(caller.clone().submit_and_follow(burst.clone(), number));
    }
    let mut report = TaskLoadReport::default();
    while let Some(end) = tasks.join_next().await {
        if let Ok(Some(end)) = end {
            report.count(&end);
        }
    }
    report
}

#[derive(Debug, Clone)]
struct TaskCaller {
    client: HttpClient,
    addresses: Vec<EcoString>,
    started_at: Instant,
    deadline: Instant,
}

impl TaskCaller {
    /// Submits one task, cancels it if planned, and waits for its end.
    ///
    /// Returns `None` if the submission was not acknowledged.
    async fn submit_and_follow(self, burst: TaskBurst, number: u32) -> Option<TaskEnd> {
        let mut status = self.submit(&burst, number).await?;
        let mut is_unknown = false;
        if let Some(at_ms) = burst.cancel_at_ms {
            self.sleep_until_ms(at_ms).await;
            self.cancel(&status).await;
        }
        while !status.state.is_final() && Instant::now() < self.deadline {
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            match self
                .call("GET", &format!("/{}", status.id), String::new())
                .await
            {
                CallResult::Status(new_status) => (status, is_unknown) = (new_status, false),
                CallResult::Unknown => is_unknown = true,
                CallResult::Failed => {}
            }
        }
        let ended = Instant::now().duration_since(self.started_at);
        Some(TaskEnd {
            status,
            is_unknown,
            ended_at_ms: u64::try_from(ended.as_millis()).unwrap_or(u64::MAX),
        })
    }

    async fn submit(&self, burst: &TaskBurst, number: u32) -> Option<TaskStatus> {
        let run_ms = burst.run_ms + u64::from(number % 10) * 100;
        let spec = TaskSpec {
            key: Some(eco_format!("{}-{number}", burst.name)),
            service: burst.service.clone(),
            team: burst.team.clone(),
            kind: KindName(eco_format!("{}-kind", burst.name)),
            resources: burst.resources,
            run_ms,
            at_most_once: false,
            group: None,
            payload: eco_format!("{}", run_ms * burst.actual_run_permille / 1_000),
        };
        let body = serde_json::to_string(&spec).ok()?;
        for _ in 0..MAX_CALL_ATTEMPTS {
            if let CallResult::Status(status) = self.call("POST", "", body.clone()).await {
                return Some(status);
            }
            if Instant::now() >= self.deadline {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        None
    }

    async fn cancel(&self, task: &TaskStatus) {
        for _ in 0..MAX_CALL_ATTEMPTS {
            let path = format!("/{}", task.id);
            let answer = self.call("DELETE", &path, String::new()).await;
            if !matches!(answer, CallResult::Failed) || Instant::now() >= self.deadline {
                return;
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    async fn call(&self, method: &str, path: &str, body: String) -> CallResult {
        let Some(address) = self.addresses.choose(&mut rand::rng()) else {
            return CallResult::Failed;
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}/v1/tasks{path}"))
            .body(Full::new(Bytes::from(body)));
        let Ok(request) = request else {
            return CallResult::Failed;
        };
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        let answer = tokio::time::timeout(limit, self.client.request(request)).await;
        let Ok(Ok(response)) = answer else {
            return CallResult::Failed;
        };
        if response.status() == http::StatusCode::NOT_FOUND {
            return CallResult::Unknown;
        }
        let Ok(body) = response.into_body().collect().await else {
            return CallResult::Failed;
        };
        serde_json::from_slice(&body.to_bytes()).map_or(CallResult::Failed, CallResult::Status)
    }

    async fn sleep_until_ms(&self, at_ms: u64) {
        let at = self.started_at + Duration::from_millis(at_ms);
        tokio::time::sleep_until(at.into()).await;
    }
}

enum CallResult {
    Status(TaskStatus),
    Unknown,
    Failed,
}
