//! `turmericfold plan`.

use std::path::Path;

use anyhow::Result;
use serde_json::json;
use turmericfold_config::{Configuration, LiveStats, effects};

use super::block_on;
use super::check::read_or_print_faults;
use crate::exit::ExitCode;
use crate::fleet_view::{FleetSource, FleetView, StoredRecord, live_stats};

/// Shows the effects that a configuration would have.
pub(super) fn plan(path: &Path, source: &FleetSource, as_json: bool) -> Result<ExitCode> {
    let Some(configuration) = read_or_print_faults(path) else {
        return Ok(ExitCode::Faulty);
    };
    let view = FleetView::new(source)?;
    block_on(async {
        let stored = view.record().await?;
        let live = live_stats(&view.statuses().await.unwrap_or_default());
        if as_json {
            let effects = effects(&stored.record.accepted, &configuration, &live);
            let base = stored.record.accepted.revision;
            println!("{}", json!({ "base": base, "effects": effects }));
        } else {
            print_plan(&stored, &configuration, &live);
        }
        Ok(ExitCode::Done)
    })?
}

/// Prints the effects of a change.
pub(super) fn print_plan(stored: &StoredRecord, next: &Configuration, live: &LiveStats) {
    let present = &stored.record.accepted;
    println!("plan from {}", present.revision);
    if live.unreachable > 0 {
        println!(
            "{} of {} processes did not answer; their tasks and requests are not counted",
            live.unreachable,
            live.processes + live.unreachable
        );
    }
    let effects = effects(present, next, live);
    if effects.is_empty() {
        println!("  nothing changes");
    }
    for effect in effects {
        println!("  {effect}");
    }
    if let Some(trial) = &stored.record.trial {
        println!(
            "{} is on trial; apply after the trial has ended",
            trial.configuration.revision
        );
    }
}
