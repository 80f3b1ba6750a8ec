//! The `turmericfold-soak` command: runs a soak of a simulated fleet for a range of seeds and
//! prints the promises that were broken.

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use bpaf::{OptionParser, Parser, construct, long};
use turmericfold_tests::soak::{Reduction, Soak, reduce};
use turmericfold_tests::{partition_soak, recut_soak, restart_soak};

#[derive(Debug, Clone)]
struct Options {
    from: u64,
    until: u64,
    jobs: usize,
    partitions: bool,
    drains: bool,
    recut: bool,
    reduce: bool,
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
    let partitions = long("partitions")
        .help("Cut nodes, store and workers off from each other as well")
        .switch();
    let drains = long("drains")
        .help("Drain, replace and misdirect workers as well, every other one with a slow clock")
        .switch();
    let recut = long("recut")
        .help("Cut workers off soon after they restart, with late calls and owners that are killed, in place of the usual faults")
        .switch();
    let reduce = long("reduce")
        .help("Print the fewest faults that break a promise of the same kind")
        .switch();
    construct!(Options {
        from,
        until,
        jobs,
        partitions,
        drains,
        recut,
        reduce
    })
    .to_options()
    .descr("Soaks a simulated fleet with restarts of workers beside other faults.")
}

impl Options {
    fn draw(&self, seed: u64) -> Soak {
        let soak = match (self.recut, self.partitions) {
            (true, _) => recut_soak::draw_soak(seed),
            (false, true) => partition_soak::draw_soak(seed),
            (false, false) => restart_soak::draw_soak(seed),
        };
        match self.drains {
            true => soak.with_drains(),
            false => soak,
        }
    }

    /// Runs the soak of a seed and returns whether a promise was broken.
    fn is_faulty(&self, seed: u64) -> bool {
        let violations = self.draw(seed).run();
        if violations.is_empty() {
            return false;
        }
        println!("seed {seed}: {violations:?}");
        if self.reduce
            && let Some(reduction) = reduce(|| self.draw(seed))
        {
            print_reduction(&self.draw(seed), &reduction);
        }
        true
    }
}

fn print_reduction(soak: &Soak, reduction: &Reduction) {
    let labels = reduction
        .numbers
        .iter()
        .map(|number| format!("\n  fault {number}, {}", soak.groups()[*number].label));
    let labels: String = labels.collect();
    println!("reduced: {:?}{labels}", reduction.violations);
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
                    if options.is_faulty(seed) {
                        faulty.fetch_add(1, Ordering::Relaxed);
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
