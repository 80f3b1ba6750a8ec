//! The `turmericfold-process-soak` command: runs fleets of separate processes with faults and
//! prints the tasks that ran twice.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use turmericfold_tests::process_fleet::{
    DomainSize, FleetLayout, Scenario, ScenarioOutcome, Script,
};

/// The name of the program that the processes run, in the folder of this one.
const ENTRY_PROGRAM: &str = "turmericfold-entry";

#[derive(Debug, Clone)]
struct Options {
    from: u64,
    until: u64,
    domains: String,
    script: Script,
    faults_ms: u64,
    program: Option<PathBuf>,
    logs: Option<PathBuf>,
}

fn options() -> OptionParser<Options> {
    let from = long("from").help("First seed").argument("SEED").fallback(0);
    let until = long("until")
        .help("Seed before which to end")
        .argument("SEED")
        .fallback(5);
    let domains = long("domains")
        .help("Processes and workers of each failure domain")
        .argument("P:W,..")
        .fallback("3:8,2:7,2:7".into());
    let script = long("script")
        .help("Faults: mixed, domain-cut, outage-at-heal, two-cuts, restart-in-cut, drain-cut, misroute, leave-return, late-calls, recut, long-recut, recut-kill, recut-mixed or all")
        .argument("NAME")
        .fallback(Script::Mixed);
    let faults_ms = long("faults-ms")
        .help("How long drawn faults begin, in milliseconds")
        .argument("MS")
        .fallback(30_000);
    let program = long("program")
        .help("Program of the processes, in place of the one built with this soak")
        .argument("PATH")
        .optional();
    let logs = long("logs")
        .help("Folder for the settings and logs of all processes")
        .argument("DIR")
        .optional();
    construct!(Options {
        from,
        until,
        domains,
        script,
        faults_ms,
        program,
        logs
    })
    .to_options()
    .descr("Runs fleets of separate processes with faults, and prints the tasks that ran twice.")
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = options().run();
    let Some(layout) = parse_layout(&options.domains) else {
        eprintln!("--domains: expected P:W,.. such as 3:8,2:7,2:7");
        return ExitCode::FAILURE;
    };
    let Some(program) = options.program.clone().or_else(built_program) else {
        eprintln!("can't find {ENTRY_PROGRAM}; name it with --program");
        return ExitCode::FAILURE;
    };
    let own = format!("turmericfold-process-soak-{}", std::process::id());
    let logs = options.logs.clone();
    let logs = logs.unwrap_or_else(|| std::env::temp_dir().join(own));
    println!("logs are in {}", logs.display());
    let mut faulty = 0;
    for seed in options.from..options.until {
        let scenario = scenario(&options, &layout, seed);
        let outcome = scenario
            .run(&program, &logs.join(format!("seed-{seed}")))
            .await;
        faulty += u64::from(!outcome.cases.is_empty());
        print_outcome(seed, &outcome);
    }
    let seeds = options.until.saturating_sub(options.from);
    println!("{seeds} seeds, {faulty} faulty");
    match faulty {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn built_program() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    Some(own.with_file_name(ENTRY_PROGRAM))
}

fn scenario(options: &Options, layout: &FleetLayout, seed: u64) -> Scenario {
    Scenario {
        layout: layout.clone(),
        plan: options.script.plan(layout, seed, options.faults_ms),
        load: options.script.load(),
        seed,
    }
}

fn parse_layout(text: &str) -> Option<FleetLayout> {
    let domains = text.split(',').map(|domain| {
        let (processes, workers) = domain.split_once(':')?;
        Some(DomainSize {
            processes: processes.parse().ok()?,
            workers: workers.parse().ok()?,
        })
    });
    let domains: Option<Vec<DomainSize>> = domains.collect();
    domains.map(FleetLayout::new)
}

fn print_outcome(seed: u64, outcome: &ScenarioOutcome) {
    println!(
        "seed {seed}: {} jobs accepted, {} runs, {} cases",
        outcome.accepted_jobs,
        outcome.record.run_count(),
        outcome.cases.len()
    );
    for (at, fault) in &outcome.faults {
        println!("  {} {fault}", at.0);
    }
    let mut printed = BTreeSet::new();
    for case in &outcome.cases {
        let task = case.first.run.task;
        println!("  {:?} {task}", case.kind);
        if printed.insert(task) {
            for run in outcome.record.runs_of(&task) {
                println!("    {run}");
            }
        }
    }
}
