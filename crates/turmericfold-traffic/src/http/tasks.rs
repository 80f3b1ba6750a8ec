//! Batch tasks: `/v1/tasks`.

use std::time::Duration;

use bytes::Bytes;
use ecow::EcoString;
use http::{Response, StatusCode};
use serde::Deserialize;
use turmericfold_control::shard_of_key;
use turmericfold_peer::{TaskAnswer, TaskCall, TaskPage};
use turmericfold_types::{Reason, RequestError, ServiceName, ShardId, TaskId, TaskState, Verdict};

use super::{reply, task_input};
use crate::router::Router;

/// Timeout of a task call, in milliseconds.
const TASK_TIMEOUT_MS: u64 = 5_000;

/// Maximum number of tasks in one page.
const MAX_PAGE_TASKS: u32 = 1_000;

/// The query parameters of a list of tasks.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ListQuery {
    service: Option<ServiceName>,
    state: Option<TaskState>,
    /// The last task of the previous page.
    after: Option<TaskId>,
    limit: Option<u32>,
}

/// Submits a task.
pub(crate) async fn submit(router: Router, body: Result<Bytes, RequestError>) -> Response<Bytes> {
    let snapshot = router.control().snapshot();
    let read = body.and_then(|body| task_input::read(&body, &snapshot.configuration));
    let spec = match read {
        Ok(spec) => spec,
        Err(error) => return reply::error(&error),
    };
    let shards = snapshot.configuration.shards();
    let key = match &spec.key {
        Some(key) => key.clone(),
        None => ecow::eco_format!("{:016x}", rand::random::<u64>()),
    };
    // The tasks of a group start together, so all of them must be in one shard.
    let shard_key = match &spec.group {
        Some(group) => ecow::eco_format!("{}/{}", spec.team, group.name),
        None => key.clone(),
    };
    let Some(shard) = shard_of_key(&shard_key, &shards).cloned() else {
        let error = RequestError::not_run(Reason::Unavailable, "no configuration is in force");
        return reply::error(&error.with_retry_after_ms(1_000));
    };
    let task = TaskId::in_shard(&shard, &key);
    answer(
        call(&router, TaskCall::Submit { shard, task, spec }).await,
        StatusCode::ACCEPTED,
    )
}

/// Returns the status of a task.
pub(crate) async fn status(router: Router, task: EcoString) -> Response<Bytes> {
    let task_call = TaskCall::Status { task: TaskId(task) };
    answer(call(&router, task_call).await, StatusCode::OK)
}

/// Cancels a task.
pub(crate) async fn cancel(router: Router, task: EcoString) -> Response<Bytes> {
    let task_call = TaskCall::Cancel { task: TaskId(task) };
    answer(call(&router, task_call).await, StatusCode::OK)
}

/// Lists the tasks of all shards, in order of shard and identifier.
pub(crate) async fn list(router: Router, query: EcoString) -> Response<Bytes> {
    let query: ListQuery = match serde_urlencoded::from_str(&query) {
        Ok(query) => query,
        Err(error) => {
            let message = ecow::eco_format!(
                "faulty query: {error}; allowed are service, state, after and limit"
            );
            return reply::error(&RequestError::not_run(Reason::BadRequest, message));
        }
    };
    let limit = query.limit.unwrap_or(100).clamp(1, MAX_PAGE_TASKS);
    let mut page = TaskPage::default();
    let first = query.after.as_ref().and_then(TaskId::shard);
    for shard in router.control().snapshot().configuration.shards() {
        if first.as_ref().is_some_and(|first| shard < *first) {
            continue;
        }
        let left = limit.saturating_sub(u32::try_from(page.tasks.len()).unwrap_or(limit));
        let task_call = list_call(shard, &query, left);
        match call(&router, task_call).await {
            TaskAnswer::Page(mut part) => {
                page.tasks.append(&mut part.tasks);
                page.more |= part.more;
            }
            TaskAnswer::Failed(error) => return reply::error(&error),
            TaskAnswer::Status(_) => {}
        }
        if page.more {
            break;
        }
    }
    reply::json(StatusCode::OK, &page_body(&page), Verdict::Ran)
}

fn list_call(shard: ShardId, query: &ListQuery, limit: u32) -> TaskCall {
    TaskCall::List {
        shard,
        service: query.service.clone(),
        state: query.state,
        after: query.after.clone(),
        limit,
    }
}

fn page_body(page: &TaskPage) -> serde_json::Value {
    let next = page
        .tasks
        .last()
        .filter(|_| page.more)
        .map(|task| task.id.as_str());
    serde_json::json!({ "tasks": page.tasks, "next": next })
}

/// Sends a task call to the owner of its shard, here or at a peer.
async fn call(router: &Router, call: TaskCall) -> TaskAnswer {
    let Some(shard) = call.shard() else {
        return TaskAnswer::Failed(RequestError::not_run(
            Reason::NotFound,
            "a task identifier has the form `<shard>.<key>`",
        ));
    };
    let snapshot = router.control().snapshot();
    let owner = snapshot.owners.get(&shard);
    if owner.is_some_and(|owner| owner.is_self) {
        return call_here(router, call).await;
    }
    let Some(address) = owner.and_then(|owner| owner.peer_address.as_ref()) else {
        let message = ecow::eco_format!("shard `{shard}` has no owner now");
        let error = RequestError::not_run(Reason::Unavailable, message);
        return TaskAnswer::Failed(error.with_retry_after_ms(1_000));
    };
    match router.peers().task(address, call, TASK_TIMEOUT_MS).await {
        Ok(answer) => answer,
        Err(error) => TaskAnswer::Failed(RequestError::from(error).with_retry_after_ms(1_000)),
    }
}

/// Makes a task call on the control thread of this process.
async fn call_here(router: &Router, call: TaskCall) -> TaskAnswer {
    let limit = Duration::from_millis(TASK_TIMEOUT_MS);
    let decided = tokio::time::timeout(limit, router.control().task(call)).await;
    decided.unwrap_or_else(|_| {
        let message = "the call was not durable in time; repeat it with the same key";
        let error = RequestError::may_have_run(Reason::DeadlineExceeded, message);
        TaskAnswer::Failed(error.with_retry_after_ms(1_000))
    })
}

fn answer(answer: TaskAnswer, status: StatusCode) -> Response<Bytes> {
    match answer {
        TaskAnswer::Status(task) => reply::json(status, &task, Verdict::Ran),
        TaskAnswer::Page(page) => reply::json(status, &page_body(&page), Verdict::Ran),
        TaskAnswer::Failed(error) => reply::error(&error),
    }
}
