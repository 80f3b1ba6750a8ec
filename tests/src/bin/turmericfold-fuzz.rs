//! The `turmericfold-fuzz` command: many seeds, the shortest history printed.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use turmericfold_tests::fuzz::{draw_history, run_history, shorten};

#[derive(Debug, Clone)]
struct Plan {
    seeds: SeedRange,
    steps: usize,
}

/// Seeds from the first up to, not including, the second.
#[derive(Debug, Clone, Copy)]
struct SeedRange {
    from: u64,
    until: u64,
}

fn parse_seeds(text: String) -> Result<SeedRange, String> {
    let number = |text: &str| text.parse::<u64>().map_err(|error| error.to_string());
    let (from, until) = text.split_once("..").ok_or("write seeds as FROM..UNTIL")?;
    Ok(SeedRange {
        from: number(from)?,
        until: number(until)?,
    })
}

fn plan() -> OptionParser<Plan> {
    let seeds = long("seeds")
        .help("Seeds, FROM..UNTIL")
        .argument::<String>("RANGE")
        .parse(parse_seeds)
        .fallback(SeedRange { from: 0, until: 20 });
    let steps = long("steps")
        .help("Operations of each history")
        .argument("COUNT")
        .fallback(200);
    construct!(Plan { seeds, steps })
        .to_options()
        .descr("Fuzzes the decision system with faults in virtual time.")
}

fn main() -> ExitCode {
    let plan = plan().run();
    let mut faulty = 0;
    let mut requests = 0;
    let mut ended = 0;
    for seed in plan.seeds.from..plan.seeds.until {
        let history = draw_history(seed, plan.steps);
        let verdict = run_history(seed, &history, None);
        requests += verdict.requests;
        ended += verdict.ended;
        if verdict.violations.is_empty() {
            continue;
        }
        faulty += 1;
        println!("seed {seed}: {:?}", verdict.violations);
        let shortest = shorten(seed, &history, None);
        for (index, op) in shortest.iter().enumerate() {
            println!("  {index:>3}  {op}");
        }
        println!("  => {:?}", run_history(seed, &shortest, None).violations);
    }
    let seeds = plan.seeds.until.saturating_sub(plan.seeds.from);
    println!(
        "{seeds} seeds, {} operations, {ended} tasks ended, {requests} requests, {faulty} faulty",
        seeds * plan.steps as u64
    );
    if faulty == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
