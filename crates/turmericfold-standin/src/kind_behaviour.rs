//! What tasks of a kind truly need, whatever their callers declare.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use turmericfold_types::{KindName, ServiceName, TaskId};

/// The longest run time of a task, in multiples of the usual one.
const LONGEST: f64 = 20.0;

/// The behaviour of every kind.
pub type KindBehaviours = BTreeMap<KindName, KindBehaviour>;

/// The behaviour of one kind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KindBehaviour {
    /// Processor share a run uses, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory a run uses, in bytes.
    pub memory_bytes: u64,
    /// How far the size of single tasks differs, in thousandths up or down.
    pub size_spread_permille: u64,
    /// The shortest run time, in milliseconds.
    pub min_run_ms: u64,
    /// Whether run times have a heavy tail.
    pub has_heavy_tail: bool,
    /// Whether every run fails.
    pub always_fails: bool,
    /// Excess service time of services beside a whole worker of this kind under
    /// full load, in thousandths.
    pub slowdown_permille: BTreeMap<ServiceName, u32>,
}

impl KindBehaviour {
    /// Returns the size of one task against its kind, in thousandths.
    pub(crate) fn size_permille(&self, task: &TaskId) -> u64 {
        let spread = self.size_spread_permille as f64;
        (1_000.0 - spread + 2.0 * spread * fraction(task, "size")).max(1.0) as u64
    }

    /// Returns the run time of one task against its kind, in thousandths.
    pub(crate) fn tail_permille(&self, task: &TaskId) -> u64 {
        if !self.has_heavy_tail {
            return 1_000;
        }
        // A Pareto distribution with the exponent 1.5.
        let rest = 1.0 - fraction(task, "run");
        (1_000.0 * rest.powf(-1.0 / 1.5).min(LONGEST)) as u64
    }
}

/// Returns a number in 0..1 that follows from the task alone.
fn fraction(task: &TaskId, what: &str) -> f64 {
    let mut hasher = DefaultHasher::new();
    (task, what).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64
}
