//! The error of a request or task call, with its verdict.

use std::fmt;

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::Verdict;

/// The machine-readable reason why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed or over a limit.
    BadRequest,
    /// The body is larger than the limit.
    RequestTooLarge,
    /// The caller sent its body too slowly.
    RequestTimeout,
    /// The path exists, but not with this method.
    MethodNotAllowed,
    /// The service, task or path is unknown.
    NotFound,
    /// The queue is full or the deadline can't be met.
    Overloaded,
    /// The deadline passed.
    DeadlineExceeded,
    /// No owner or endpoint can be reached now.
    Unavailable,
    /// The endpoint failed before its answer was complete.
    EndpointFailed,
    /// The platform's store can't accept the write now.
    StoreUnavailable,
    /// The task can never run on this fleet.
    Infeasible,
    /// The team has used up its quota.
    QuotaExceeded,
    /// The idempotency key was used before with another request.
    KeyConflict,
    /// The process is stopping.
    Stopping,
    /// The answer is larger than the limit.
    AnswerTooLarge,
}

impl Reason {
    /// Returns the reason as written in bodies, logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::RequestTooLarge => "request_too_large",
            Self::RequestTimeout => "request_timeout",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::NotFound => "not_found",
            Self::Overloaded => "overloaded",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::Unavailable => "unavailable",
            Self::EndpointFailed => "endpoint_failed",
            Self::StoreUnavailable => "store_unavailable",
            Self::Infeasible => "infeasible",
            Self::QuotaExceeded => "quota_exceeded",
            Self::KeyConflict => "key_conflict",
            Self::Stopping => "stopping",
            Self::AnswerTooLarge => "answer_too_large",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A failed request or task call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message} ({reason}, {verdict})")]
pub struct RequestError {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The machine-readable reason.
    pub reason: Reason,
    /// The human-readable cause.
    pub message: EcoString,
    /// The time after which a retry may succeed, in milliseconds from now, if
    /// known.
    pub retry_after_ms: Option<u64>,
}

impl RequestError {
    /// Creates the error of a request that certainly did not run.
    pub fn not_run<Text>(reason: Reason, message: Text) -> Self
    where
        Text: Into<EcoString>,
    {
        Self {
            verdict: Verdict::NotRun,
            reason,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Creates the error of a request that may have run.
    pub fn may_have_run<Text>(reason: Reason, message: Text) -> Self
    where
        Text: Into<EcoString>,
    {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the time after which a retry may succeed, in milliseconds from now.
    #[must_use]
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
