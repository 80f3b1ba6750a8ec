//! Formats events as lines of text.

use std::fmt;

use crate::{Event, EventKind};

const MS_PER_DAY: u64 = 86_400_000;

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let day_ms = self.time_ms() % MS_PER_DAY;
        write!(
            f,
            "{:02}:{:02}:{:02}.{:03} {:<12} {}",
            day_ms / 3_600_000,
            day_ms / 60_000 % 60,
            day_ms / 1_000 % 60,
            day_ms % 1_000,
            self.process.as_str(),
            self.event
        )
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ProcessStarted => f.write_str("process started"),
            Self::ProcessStopping => f.write_str("process stopping"),
            Self::ChildEnded { child, cause } => write!(f, "child {child} ended: {cause}"),
            Self::MemberChanged { member, live: true } => write!(f, "member {member} joined"),
            Self::MemberChanged {
                member,
                live: false,
            } => write!(f, "member {member} removed"),
            Self::ShardClaimed { shard, epoch } => {
                write!(f, "shard {shard} claimed, epoch {epoch}")
            }
            Self::ShardReady { shard, epoch } => write!(f, "shard {shard} ready, epoch {epoch}"),
            Self::ShardReleased {
                shard,
                epoch,
                cause,
            } => {
                write!(f, "shard {shard} released, epoch {epoch}: {cause}")
            }
            Self::StoreChanged { reachable: true } => f.write_str("store reachable"),
            Self::StoreChanged { reachable: false } => f.write_str("store unreachable"),
            Self::ConfigInstalled { revision } => write!(f, "configuration {revision} in force"),
            Self::TaskChanged {
                task,
                state,
                run,
                worker,
                cause,
            } => {
                write!(f, "task {task} {state}")?;
                if let Some(run) = run {
                    write!(f, ", run {run}")?;
                }
                if let Some(worker) = worker {
                    write!(f, " on {worker}")?;
                }
                if !cause.is_empty() {
                    write!(f, ": {cause}")?;
                }
                Ok(())
            }
            Self::RequestFailed {
                request,
                service,
                verdict,
                reason,
            } => {
                write!(
                    f,
                    "request {request} of {service} failed: {reason}, {verdict}"
                )
            }
            Self::AutomaticChange {
                subject,
                step,
                cause,
            } => {
                write!(f, "automatic change of {subject}, {step}: {cause}")
            }
        }
    }
}
