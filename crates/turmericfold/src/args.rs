//! The parser of the command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};

use crate::fleet_view::FleetSource;

/// A command with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Runs an entry process.
    Serve {
        /// The settings file.
        settings: PathBuf,
    },
    /// Runs an entry process on the users' platform.
    Enter {
        /// The settings file that the platform writes.
        settings: PathBuf,
    },
    /// Checks a configuration.
    Check {
        /// Whether the result is JSON.
        json: bool,
        /// The configuration: a file or a directory.
        configuration: PathBuf,
    },
    /// Prints the JSON Schema of a kind of file.
    Schema {
        /// The kind of file that the schema describes.
        kind: SchemaKind,
    },
    /// Shows what a configuration would change.
    Plan {
        /// Whether the result is JSON.
        json: bool,
        /// How to reach the fleet.
        source: FleetSource,
        /// The configuration: a file or a directory.
        configuration: PathBuf,
    },
    /// Puts a configuration in force.
    Apply {
        /// The options of the change.
        options: ApplyOptions,
        /// The configuration: a file or a directory.
        configuration: PathBuf,
    },
    /// Withdraws the revision on trial.
    Withdraw {
        /// How to reach the fleet.
        source: FleetSource,
        /// The reason, kept in the history.
        reason: String,
    },
    /// Shows the state of the fleet.
    Status {
        /// Whether the result is JSON.
        json: bool,
        /// Whether to show the state again every second.
        watch: bool,
        /// How to reach the fleet.
        source: FleetSource,
    },
    /// Prints the merged events of processes.
    Timeline {
        /// Which events to print, and in which format.
        options: TimelineOptions,
    },
    /// Explains what happened to a task or request.
    Explain {
        /// Where the events come from.
        events: EventSource,
        /// The identifier of the task or request.
        subject: String,
    },
}

/// A kind of file that has a JSON Schema.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SchemaKind {
    /// The configuration of the fleet.
    Configuration,
    /// The settings of a process.
    Settings,
}

/// Options of `turmericfold apply`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApplyOptions {
    /// How to reach the fleet.
    pub source: FleetSource,
    /// The revision the plan was made from; the accepted one if not given.
    pub base: Option<u64>,
    /// The share of processes that run the trial, in thousandths; no trial if
    /// not given.
    pub trial_permille: Option<u32>,
    /// The duration of the trial, in milliseconds.
    pub trial_ms: u64,
    /// Whether to wait until the configuration is in force on every process.
    pub wait: bool,
    /// The reason, kept in the history.
    pub reason: String,
}

/// Where events come from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventSource {
    /// Live processes to query, if any.
    pub fleet: Option<FleetSource>,
    /// Collected log files.
    pub logs: Vec<PathBuf>,
}

/// Which events of the time line are printed, and in which format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimelineOptions {
    /// Where the events come from.
    pub events: EventSource,
    /// Only events of this task.
    pub task: Option<String>,
    /// Only events of this request.
    pub request: Option<String>,
    /// Only events of this shard.
    pub shard: Option<String>,
    /// Only events of or about this instance.
    pub instance: Option<String>,
    /// Only events from this time on, in milliseconds since 1970.
    pub since_ms: Option<u64>,
    /// Only events up to this time, in milliseconds since 1970.
    pub until_ms: Option<u64>,
    /// The output format.
    pub format: TimelineFormat,
}

/// The output format of a time line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimelineFormat {
    /// One line of text for each event.
    Text,
    /// One line of JSON for each event.
    Json,
    /// Trace Event JSON.
    Trace,
    /// An SVG picture.
    Svg,
}

/// Returns the parser of the command line.
pub fn command() -> OptionParser<Command> {
    let commands = construct!([
        serve(),
        enter(),
        check(),
        schema(),
        plan(),
        apply(),
        withdraw(),
        status(),
        timeline(),
        explain()
    ]);
    commands
        .to_options()
        .descr("Schedules latency-critical requests and batch work on the same instances.")
        .footer("Exit codes: 0 done, 1 failed, 2 faulty input, 3 conflict with another change.")
        .version(env!("CARGO_PKG_VERSION"))
}

fn serve() -> impl Parser<Command> {
    let settings = long("settings")
        .help("Settings of the process, YAML")
        .argument("FILE");
    construct!(Command::Serve { settings })
        .to_options()
        .descr("Runs an entry process until SIGTERM or SIGINT.")
        .command("serve")
        .help("Run an entry process")
}

fn enter() -> impl Parser<Command> {
    let settings = long("settings")
        .help("Settings as the platform writes them, key=value lines")
        .env("TURMERICFOLD_CONFIG")
        .argument("FILE");
    construct!(Command::Enter { settings })
        .to_options()
        .descr("Runs an entry process on the users' platform until SIGTERM.")
        .command("enter")
        .help("Run an entry process on the users' platform")
}

fn configuration() -> impl Parser<PathBuf> {
    positional("CONFIGURATION").help("The configuration: a YAML file, or a directory of them")
}

fn json() -> impl Parser<bool> {
    long("json").help("Write JSON").switch()
}

fn source() -> impl Parser<FleetSource> {
    let store = long("store")
        .help("Base URL of the platform's store")
        .argument("URL")
        .map(FleetSource::Store);
    let settings = long("settings")
        .help("Settings file of a process, which names the store")
        .argument("FILE")
        .map(FleetSource::Settings);
    let operators = long("operator")
        .help("Operators' address of a process, IP:port; may be repeated")
        .argument("ADDRESS")
        .some("name the store, a settings file or a process")
        .map(FleetSource::Operators);
    construct!([store, settings, operators])
}

fn check() -> impl Parser<Command> {
    let json = json();
    let configuration = configuration();
    construct!(Command::Check {
        json,
        configuration
    })
    .to_options()
    .descr("Checks a configuration, lists every fault and sums the guaranteed room.")
    .command("check")
    .help("Check a configuration")
}

fn schema() -> impl Parser<Command> {
    let settings = long("for-settings")
        .help("The schema of a settings file")
        .req_flag(SchemaKind::Settings);
    let configuration = bpaf::pure(SchemaKind::Configuration);
    let kind = construct!([settings, configuration]);
    construct!(Command::Schema { kind })
        .to_options()
        .descr("Prints the JSON Schema of a configuration, for editors.")
        .command("schema")
        .help("Print the JSON Schema")
}

fn plan() -> impl Parser<Command> {
    let json = json();
    let source = source();
    let configuration = configuration();
    construct!(Command::Plan {
        json,
        source,
        configuration
    })
    .to_options()
    .descr("Shows the effects that a configuration would have.")
    .command("plan")
    .help("Show the effects of a configuration")
}

fn reason() -> impl Parser<String> {
    long("reason")
        .help("Reason for the change, kept in the history")
        .argument("TEXT")
        .fallback("no reason given".into())
}

fn apply() -> impl Parser<Command> {
    let source = source();
    let base = long("base")
        .help("The revision the plan was made from; the accepted one by default")
        .argument("NUMBER")
        .optional();
    let trial_permille = long("trial")
        .help("Start a trial on this share of the processes, in thousandths")
        .argument("PERMILLE")
        .guard(|share| (1..=500).contains(share), "must be from 1 to 500")
        .optional();
    let trial_ms = long("trial-ms")
        .help("Duration of the trial, in milliseconds")
        .argument("MS")
        .fallback(60_000);
    let wait = long("wait")
        .help("Wait until the configuration is in force on every process")
        .switch();
    let reason = reason();
    let options = construct!(ApplyOptions {
        source,
        base,
        trial_permille,
        trial_ms,
        wait,
        reason
    });
    let configuration = configuration();
    construct!(Command::Apply {
        options,
        configuration
    })
    .to_options()
    .descr("Puts a configuration in force, or on trial.")
    .command("apply")
    .help("Put a configuration in force")
}

fn withdraw() -> impl Parser<Command> {
    let source = source();
    let reason = reason();
    construct!(Command::Withdraw { source, reason })
        .to_options()
        .descr("Withdraws the revision on trial.")
        .command("withdraw")
        .help("Withdraw the revision on trial")
}

fn status() -> impl Parser<Command> {
    let json = json();
    let watch = long("watch").help("Repeat every second").switch();
    let source = source();
    construct!(Command::Status {
        json,
        watch,
        source
    })
    .to_options()
    .descr("Shows the state of the fleet.")
    .command("status")
    .help("Show the state of the fleet")
}

fn events() -> impl Parser<EventSource> {
    let fleet = source().optional();
    let logs = long("logs")
        .help("A collected log file of JSON lines; may be repeated")
        .argument("FILE")
        .many();
    construct!(EventSource { fleet, logs })
}

fn timeline() -> impl Parser<Command> {
    let events = events();
    let task = text("task", "Only events of this task", "TASK");
    let request = text("request", "Only events of this request", "REQUEST");
    let shard = text("shard", "Only events of this shard", "SHARD");
    let instance = text("instance", "Only events of or about this instance", "NAME");
    let since_ms = time("since", "Only events from this time on");
    let until_ms = time("until", "Only events up to this time");
    let json = format("json", "Write JSON lines", TimelineFormat::Json);
    let trace = format("trace", "Write Trace Event JSON", TimelineFormat::Trace);
    let svg = format("svg", "Write an SVG picture", TimelineFormat::Svg);
    let text_format = bpaf::pure(TimelineFormat::Text);
    let format = construct!([json, trace, svg, text_format]);
    let options = construct!(TimelineOptions {
        events,
        task,
        request,
        shard,
        instance,
        since_ms,
        until_ms,
        format
    });
    construct!(Command::Timeline { options })
        .to_options()
        .descr("Prints the events of processes, merged in causal order.")
        .command("timeline")
        .help("Print the merged time line")
}

fn text(name: &'static str, help: &'static str, meta: &'static str) -> impl Parser<Option<String>> {
    long(name).help(help).argument(meta).optional()
}

fn time(name: &'static str, help: &'static str) -> impl Parser<Option<u64>> {
    long(name).help(help).argument("MS_SINCE_1970").optional()
}

fn format(
    name: &'static str,
    help: &'static str,
    format: TimelineFormat,
) -> impl Parser<TimelineFormat> {
    long(name).help(help).req_flag(format)
}

fn explain() -> impl Parser<Command> {
    let events = events();
    let subject = positional("TASK_OR_REQUEST").help("The identifier of a task or request");
    construct!(Command::Explain { events, subject })
        .to_options()
        .descr("Explains why a task waited, where it ran, and why it or a request was refused.")
        .command("explain")
        .help("Explain what happened to a task or request")
}
