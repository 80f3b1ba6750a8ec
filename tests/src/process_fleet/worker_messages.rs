//! The messages of the workers' HTTP interface.

use std::fmt;

use http::{Response, StatusCode};
use http_body_util::Full;
use serde::Deserialize;
use serde_json::{Value, json};
use turmericfold_jobs::{RunEnd, RunKey, RunNumber, TaskKey};
use turmericfold_platform::{ListedEnd, ListedRun, PollCall, StartCall, StopCall};
use turmericfold_standin::TaskBehaviour;
use turmericfold_types::Resources;

use super::http_service::{NoAnswer, Served};

/// The size of the platform's unit of memory, in bytes.
const BYTES_PER_MB: u64 = 1 << 20;

/// A call that starts a run.
#[derive(Debug, Deserialize)]
pub(super) struct RunStart {
    task: String,
    run_id: u64,
    spec: String,
    deadline_ms: u64,
    fencing_token: u64,
}

impl RunStart {
    /// Returns the call.
    pub(super) fn call(&self) -> StartCall {
        StartCall {
            run: run_key(&self.task, self.run_id),
            payload: self.spec.as_str().into(),
            lease_until_ms: self.deadline_ms,
            token: self.fencing_token,
            checkpoint: None,
        }
    }

    /// Returns how the task behaves, which its payload says: `work=MS cpu=N mem=MB`; without
    /// `work`, it works until it is stopped.
    pub(super) fn behaviour(&self) -> TaskBehaviour {
        TaskBehaviour {
            resources: Resources {
                cpu_millicores: self.number("cpu").unwrap_or_default(),
                memory_bytes: self.number("mem").unwrap_or_default() * BYTES_PER_MB,
                accelerators: 0,
            },
            work_ms: self.number("work"),
            always_fails: false,
        }
    }

    fn number(&self, name: &str) -> Option<u64> {
        let words = self.spec.split(' ').filter_map(|word| word.split_once('='));
        let found = words.into_iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| value.parse().unwrap())
    }
}

/// A call that stops a run.
#[derive(Debug, Deserialize)]
pub(super) struct RunStop {
    task: String,
    run_id: u64,
    fencing_token: u64,
}

impl RunStop {
    /// Returns the call.
    pub(super) fn call(&self) -> StopCall {
        StopCall {
            run: run_key(&self.task, self.run_id),
            token: self.fencing_token,
        }
    }
}

/// A poll.
#[derive(Debug, Deserialize)]
pub(super) struct Hold {
    deadline_ms: Option<u64>,
    fencing_token: u64,
    ack_cursor: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl Hold {
    /// Returns the call.
    pub(super) fn call(&self) -> PollCall {
        PollCall {
            token: self.fencing_token,
            lease_until_ms: self.deadline_ms,
            acknowledged_up_to: self.ack_cursor,
            wait_ms: self.wait_ms,
        }
    }
}

/// A call to a worker.
#[derive(Debug)]
pub(super) enum WorkerCall {
    /// Starts a run.
    Start(RunStart),
    /// Stops a run.
    Stop(RunStop),
    /// Lists the runs, and renews the lease.
    Poll(Hold),
    /// Sets the pace of a filler; it has no effect here.
    Pace,
}

impl WorkerCall {
    /// Decodes a call; one that can't be decoded gets no answer.
    pub(super) fn decode(path: &str, body: Value) -> Result<Self, NoAnswer> {
        match path {
            "/-/run-start" => decode(body).map(Self::Start),
            "/-/run-stop" => decode(body).map(Self::Stop),
            "/-/hold" => decode(body).map(Self::Poll),
            "/-/pace" => Ok(Self::Pace),
            _ => Err(NoAnswer),
        }
    }
}

impl fmt::Display for WorkerCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start(start) => {
                let call = start.call();
                write!(
                    formatter,
                    "start {} run {}, token {}, deadline {}",
                    call.run.task, call.run.number.0, call.token, call.lease_until_ms
                )
            }
            Self::Stop(stop) => {
                let StopCall { run, token, .. } = stop.call();
                let number = run.number.0;
                write!(formatter, "stop {} run {number}, token {token}", run.task)
            }
            Self::Poll(hold) => {
                let call = hold.call();
                write!(
                    formatter,
                    "poll, token {}, deadline {:?}, acknowledged {}",
                    call.token, call.lease_until_ms, call.acknowledged_up_to
                )
            }
            Self::Pace => write!(formatter, "pace"),
        }
    }
}

fn decode<Call>(body: Value) -> Result<Call, NoAnswer>
where
    Call: serde::de::DeserializeOwned,
{
    serde_json::from_value(body).map_err(|_| NoAnswer)
}

/// Returns an answer.
pub(super) fn answer(status: StatusCode, body: &Value) -> Served {
    let mut response = Response::new(Full::new(body.to_string().into()));
    *response.status_mut() = status;
    Ok(response)
}

/// Returns the row of a run in progress.
pub(super) fn running_row(listed: &ListedRun) -> Value {
    let ListedRun { run, percent, .. } = listed;
    json!([run.task.to_string(), run.number.0, "", percent, 0])
}

/// Returns the row of a run that has ended.
pub(super) fn finished_row(listed: &ListedEnd) -> Value {
    let how = match listed.end {
        RunEnd::Done => "done",
        RunEnd::Failed => "failed",
        RunEnd::Stopped => "stopped",
        RunEnd::Lapsed => "lapsed",
        RunEnd::Broken => "broken",
        RunEnd::Alone => "alone",
    };
    let task = listed.run.task.to_string();
    json!([listed.end_number, task, listed.run.number.0, how, ""])
}

fn run_key(task: &str, number: u64) -> RunKey {
    let task: TaskKey = task.parse().unwrap();
    let number = RunNumber(number);
    RunKey { task, number }
}
