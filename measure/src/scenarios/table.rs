//! Prints results as a table, beside those of an earlier run.

use super::outcome::{KindOutcome, Outcome, Results};

/// Prints the results of a scenario, beside those of the same scenario in `earlier`.
pub(super) fn print(outcome: &Outcome, earlier: Option<&Results>) {
    let earlier = earlier.and_then(|results| results.scenario(&outcome.scenario));
    println!("\n== {} ({} ms)", outcome.scenario, outcome.duration_ms);
    println!(
        "{:<26} {:>9} {:>6} {:>9} {:>6} {:>6} {:>7} {:>9} {:>9} {:>9}  p99 before",
        "kind",
        "answered",
        "wrong",
        "not run",
        "maybe",
        "silent",
        "unsent",
        "p50 ms",
        "p99 ms",
        "p99.9 ms"
    );
    for kind in &outcome.requests {
        let before = earlier.and_then(|earlier| {
            let mut kinds = earlier.requests.iter();
            kinds.find(|other| other.kind == kind.kind)
        });
        print_kind(kind, before);
    }
    let tasks = &outcome.tasks;
    println!(
        "tasks: {} accepted, {} finished, {} cancelled, {} failed, {} unfinished, {} lost, {} evictions, last end {} ms{}",
        tasks.accepted,
        tasks.finished,
        tasks.cancelled,
        tasks.failed,
        tasks.unfinished,
        tasks.lost,
        tasks.evictions,
        tasks.last_end_ms,
        earlier.map_or(String::new(), |earlier| format!(
            " (before: {} finished, last end {} ms)",
            earlier.tasks.finished, earlier.tasks.last_end_ms
        )),
    );
    println!(
        "store: {} writes, {} reads; processor {} ms a second; resident {} MiB; violations {}",
        outcome.store_writes,
        outcome.store_reads,
        outcome.cpu_ms_per_s,
        outcome.resident_bytes >> 20,
        outcome.violations.len()
    );
    for violation in outcome.violations.iter().take(10) {
        println!("  violation: {violation}");
    }
}

fn print_kind(kind: &KindOutcome, before: Option<&KindOutcome>) {
    let ms = |us: u64| us as f64 / 1_000.0;
    let before = before.map_or(String::new(), |before| {
        let ratio = kind.p99_us as f64 / before.p99_us.max(1) as f64;
        format!("{:.1} (x{ratio:.2})", ms(before.p99_us))
    });
    println!(
        "{:<26} {:>9} {:>6} {:>9} {:>6} {:>6} {:>7} {:>9.1} {:>9.1} {:>9.1}  {before}",
        kind.kind,
        kind.answered,
        kind.wrong,
        kind.not_run,
        kind.may_have_run,
        kind.unanswered,
        kind.unsent,
        ms(kind.p50_us),
        ms(kind.p99_us),
        ms(kind.p999_us),
    );
}
