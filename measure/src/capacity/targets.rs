//! The sums at the size of two years, against the stated targets.

use super::series::Series;

/// Workers.
const WORKERS: f64 = 15_000.0;

/// Running tasks, latency-critical and batch.
const RUNNING_TASKS: f64 = 149_000.0;

/// Teams with quotas.
const TEAMS: f64 = 570.0;

/// Entries that control is spread over: two for each of 28 failure domains.
const ENTRIES: f64 = 56.0;

/// Changes of the instance list a second: 290 failures and 1,200 replacements a
/// day, each seen twice.
const LIST_CHANGES_PER_S: f64 = 2.0 * 1_490.0 / 86_400.0;

/// Bytes a second that control may cost a daemon.
const TARGET_BYTES_PER_S: f64 = 29_000.0;

/// Microseconds of processor a second that control may cost a daemon: 1.8%.
const TARGET_CPU_US_PER_S: f64 = 18_000.0;

/// Bytes of memory that control may cost a daemon.
const TARGET_HEAP_BYTES: f64 = 32_000_000.0;

/// Store calls a second of all daemons: several hundred writes and two thousand
/// reads are served.
const TARGET_STORE_CALLS_PER_S: f64 = 2_000.0;

/// One line of the sum for one daemon.
struct Contribution {
    quantity: &'static str,
    count: f64,
}

/// What one daemon has to do with.
const CONTRIBUTIONS: [Contribution; 6] = [
    Contribution {
        quantity: "peer",
        count: ENTRIES - 1.0,
    },
    Contribution {
        quantity: "worker",
        count: WORKERS / ENTRIES,
    },
    Contribution {
        quantity: "running task",
        count: RUNNING_TASKS / ENTRIES,
    },
    Contribution {
        quantity: "listed instance",
        count: WORKERS,
    },
    Contribution {
        quantity: "listed instance a change",
        count: WORKERS * LIST_CHANGES_PER_S,
    },
    Contribution {
        quantity: "team",
        count: TEAMS,
    },
];

/// Prints the sums and returns whether each lies within its target.
pub fn print_targets(series: &[Series]) -> bool {
    println!("\none of {ENTRIES} daemons at the size of two years:");
    let bytes = ["peer bytes", "store bytes", "worker bytes", "list change"];
    let mut within_targets = print_sum(series, &bytes, "B/s", TARGET_BYTES_PER_S);
    within_targets &= print_sum(
        series,
        &["processor", "list change processor"],
        "us/s",
        TARGET_CPU_US_PER_S,
    );
    within_targets &= print_sum(
        series,
        &["heap", "heap with stand-in"],
        "B",
        TARGET_HEAP_BYTES,
    );
    let calls = series.iter().find(|line| line.name == "store calls / peer");
    let calls_per_s = calls.map_or(0.0, |line| line.fit.at(ENTRIES - 1.0)) * ENTRIES;
    println!("store calls of all daemons: {calls_per_s:.0} a second of {TARGET_STORE_CALLS_PER_S}");
    within_targets && calls_per_s <= TARGET_STORE_CALLS_PER_S
}

fn print_sum(series: &[Series], quantities: &[&str], unit: &str, target: f64) -> bool {
    let mut total = 0.0;
    for contribution in CONTRIBUTIONS {
        for quantity in quantities {
            let Some(name) = series_name(quantity, contribution.quantity) else {
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
    let verdict = if total <= target {
        "fits"
    } else {
        "DOES NOT FIT"
    };
    println!("  sum {total:.0} {unit} of {target} {unit}: {verdict}");
    total <= target
}

/// Returns the series of a quantity; those of list changes grow with the
/// changes, all others with time.
fn series_name(quantity: &str, grows_with: &str) -> Option<String> {
    let of_changes = quantity.starts_with("list change");
    match grows_with.strip_suffix(" a change") {
        Some(grows_with) => of_changes.then(|| format!("{quantity} / {grows_with}")),
        None => (!of_changes).then(|| format!("{quantity} / {grows_with}")),
    }
}
