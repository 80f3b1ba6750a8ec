//! `turmericfold serve`.

use std::path::Path;

use anyhow::Result;
use tokio::signal::unix::{SignalKind, signal};
use turmericfold_config::Settings;

use super::block_on;
use crate::exit::ExitCode;
use crate::logging::init_logging;
use crate::process::Process;

/// Runs an entry process until SIGTERM, SIGINT or the unexpected end of a child.
pub(super) fn serve(path: &Path) -> Result<ExitCode> {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return Ok(ExitCode::Faulty);
        }
    };
    init_logging(settings.process.name.as_str(), &settings.log);
    let mut process = Process::start(settings)?;
    let failed = block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => Ok::<_, std::io::Error>(None),
            _ = interrupt.recv() => Ok(None),
            end = process.wait_for_child_end() => Ok(Some(end)),
        }
    })??;
    process.stop();
    match failed {
        None => Ok(ExitCode::Done),
        Some(end) => {
            log::error!(child = end.child, cause = end.cause.as_str(); "process has stopped, as a child ended unexpectedly");
            Ok(ExitCode::Failed)
        }
    }
}
