//! The actual behaviour of the tasks of each kind, whatever their callers declare.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use turmericfold_types::{KindName, ServiceName, TaskId};

/// The longest run time of a task, as a multiple of [`KindBehaviour::min_run_ms`].
const MAX_RUN_TIME_FACTOR: f64 = 20.0;

/// The behaviour of the tasks of each kind.
pub type KindBehaviours = BTreeMap<KindName, KindBehaviour>;

/// The behaviour of the tasks of one kind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KindBehaviour {
    /// The processor use of a run, in thousandths of a core.
    pub cpu_millicores: u64,
    /// The memory use of a run, in bytes.
    pub memory_bytes: u64,
    /// The largest deviation of one task from these two, up or down, in thousandths.
    pub size_spread_permille: u64,
    /// The shortest run time, in milliseconds.
    pub min_run_ms: u64,
    /// Whether run times have a heavy tail.
    pub has_heavy_tail: bool,
    /// Whether every run fails.
    pub always_fails: bool,
    /// The increase in the service time of each service, in thousandths, if it runs
    /// under full load on an instance whose processors are all used by this kind.
    pub slowdown_permille: BTreeMap<ServiceName, u32>,
}

impl KindBehaviour {
    /// Returns the resource use of a task relative to its kind, in thousandths.
    pub(crate) fn size_permille(&self, task: &TaskId) -> u64 {
        let spread = self.size_spread_permille as f64;
        (1_000.0 - spread + 2.0 * spread * fraction(task, "size")).max(1.0) as u64
    }

    /// Returns the run time of a task relative to its kind's minimum, in thousandths.
    pub(crate) fn run_time_permille(&self, task: &TaskId) -> u64 {
        if !self.has_heavy_tail {
            return 1_000;
        }
        // Samples a Pareto distribution with the exponent 1.5 by inversion.
        let uniform = 1.0 - fraction(task, "run");
        (1_000.0 * uniform.powf(-1.0 / 1.5).min(MAX_RUN_TIME_FACTOR)) as u64
    }
}

/// Returns a number in 0..1 that depends only on the task and the property.
fn fraction(task: &TaskId, property: &str) -> f64 {
    let mut hasher = DefaultHasher::new();
    (task, property).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64
}
