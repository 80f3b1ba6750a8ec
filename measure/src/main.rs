//! The `turmericfold-measure` command.

use std::alloc::System;
use std::process::ExitCode;

use anyhow::Result;
use cap::Cap;
use turmericfold_measure::args::{Command, command};
use turmericfold_measure::{batch, capacity, demo, platform, requests, scenarios};

/// Counts the allocated heap bytes, which the command `capacity` reads.
#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

fn main() -> ExitCode {
    match run(command().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("turmericfold-measure: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command and returns whether all its checks passed.
fn run(command: Command) -> Result<bool> {
    match command {
        Command::Demo { configuration, out } => {
            runtime()?.block_on(demo::run(&configuration, &out))
        }
        Command::Capacity { out } => capacity::run(&out, || HEAP.allocated() as u64),
        Command::Requests { out } => runtime()?.block_on(requests::run(&out)),
        Command::Batch { out, minutes, seed } => batch::run(&out, minutes, seed),
        Command::Platform(plan) => runtime()?.block_on(platform::serve(plan)),
        Command::Run(plan) => runtime()?.block_on(scenarios::run(plan)),
        Command::Entry { settings } => {
            let serve = turmericfold::args::Command::Serve { settings };
            Ok(turmericfold::commands::run(serve) == turmericfold::ExitCode::Done)
        }
    }
}

fn runtime() -> Result<tokio::runtime::Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    Ok(builder.enable_all().build()?)
}
