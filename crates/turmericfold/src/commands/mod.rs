//! One file a command.

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

/// Runs a command and reports its failure on standard error.
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

/// Runs a short exchange to its end.
fn block_on<Exchange>(exchange: Exchange) -> anyhow::Result<Exchange::Output>
where
    Exchange: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(exchange))
}
