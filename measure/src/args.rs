//! The parser of the command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};
use ecow::EcoString;

use crate::platform::PlatformPlan;
use crate::scenarios::RunPlan;

/// The duration of the load of a scenario without `--seconds`, in seconds.
const DEFAULT_LOAD_SECONDS: u64 = 20;

/// A command of the tool.
#[derive(Debug, Clone)]
pub enum Command {
    /// Runs the demonstration.
    Demo {
        /// The configuration of the fleet.
        configuration: PathBuf,
        /// The directory for the results.
        out: PathBuf,
    },
    /// Serves stand-ins for the platform.
    Platform(PlatformPlan),
    /// Measures how the cost of an entry grows, for `docs/CAPACITY.md`.
    Capacity {
        /// The directory for the results.
        out: PathBuf,
    },
    /// Compares request policies.
    Requests {
        /// The directory for the results.
        out: PathBuf,
    },
    /// Measures the batch scheduler.
    Batch {
        /// The directory for the results.
        out: PathBuf,
        /// The measured virtual time, in minutes.
        minutes: u64,
        /// The seed of the workload and of random choices.
        seed: u64,
    },
    /// Runs scenarios.
    Run(RunPlan),
    /// Runs one entry of a fleet that another process of the tool started.
    Entry {
        /// The settings file.
        settings: PathBuf,
    },
}

/// Returns the parser of the command line.
pub fn command() -> OptionParser<Command> {
    construct!([
        demo(),
        run(),
        capacity(),
        requests(),
        batch(),
        entry(),
        platform()
    ])
    .to_options()
    .descr("Puts load on turmericfold on loopback and measures it.")
}

fn out() -> impl Parser<PathBuf> {
    long("out")
        .help("Directory for the results")
        .argument("DIRECTORY")
        .fallback(PathBuf::from("out"))
}

fn demo() -> impl Parser<Command> {
    let configuration = long("configuration")
        .help("Configuration of the fleet")
        .argument("FILE")
        .fallback(PathBuf::from("examples/desai.yaml"));
    let out = out();
    construct!(Command::Demo { configuration, out })
        .to_options()
        .descr("Runs a small fleet on loopback, kills one entry and prints the results.")
        .command("demo")
}

fn requests() -> impl Parser<Command> {
    let out = out();
    construct!(Command::Requests { out })
        .to_options()
        .descr("Compares request policies in virtual time and measures the request path.")
        .command("requests")
}

fn batch() -> impl Parser<Command> {
    let minutes = long("minutes")
        .help("Virtual time to measure after the warm-up, in minutes")
        .argument("MINUTES")
        .fallback(30);
    let seed = long("seed")
        .help("Seed of the workload and of random choices")
        .argument("NUMBER")
        .fallback(1);
    let out = out();
    construct!(Command::Batch { out, minutes, seed })
        .to_options()
        .descr("Measures batch decisions in virtual time against simple policies.")
        .command("batch")
}

fn run() -> impl Parser<Command> {
    let scenarios = long("scenario")
        .help("Scenario to run; may be repeated; without it, all scenarios run")
        .argument::<EcoString>("NAME")
        .many();
    let firm = long("firm")
        .help("Firm whose example configuration is used: desai or dalisay")
        .argument::<EcoString>("FIRM")
        .fallback("desai".into());
    let compare = long("compare")
        .help("The results.json of an earlier run, to compare with")
        .argument("FILE")
        .optional();
    let out = out();
    let seconds = long("seconds")
        .help("Duration of the load of each scenario, in seconds")
        .argument("SECONDS")
        .fallback(DEFAULT_LOAD_SECONDS);
    let plan = construct!(RunPlan {
        scenarios,
        firm,
        compare,
        out,
        seconds
    });
    construct!(Command::Run(plan))
        .to_options()
        .descr("Runs scenarios on whole fleets, prints tables, writes JSON and plots.")
        .command("run")
}

fn capacity() -> impl Parser<Command> {
    let out = out();
    construct!(Command::Capacity { out })
        .to_options()
        .descr("Measures how memory, messages and processor time grow; checks the targets.")
        .command("capacity")
}

fn entry() -> impl Parser<Command> {
    let settings = long("settings")
        .help("Settings file of the process, YAML")
        .argument("FILE");
    construct!(Command::Entry { settings })
        .to_options()
        .descr("Runs one entry of a fleet; started by `run`, which pauses the process.")
        .command("entry")
}

fn platform() -> impl Parser<Command> {
    let listen = long("listen")
        .help("Address of the store, the instance list and the workers")
        .argument::<EcoString>("IP:PORT")
        .fallback("127.0.0.1:7000".into());
    let configuration = long("configuration")
        .help("Configuration with the failure domains and services; it is not put in force")
        .argument("PATH")
        .fallback(PathBuf::from("examples/desai"));
    let endpoints = long("endpoints")
        .help("Number of endpoints of each service")
        .argument("NUMBER")
        .fallback(12);
    let service_time_ms = long("service-time-ms")
        .help("Time that an endpoint takes for a request, in milliseconds")
        .argument("MS")
        .fallback(20);
    let workers = long("workers")
        .help("Workers")
        .argument("NUMBER")
        .fallback(12);
    let plan = construct!(PlatformPlan {
        listen,
        configuration,
        endpoints,
        service_time_ms,
        workers
    });
    construct!(Command::Platform(plan))
        .to_options()
        .descr("Serves stand-ins for the platform until it is interrupted.")
        .command("platform")
}
