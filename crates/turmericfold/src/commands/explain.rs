//! `turmericfold explain`.

use anyhow::Result;
use turmericfold_timeline::explain as explain_events;

use super::timeline::gather;
use crate::args::EventSource;
use crate::exit::ExitCode;

/// Explains what happened to a task or request.
pub(super) fn explain(source: &EventSource, subject: &str) -> Result<ExitCode> {
    let events = gather(source)?;
    let lines = explain_events(&events, subject);
    if lines.is_empty() {
        eprintln!(
            "no event names {subject}; its events may be older than the time line that is kept"
        );
        return Ok(ExitCode::Failed);
    }
    for line in lines {
        println!("{line}");
    }
    Ok(ExitCode::Done)
}
