//! The `turmericfold-entry` command: `turmericfold`, ended by the kernel when its starter ends.

use std::process::ExitCode;

use rustix::process::{Signal, set_parent_process_death_signal};
use turmericfold::{args, commands};

fn main() -> ExitCode {
    if let Err(error) = set_parent_process_death_signal(Some(Signal::KILL)) {
        eprintln!("the process can't be tied to the life of its starter: {error}");
        return ExitCode::FAILURE;
    }
    commands::run(args::command().run()).into()
}
