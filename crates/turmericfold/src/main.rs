//! The `turmericfold` command.

use turmericfold::{args, commands};

fn main() -> std::process::ExitCode {
    let command = args::command().run();
    commands::run(command).into()
}
