//! The results of scenarios, written as JSON.
//!
//! Later runs read these files to compare with, so the names in JSON must not change.

use std::path::Path;

use anyhow::{Context, Result};
use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::load::{LoadReport, Sample};
use crate::task_load::TaskLoadReport;

/// The results of one invocation of the tool.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Results {
    /// The firm whose example configuration was used.
    pub firm: EcoString,
    /// The results by scenario, in the order in which they ran.
    pub scenarios: Vec<Outcome>,
}

/// The results of one scenario.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Outcome {
    /// The name of the scenario.
    pub scenario: EcoString,
    /// The duration of the load, in milliseconds.
    pub duration_ms: u64,
    /// The results of requests, by kind.
    pub requests: Vec<KindOutcome>,
    /// The results of batch tasks.
    pub tasks: TaskLoadReport,
    /// The violations that stand-ins saw, as text.
    pub violations: Vec<EcoString>,
    /// Writes that the store served.
    pub store_writes: u64,
    /// Reads that the store served.
    pub store_reads: u64,
    /// The processor time of the whole tool for each second of load, in milliseconds.
    pub cpu_ms_per_s: u64,
    /// The peak resident memory of the tool so far, in bytes.
    pub resident_bytes: u64,
    /// The faults and changes that were applied to the fleet.
    pub events: Vec<Mark>,
}

/// A fault or change with its time.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Mark {
    /// The planned time, in milliseconds after the load began.
    pub at_ms: u64,
    /// The label of the step.
    pub label: EcoString,
}

/// The results of the requests of one kind.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct KindOutcome {
    /// The name of the kind.
    pub kind: EcoString,
    /// Requests answered with success and a whole body, including wrong bodies.
    pub answered: u64,
    /// Answers whose body is cut off or is that of another request.
    pub wrong: u64,
    /// Failures with the verdict *not run*, and requests that no entry accepted.
    pub not_run: u64,
    /// Failures with the verdict *may have run*, or without a verdict.
    pub may_have_run: u64,
    /// Requests without an answer when the caller gave up, long after their deadline.
    #[serde(default, rename = "silent")]
    pub unanswered: u64,
    /// Requests that the tool did not send because too many were unanswered.
    pub unsent: u64,
    /// The median latency, in microseconds.
    pub p50_us: u64,
    /// The 99th percentile of the latency, in microseconds.
    pub p99_us: u64,
    /// The 99.9th percentile of the latency, in microseconds.
    pub p999_us: u64,
    /// The largest latency, in microseconds.
    pub max_us: u64,
    /// The time and latency of each answered request, for plots; not written to JSON.
    #[serde(skip)]
    pub samples: Vec<Sample>,
}

impl KindOutcome {
    /// Creates the results of one kind from its load report.
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
    /// Returns whether the scenario passed: no violations, no wrong answers, no
    /// unanswered requests and no lost tasks.
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
    /// Fails if the file can't be read or is not a result file.
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

    /// Returns the results of a scenario, or `None` if it did not run.
    pub fn scenario(&self, name: &str) -> Option<&Outcome> {
        self.scenarios
            .iter()
            .find(|outcome| outcome.scenario == name)
    }
}
