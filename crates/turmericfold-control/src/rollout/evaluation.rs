//! Judges a trial by tail latency, refusals and evictions.

use ecow::{EcoString, eco_format};

use super::stats::{GroupStats, TrialStats};

/// Requests that each group must have seen for a verdict on latency and refusals.
const MIN_REQUESTS: u64 = 50;

/// How many thousandths more may be late or refused than in the rest.
const EXCESS_PERMILLE: u64 = 20;

/// How many times the tail latency of the rest is permitted, in thousandths.
const LATENCY_PERMILLE: u64 = 1_500;

/// Tail latency that is never held against a trial, in milliseconds.
const QUIET_LATENCY_MS: u64 = 10;

/// Evictions a process that are never held against a trial.
const QUIET_EVICTIONS: u64 = 3;

/// The quantile of the tail, in thousandths.
const TAIL_PERMILLE: u64 = 990;

/// What became of a trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evaluation {
    /// Whether the revision is accepted.
    pub accepted: bool,
    /// The figures and the reason, for people.
    pub reason: EcoString,
}

/// Judges the figures gathered over the declared time.
pub fn evaluate(figures: &TrialStats) -> Evaluation {
    let (trial, rest) = (&figures.trial, &figures.rest);
    let shown = eco_format!("trial: {}; rest: {}", shown(trial), shown(rest));
    match objection(trial, rest) {
        Some(cause) => Evaluation {
            accepted: false,
            reason: eco_format!("{cause} ({shown})"),
        },
        None => Evaluation {
            accepted: true,
            reason: eco_format!("no worse than the rest ({shown})"),
        },
    }
}

fn objection(trial: &GroupStats, rest: &GroupStats) -> Option<&'static str> {
    if trial.processes == 0 {
        return Some("no process that tried it reported any figures");
    }
    let per_process = |group: &GroupStats| group.requests.evictions / group.processes.max(1);
    if per_process(trial) > 2 * per_process(rest) + QUIET_EVICTIONS {
        return Some("more evictions than in the rest");
    }
    if trial.requests.total() < MIN_REQUESTS || rest.requests.total() < MIN_REQUESTS {
        return None;
    }
    if trial.requests.refused_permille() > rest.requests.refused_permille() + EXCESS_PERMILLE {
        return Some("more refusals than in the rest");
    }
    if trial.requests.late_permille() > rest.requests.late_permille() + EXCESS_PERMILLE {
        return Some("more late answers than in the rest");
    }
    let tail = |group: &GroupStats| group.requests.latency_ms(TAIL_PERMILLE);
    let permitted = (tail(rest) * LATENCY_PERMILLE / 1_000).max(QUIET_LATENCY_MS);
    (tail(trial) > permitted).then_some("a longer tail latency than in the rest")
}

fn shown(group: &GroupStats) -> EcoString {
    let figures = &group.requests;
    eco_format!(
        "{} processes, {} requests, {} refused, {} late, p99 {} ms, {} evictions",
        group.processes,
        figures.total(),
        figures.refused,
        figures.late,
        figures.latency_ms(TAIL_PERMILLE),
        figures.evictions
    )
}
