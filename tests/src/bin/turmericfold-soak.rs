//! The `turmericfold-soak` command: runs the soak of restarting workers for a range of seeds and
//! prints the promises that were broken.

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use bpaf::{OptionParser, Parser, construct, long};
use turmericfold_tests::restart_soak::soak;

#[derive(Debug, Clone)]
struct Options {
    from: u64,
    until: u64,
    jobs: usize,
}

fn options() -> OptionParser<Options> {
    let from = long("from").help("First seed").argument("SEED").fallback(0);
    let until = long("until")
        .help("Seed before which to end")
        .argument("SEED")
        .fallback(50);
    let jobs = long("jobs")
        .help("Number of soaks at a time")
        .argument("COUNT")
        .fallback(4);
    construct!(Options { from, until, jobs })
        .to_options()
        .descr("Soaks a simulated fleet with restarts of workers beside other faults.")
}

fn main() -> ExitCode {
    let options = options().run();
    let next_seed = AtomicU64::new(options.from);
    let faulty = AtomicU64::new(0);
    thread::scope(|scope| {
        for _ in 0..options.jobs {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= options.until {
                        return;
                    }
                    let violations = soak(seed);
                    if !violations.is_empty() {
                        faulty.fetch_add(1, Ordering::Relaxed);
                        println!("seed {seed}: {violations:?}");
                    }
                }
            });
        }
    });
    let seeds = options.until.saturating_sub(options.from);
    let faulty = faulty.into_inner();
    println!("{seeds} seeds, {faulty} faulty");
    match faulty {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
