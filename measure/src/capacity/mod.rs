//! The command `capacity`: measures how memory, messages and processor time of an entry
//! grow with the fleet; `docs/CAPACITY.md` is based on it.

mod fit;
mod node_simulation;
mod series;
mod targets;

use std::path::Path;

use anyhow::Result;

pub use fit::Fit;
pub use series::{Series, measure_all};
pub use targets::print_targets;

/// Returns the allocated heap bytes of this process.
pub type HeapBytes = fn() -> u64;

/// Measures all quantities, prints a table and the totals at the fleet size expected in
/// two years, and writes `capacity.json`.
///
/// Returns whether every total is within its target.
///
/// Fails if a node does not get its shards or tasks, or a file can't be written.
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
