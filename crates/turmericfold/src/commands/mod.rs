//! The commands of `turmericfold`, each in a module of its own.

mod apply;
mod check;
mod enter;
mod explain;
mod plan;
mod schema;
mod serve;
mod status;
mod timeline;

use crate::args::Command;
use crate::exit::ExitCode;

/// Runs a command and prints its error to standard error.
pub fn run(command: Command) -> ExitCode {
    let result = match command {
        Command::Serve { settings } => serve::serve(&settings),
        Command::Enter { settings } => enter::enter(&settings),
        Command::Check {
            json,
            configuration,
        } => check::check(&configuration, json),
        Command::Schema { kind } => schema::schema(kind),
        Command::Plan {
            json,
            source,
            configuration,
        } => plan::plan(&configuration, &source, json),
        Command::Apply {
            options,
            configuration,
        } => apply::apply(&configuration, &options),
        Command::Withdraw { source, reason } => apply::withdraw(&source, &reason),
        Command::Status {
            json,
            watch,
            source,
        } => status::status(&source, json, watch),
        Command::Timeline { options } => timeline::timeline(&options),
        Command::Explain { events, subject } => explain::explain(&events, &subject),
    };
    result.unwrap_or_else(|error| {
        eprintln!("turmericfold: {error:#}");
        ExitCode::Failed
    })
}

/// Runs a future to completion on a runtime of one thread.
fn block_on<Work>(work: Work) -> anyhow::Result<Work::Output>
where
    Work: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(work))
}
