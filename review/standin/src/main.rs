//! Stand-ins and scripts of the review; see the `claim.txt` of each case.

mod http;
mod json;
mod large_progress;
mod late_hold;
mod record;
mod route_removed;
mod runner;
mod runs;
mod stale_lease;
mod stale_owner;
mod store;
mod store_path;
mod world;

use record::record;
use world::CantRun;

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).map(String::as_str) == Some("runner") {
        let number = |index: usize| args[index].parse::<i64>().expect("a number");
        runner::run(runner::Settings {
            id: args[2].clone(),
            port: number(3) as u16,
            store: args[4].clone(),
            service: args[5].clone(),
            zone: args[6].clone(),
            labels: args[7].split(',').map(str::to_owned).collect(),
            cpu: number(8),
            mem_mb: number(9),
            hold_max_ms: number(10),
            stop_ms: number(11) as u64,
            late_holds_ms: number(12) as u64,
        });
        return;
    }
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = match args.get(1).map(String::as_str) {
        Some("stale-lease") => stale_lease::run(has_trouble),
        Some("route-removed") => route_removed::run(has_trouble),
        Some("stale-owner") => stale_owner::run(has_trouble),
        Some("large-progress") => large_progress::run(has_trouble),
        Some("late-hold") => late_hold::run(has_trouble),
        _ => Err(CantRun("no such case".into())),
    };
    let (code, text) = match result {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken(how)) => (1, format!("the rule was broken: {how}")),
        Err(CantRun(why)) => (2, format!("the case could not run: {why}")),
    };
    record(&format!("script RESULT {code}: {text}"));
    println!("{code}: {text}");
    std::process::exit(code);
}
