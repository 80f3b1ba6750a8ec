//! Explains the history of one task or request.

use ecow::{EcoString, eco_format};
use turmericfold_types::TaskState;

use crate::{Event, EventKind};

/// Returns the events of a task or request in causal order with explanations, as
/// lines of text; empty if there are no such events.
pub fn explain(events: &[Event], subject: &str) -> Vec<EcoString> {
    let mut lines = Vec::new();
    let mut waiting_since_ms = None;
    for event in events {
        let concerns = event
            .event
            .task()
            .is_some_and(|task| task.as_str() == subject)
            || event
                .event
                .request()
                .is_some_and(|request| request == subject);
        if concerns {
            lines.push(eco_format!("{event}"));
            lines.extend(explanation(event, &mut waiting_since_ms));
        }
    }
    lines.extend(shard_events(events, &lines, subject));
    lines
}

/// Returns the explanation of one event, if it needs one.
fn explanation(event: &Event, waiting_since_ms: &mut Option<u64>) -> Option<EcoString> {
    match &event.event {
        EventKind::TaskChanged { state, cause, .. } => match state {
            TaskState::Queued | TaskState::Evicted => {
                *waiting_since_ms = Some(event.time_ms());
                let why = if cause.is_empty() {
                    "no cause given"
                } else {
                    cause
                };
                (*state == TaskState::Evicted).then(|| {
                    eco_format!("  it was evicted ({why}) and will resume once from its checkpoint")
                })
            }
            TaskState::Starting | TaskState::Running => {
                let since_ms = waiting_since_ms.take()?;
                let waited_ms = event.time_ms().saturating_sub(since_ms);
                Some(eco_format!("  it waited {waited_ms} ms for free resources"))
            }
            TaskState::MayHaveRun => Some(
                "  its worker was lost, and it is not run again because it may run at most once"
                    .into(),
            ),
            TaskState::Quarantined => {
                Some("  it failed on several workers and is not run again".into())
            }
            _ => None,
        },
        EventKind::RequestFailed { verdict, .. } => Some(match verdict {
            turmericfold_types::Verdict::NotRun => {
                "  it did not run; it may be retried by anyone".into()
            }
            turmericfold_types::Verdict::MayHaveRun => {
                "  it may have run; only an idempotent request may be retried".into()
            }
            turmericfold_types::Verdict::Ran => "  it ran, but its answer was lost".into(),
        }),
        _ => None,
    }
}

/// Returns the ownership events of the shard of a task, or none if there are no
/// `lines` about the task itself.
fn shard_events(events: &[Event], lines: &[EcoString], subject: &str) -> Vec<EcoString> {
    if lines.is_empty() {
        return Vec::new();
    }
    let Some((shard, _)) = subject.split_once('.') else {
        return Vec::new();
    };
    let shard_events = events.iter().filter(|event| {
        event.event.task().is_none()
            && event
                .event
                .shard()
                .is_some_and(|name| name.as_str() == shard)
    });
    let mut shard_lines: Vec<EcoString> =
        shard_events.map(|event| eco_format!("  {event}")).collect();
    if !shard_lines.is_empty() {
        shard_lines.insert(
            0,
            eco_format!("ownership of shard {shard} in the same period:"),
        );
    }
    shard_lines
}
