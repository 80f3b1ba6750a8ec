//! Totals at the fleet size expected in two years, compared with the targets.

use super::series::Series;

/// The number of workers.
const WORKERS: f64 = 15_000.0;

/// The number of running tasks, latency-critical and batch together.
const RUNNING_TASKS: f64 = 149_000.0;

/// The number of teams with quotas.
const TEAMS: f64 = 570.0;

/// The number of entries that share the control work: two for each of 28 failure domains.
const ENTRIES: f64 = 56.0;

/// The changes of the instance list a second: 290 failures and 1,200 replacements a day,
/// each of which changes the list twice.
const LIST_CHANGES_PER_S: f64 = 2.0 * 1_490.0 / 86_400.0;

/// The limit on bytes a second of control messages of one entry.
const MAX_BYTES_PER_S: f64 = 29_000.0;

/// The limit on processor time of control in one entry, in microseconds a second: 1.8%.
const MAX_CPU_US_PER_S: f64 = 18_000.0;

/// The limit on heap bytes of control in one entry.
const MAX_HEAP_BYTES: f64 = 32_000_000.0;

/// The limit on store calls a second of all entries together: the store serves several
/// hundred writes and two thousand reads a second.
const MAX_STORE_CALLS_PER_S: f64 = 2_000.0;

/// The part of one entry in the quantities that grow with one kind of thing.
struct Contribution {
    grows_with: &'static str,
    /// The number of such things for one entry.
    count: f64,
}

/// The numbers of peers, workers, tasks, instances, list changes and teams of one entry.
const CONTRIBUTIONS: [Contribution; 6] = [
    Contribution {
        grows_with: "peer",
        count: ENTRIES - 1.0,
    },
    Contribution {
        grows_with: "worker",
        count: WORKERS / ENTRIES,
    },
    Contribution {
        grows_with: "running task",
        count: RUNNING_TASKS / ENTRIES,
    },
    Contribution {
        grows_with: "listed instance",
        count: WORKERS,
    },
    Contribution {
        grows_with: "listed instance a change",
        count: WORKERS * LIST_CHANGES_PER_S,
    },
    Contribution {
        grows_with: "team",
        count: TEAMS,
    },
];

/// Prints the totals and returns whether each is within its target.
pub fn print_targets(series: &[Series]) -> bool {
    println!("\none of {ENTRIES} entries at the fleet size expected in two years:");
    let bytes = ["peer bytes", "store bytes", "worker bytes", "list change"];
    let mut within_targets = print_total(series, &bytes, "B/s", MAX_BYTES_PER_S);
    within_targets &= print_total(
        series,
        &["processor", "list change processor"],
        "us/s",
        MAX_CPU_US_PER_S,
    );
    within_targets &= print_total(series, &["heap", "heap with stand-in"], "B", MAX_HEAP_BYTES);
    let calls = series.iter().find(|line| line.name == "store calls / peer");
    let calls_per_s = calls.map_or(0.0, |line| line.fit.at(ENTRIES - 1.0)) * ENTRIES;
    println!("store calls of all entries: {calls_per_s:.0} a second of {MAX_STORE_CALLS_PER_S}");
    within_targets && calls_per_s <= MAX_STORE_CALLS_PER_S
}

/// Prints the parts and the total of some quantities; returns whether the total is within
/// `target`.
fn print_total(series: &[Series], quantities: &[&str], unit: &str, target: f64) -> bool {
    let mut total = 0.0;
    for contribution in CONTRIBUTIONS {
        for quantity in quantities {
            let Some(name) = series_name(quantity, contribution.grows_with) else {
                continue;
            };
            let Some(line) = series.iter().find(|line| line.name == name) else {
                continue;
            };
            let value = line.fit.slope.max(0.0) * contribution.count;
            total += value;
            println!(
                "  {name:<44} x {:>8.0} = {value:>14.0} {unit}",
                contribution.count
            );
        }
    }
    let evaluation = if total <= target {
        "fits"
    } else {
        "DOES NOT FIT"
    };
    println!("  sum {total:.0} {unit} of {target} {unit}: {evaluation}");
    total <= target
}

/// Returns the name of the series of a quantity that grows with something, or `None` if
/// there is none.
///
/// Only the quantities of list changes are multiplied by the number of changes; all
/// others are rates or sizes.
fn series_name(quantity: &str, grows_with: &str) -> Option<String> {
    let of_changes = quantity.starts_with("list change");
    match grows_with.strip_suffix(" a change") {
        Some(grows_with) => of_changes.then(|| format!("{quantity} / {grows_with}")),
        None => (!of_changes).then(|| format!("{quantity} / {grows_with}")),
    }
}
