//! Slopes of state, messages and processor time, from which `docs/CAPACITY.md`
//! is worked out.

mod fit;
mod node_simulation;
mod series;
mod targets;

use std::path::Path;

use anyhow::Result;

pub use fit::Fit;
pub use series::{Series, measure_all};
pub use targets::print_targets;

/// Returns how many bytes the process has on its heap.
pub type HeapBytes = fn() -> u64;

/// Measures every slope, prints a table and the sums at the size of two years,
/// and writes `capacity.json`.
///
/// Returns whether every sum lies within its target.
pub fn run(out: &Path, heap: HeapBytes) -> Result<bool> {
    let series = measure_all(heap)?;
    println!(
        "{:<44} {:>12} {:>14} {:>14} {:>9}  sizes",
        "quantity", "unit", "base", "slope", "residual"
    );
    for line in &series {
        println!(
            "{:<44} {:>12} {:>14.3} {:>14.4} {:>8.1}%  {:?}",
            line.name,
            line.unit,
            line.fit.base,
            line.fit.slope,
            line.fit.residual * 100.0,
            line.points.iter().map(|point| point.0).collect::<Vec<_>>(),
        );
    }
    std::fs::create_dir_all(out)?;
    let path = out.join("capacity.json");
    std::fs::write(&path, serde_json::to_string_pretty(&series)?)?;
    println!("results: {}", path.display());
    Ok(print_targets(&series))
}
