//! The `turmericfold-fuzz` command: runs one random history for each of many seeds, and
//! prints each history that causes a violation, reduced as far as possible.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use turmericfold_tests::fuzz::{draw_history, run_history, shorten};

#[derive(Debug, Clone)]
struct Options {
    seeds: SeedRange,
    steps: usize,
}

/// The seeds from `from` up to but not including `until`.
#[derive(Debug, Clone, Copy)]
struct SeedRange {
    from: u64,
    until: u64,
}

fn parse_seeds(text: String) -> Result<SeedRange, String> {
    let number = |text: &str| text.parse::<u64>().map_err(|error| error.to_string());
    let (from, until) = text
        .split_once("..")
        .ok_or("invalid seed range; write it as FROM..UNTIL")?;
    Ok(SeedRange {
        from: number(from)?,
        until: number(until)?,
    })
}

fn options() -> OptionParser<Options> {
    let seeds = long("seeds")
        .help("Range of seeds as FROM..UNTIL; UNTIL is excluded")
        .argument::<String>("RANGE")
        .parse(parse_seeds)
        .fallback(SeedRange { from: 0, until: 20 });
    let steps = long("steps")
        .help("Number of operations in each history")
        .argument("COUNT")
        .fallback(200);
    construct!(Options { seeds, steps })
        .to_options()
        .descr("Fuzzes the decision system with random faults in virtual time.")
}

fn main() -> ExitCode {
    let options = options().run();
    let mut failed_seeds = 0;
    let mut requests = 0;
    let mut ended = 0;
    for seed in options.seeds.from..options.seeds.until {
        let history = draw_history(seed, options.steps);
        let outcome = run_history(seed, &history, None);
        requests += outcome.requests;
        ended += outcome.ended;
        if outcome.violations.is_empty() {
            continue;
        }
        failed_seeds += 1;
        println!("seed {seed}: {:?}", outcome.violations);
        let shortest = shorten(seed, &history, None);
        for (index, op) in shortest.iter().enumerate() {
            println!("  {index:>3}  {op}");
        }
        println!("  => {:?}", run_history(seed, &shortest, None).violations);
    }
    let seeds = options.seeds.until.saturating_sub(options.seeds.from);
    println!(
        "{seeds} seeds, {} operations, {ended} tasks ended, {requests} requests, {failed_seeds} faulty",
        seeds * options.steps as u64
    );
    if failed_seeds == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
