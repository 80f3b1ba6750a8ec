//! Results of scenarios, written as JSON with fixed field names.

use std::path::Path;

use anyhow::{Context, Result};
use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::load::{LoadReport, Sample};
use crate::task_load::TaskLoadReport;

/// Results of one run of the tool.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Results {
    /// The firm whose configuration was used.
    pub firm: EcoString,
    /// One entry a scenario.
    pub scenarios: Vec<Outcome>,
}

/// What became of one scenario.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Outcome {
    /// The scenario.
    pub scenario: EcoString,
    /// How long load was put on, in milliseconds.
    pub duration_ms: u64,
    /// One entry a kind of request.
    pub requests: Vec<KindOutcome>,
    /// The batch tasks.
    pub tasks: TaskLoadReport,
    /// Broken rules, in words.
    pub violations: Vec<EcoString>,
    /// Writes that the store served.
    pub store_writes: u64,
    /// Reads that the store served.
    pub store_reads: u64,
    /// Processor time of the whole tool a second of load, in milliseconds.
    pub cpu_ms_per_s: u64,
    /// The largest resident size of the tool so far, in bytes.
    pub resident_bytes: u64,
    /// What was done to the fleet.
    pub events: Vec<Mark>,
}

/// Something done to the fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Mark {
    /// When, in milliseconds after the load began.
    pub at_ms: u64,
    /// What.
    pub label: EcoString,
}

/// What became of the requests of one kind.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct KindOutcome {
    /// The kind.
    pub kind: EcoString,
    /// Requests answered whole.
    pub answered: u64,
    /// Answers that were another request's or cut off.
    pub wrong: u64,
    /// Failures with the verdict *not run*.
    pub not_run: u64,
    /// Failures that may have run.
    pub may_have_run: u64,
    /// Requests that got no answer at all, long after their deadline.
    #[serde(default, rename = "silent")]
    pub unanswered: u64,
    /// Requests the tool could not send.
    pub unsent: u64,
    /// Latency, median, in microseconds.
    pub p50_us: u64,
    /// Latency, 99th percentile, in microseconds.
    pub p99_us: u64,
    /// Latency, 99.9th percentile, in microseconds.
    pub p999_us: u64,
    /// Latency, largest, in microseconds.
    pub max_us: u64,
    /// The latencies by time, for plots; not written to JSON.
    #[serde(skip)]
    pub samples: Vec<Sample>,
}

impl KindOutcome {
    /// Creates the outcome of one kind.
    pub fn new(kind: EcoString, report: LoadReport) -> Self {
        let quantile = |share| report.latency_us.value_at_quantile(share);
        Self {
            kind,
            answered: report.answered,
            wrong: report.wrong,
            not_run: report.not_run,
            may_have_run: report.may_have_run,
            unanswered: report.unanswered,
            unsent: report.unsent,
            p50_us: quantile(0.5),
            p99_us: quantile(0.99),
            p999_us: quantile(0.999),
            max_us: report.latency_us.max(),
            samples: report.samples,
        }
    }
}

impl Outcome {
    /// Returns whether no rule was broken and nothing was lost.
    pub fn holds(&self) -> bool {
        let faulty_counts = self
            .requests
            .iter()
            .map(|kind| kind.wrong + kind.unanswered);
        let wrong: u64 = faulty_counts.sum();
        self.violations.is_empty() && wrong == 0 && self.tasks.lost == 0
    }
}

impl Results {
    /// Reads the results of an earlier run.
    ///
    /// Fails if the file can't be read or is not such a file.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        serde_json::from_str(&text).with_context(|| path.display().to_string())
    }

    /// Writes the results.
    ///
    /// Fails if the file can't be written.
    pub fn write(&self, path: &Path) -> Result<()> {
        let text = serde_json::to_string_pretty(self)?;
        std::fs::write(path, text).with_context(|| path.display().to_string())
    }

    /// Returns the outcome of a scenario, if it ran.
    pub fn scenario(&self, name: &str) -> Option<&Outcome> {
        self.scenarios
            .iter()
            .find(|outcome| outcome.scenario == name)
    }
}
