//! Evaluates a trial by tail latency, refusals, late answers and evictions.

use ecow::{EcoString, eco_format};

use super::stats::{GroupStats, TrialStats};

/// Minimum number of requests in each group for latency and refusals to be compared.
const MIN_REQUESTS: u64 = 50;

/// Maximum excess of the share of late or refused requests in the trial over that in
/// the rest, in thousandths.
const MAX_EXCESS_PERMILLE: u64 = 20;

/// Maximum tail latency, in thousandths of that of the rest.
const MAX_TAIL_LATENCY_PERMILLE: u64 = 1_500;

/// Tail latency up to which a trial is never rejected for it, in milliseconds.
const TOLERATED_TAIL_LATENCY_MS: u64 = 10;

/// Evictions per process up to which a trial is never rejected for them.
const TOLERATED_EVICTIONS: u64 = 3;

/// The quantile taken as tail latency, in thousandths.
const TAIL_QUANTILE_PERMILLE: u64 = 990;

/// The outcome of a trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evaluation {
    /// Whether the revision is accepted.
    pub accepted: bool,
    /// The reason and the statistics, as a text for operators.
    pub reason: EcoString,
}

/// Evaluates the statistics of a trial after its declared duration.
pub fn evaluate(stats: &TrialStats) -> Evaluation {
    let (trial, rest) = (&stats.trial, &stats.rest);
    let summary = eco_format!("trial: {}; rest: {}", describe(trial), describe(rest));
    match rejection_cause(trial, rest) {
        Some(cause) => Evaluation {
            accepted: false,
            reason: eco_format!("{cause} ({summary})"),
        },
        None => Evaluation {
            accepted: true,
            reason: eco_format!("no worse than the rest ({summary})"),
        },
    }
}

fn rejection_cause(trial: &GroupStats, rest: &GroupStats) -> Option<&'static str> {
    if trial.processes == 0 {
        return Some("no process that tried it reported any figures");
    }
    let evictions_per_process =
        |group: &GroupStats| group.requests.evictions / group.processes.max(1);
    if evictions_per_process(trial) > 2 * evictions_per_process(rest) + TOLERATED_EVICTIONS {
        return Some("more evictions than in the rest");
    }
    if trial.requests.total() < MIN_REQUESTS || rest.requests.total() < MIN_REQUESTS {
        return None;
    }
    if trial.requests.refused_permille() > rest.requests.refused_permille() + MAX_EXCESS_PERMILLE {
        return Some("more refusals than in the rest");
    }
    if trial.requests.late_permille() > rest.requests.late_permille() + MAX_EXCESS_PERMILLE {
        return Some("more late answers than in the rest");
    }
    let tail_latency_ms = |group: &GroupStats| group.requests.latency_ms(TAIL_QUANTILE_PERMILLE);
    let max_latency_ms =
        (tail_latency_ms(rest) * MAX_TAIL_LATENCY_PERMILLE / 1_000).max(TOLERATED_TAIL_LATENCY_MS);
    (tail_latency_ms(trial) > max_latency_ms).then_some("a longer tail latency than in the rest")
}

fn describe(group: &GroupStats) -> EcoString {
    let requests = &group.requests;
    eco_format!(
        "{} processes, {} requests, {} refused, {} late, p99 {} ms, {} evictions",
        group.processes,
        requests.total(),
        requests.refused,
        requests.late,
        requests.latency_ms(TAIL_QUANTILE_PERMILLE),
        requests.evictions
    )
}
