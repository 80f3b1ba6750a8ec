//! `turmericfold apply` and `turmericfold withdraw`.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use ecow::{EcoString, eco_format};
use turmericfold_config::{Configuration, LiveStats, effects};
use turmericfold_control::rollout::{
    ChangeKind, ProposalError, RolloutRecord, TrialPlan, WriteOutcome,
};
use turmericfold_types::{InstanceName, Revision};

use super::block_on;
use super::check::read_or_print_faults;
use super::plan::print_plan;
use crate::args::ApplyOptions;
use crate::exit::ExitCode;
use crate::fleet_view::{FleetSource, FleetView, StoredRecord, live_stats};
use crate::status::ProcessStatus;

/// Interval at which `--wait` queries the processes, in milliseconds.
const POLL_INTERVAL_MS: u64 = 200;

/// Timeout of `--wait` outside a trial, in milliseconds.
const WAIT_TIMEOUT_MS: u64 = 30_000;

/// The error after a write whose outcome is not known.
const UNKNOWN_OUTCOME: &str =
    "the outcome of the write is not known; run `turmericfold status` to see what is in force";

/// Puts a configuration in force on all processes, or starts a trial of it.
pub(super) fn apply(path: &Path, options: &ApplyOptions) -> Result<ExitCode> {
    let Some(configuration) = read_or_print_faults(path) else {
        return Ok(ExitCode::Faulty);
    };
    let view = FleetView::new(&options.source)?;
    block_on(apply_to(&view, configuration, options))?
}

async fn apply_to(
    view: &FleetView,
    configuration: Configuration,
    options: &ApplyOptions,
) -> Result<ExitCode> {
    let stored = view.record().await?;
    let statuses = view.statuses().await.unwrap_or_default();
    print_plan(&stored, &configuration, &live_stats(&statuses));
    let base = options
        .base
        .map_or(stored.record.accepted.revision, Revision);
    let token = rand::random();
    let reason: EcoString = options.reason.as_str().into();
    let proposed = match options.trial_permille {
        None => stored
            .record
            .accept(configuration.clone(), base, token, reason),
        Some(share_permille) => {
            let plan = trial_plan(&statuses, share_permille, options.trial_ms);
            let configuration = configuration.clone();
            stored
                .record
                .begin_trial(configuration, base, plan, token, reason)
        }
    };
    let next = match proposed {
        Ok(next) => next,
        Err(error) => return Ok(report_refusal(&error, &stored.record, &configuration)),
    };
    match view.write(stored.version, &next, token).await? {
        WriteOutcome::Conflict(present) => Ok(report_conflict(&stored, &present)),
        WriteOutcome::Written => {
            print_applied(&next);
            if options.wait {
                return wait(view, next.highest).await;
            }
            Ok(ExitCode::Done)
        }
        WriteOutcome::Unknown | WriteOutcome::InvalidReply => bail!(UNKNOWN_OUTCOME),
    }
}

/// Chooses the processes of a trial: the first ones by name, at least one but
/// never all.
fn trial_plan(
    statuses: &[(String, Option<ProcessStatus>)],
    share_permille: u32,
    evaluate_after_ms: u64,
) -> TrialPlan {
    let mut names: Vec<InstanceName> = statuses
        .iter()
        .filter_map(|(_, status)| Some(status.as_ref()?.process.clone()))
        .collect();
    names.sort();
    let wanted = (names.len() * share_permille as usize)
        .div_ceil(1_000)
        .max(1);
    names.truncate(wanted.min(names.len().saturating_sub(1)));
    TrialPlan {
        instances: names,
        evaluate_after_ms,
    }
}

fn print_applied(next: &RolloutRecord) {
    match &next.trial {
        Some(trial) => {
            let names: Vec<_> = trial
                .plan
                .instances
                .iter()
                .map(InstanceName::as_str)
                .collect();
            println!("{} is on trial on {}", next.highest, names.join(", "));
        }
        None => println!("accepted as {}", next.highest),
    }
}

/// Prints why the change can't be applied, and returns the exit code.
fn report_refusal(
    error: &ProposalError,
    present: &RolloutRecord,
    wanted: &Configuration,
) -> ExitCode {
    eprintln!("not applied: {error}");
    if matches!(error, ProposalError::StaleBase { .. }) {
        eprintln!("changes that your files make now:");
        for effect in effects(&present.accepted, wanted, &LiveStats::default()) {
            eprintln!("  {effect}");
        }
        for line in present.history_lines() {
            eprintln!("  history: {line}");
        }
        eprintln!(
            "to continue: merge the other changes into your files, run `plan`, then apply with --base {}",
            present.accepted.revision.0
        );
    }
    match error {
        ProposalError::StaleBase { .. } | ProposalError::OnTrial { .. } => ExitCode::Conflict,
        _ => ExitCode::Failed,
    }
}

/// Prints the change that another operator has made, and how to continue.
fn report_conflict(before: &StoredRecord, present: &RolloutRecord) -> ExitCode {
    eprintln!("not applied: another operator has changed the configuration meanwhile");
    let changed = effects(
        &before.record.accepted,
        &present.accepted,
        &LiveStats::default(),
    );
    for effect in &changed {
        eprintln!("  change of the other operator: {effect}");
    }
    if let Some(trial) = &present.trial {
        eprintln!("  {} is on trial", trial.configuration.revision);
    }
    if let Some(last) = present.history_lines().last() {
        eprintln!("  {last}");
    }
    eprintln!(
        "to continue: merge that change into your files, run `plan`, then apply with --base {}",
        present.accepted.revision.0
    );
    ExitCode::Conflict
}

/// Waits until the revision is in force on every live process, or its trial has
/// ended.
async fn wait(view: &FleetView, revision: Revision) -> Result<ExitCode> {
    let began = Instant::now();
    let mut shown = EcoString::new();
    loop {
        let stored = view.record().await;
        if let Ok(stored) = &stored
            && let Some(code) = trial_outcome(&stored.record, revision)
            && code != ExitCode::Done
        {
            return Ok(code);
        }
        let on_trial = stored.is_ok_and(|stored| stored.record.trial.is_some());
        let statuses = view.statuses().await.unwrap_or_default();
        let has_revision = |status: &Option<ProcessStatus>| {
            status
                .as_ref()
                .is_some_and(|status| status.revision >= revision)
        };
        let behind: Vec<&str> = statuses
            .iter()
            .filter(|(_, status)| !has_revision(status))
            .map(|(address, status)| {
                status
                    .as_ref()
                    .map_or(address.as_str(), |s| s.process.as_str())
            })
            .collect();
        let line = eco_format!(
            "{revision} in force on {} of {} processes{}",
            statuses.len() - behind.len(),
            statuses.len(),
            if behind.is_empty() {
                EcoString::new()
            } else {
                eco_format!("; not yet on {}", behind.join(", "))
            }
        );
        if line != shown {
            println!("{:>6} ms  {line}", began.elapsed().as_millis());
            shown = line;
        }
        if behind.is_empty() && !statuses.is_empty() && !on_trial {
            return Ok(ExitCode::Done);
        }
        if !on_trial && began.elapsed() > Duration::from_millis(WAIT_TIMEOUT_MS) {
            bail!(
                "{revision} is accepted, but not in force everywhere after {WAIT_TIMEOUT_MS} ms; see `status`"
            );
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Returns the outcome of the trial of `revision` if it has ended, and prints the
/// reason of a withdrawal.
fn trial_outcome(record: &RolloutRecord, revision: Revision) -> Option<ExitCode> {
    let change = record
        .history
        .iter()
        .rfind(|change| change.revision == revision)?;
    match change.kind {
        ChangeKind::TrialWithdrawn => {
            println!("{revision} was withdrawn: {}", change.reason);
            Some(ExitCode::Failed)
        }
        ChangeKind::TrialAccepted => Some(ExitCode::Done),
        ChangeKind::Accepted | ChangeKind::TrialBegan => None,
    }
}

/// Withdraws the revision on trial.
pub(super) fn withdraw(source: &FleetSource, reason: &str) -> Result<ExitCode> {
    let view = FleetView::new(source)?;
    block_on(async {
        let stored = view.record().await?;
        let token = rand::random();
        let next = match stored.record.end_trial(false, token, reason.into()) {
            Ok(next) => next,
            Err(error) => {
                eprintln!("not withdrawn: {error}");
                return Ok(ExitCode::Failed);
            }
        };
        match view.write(stored.version, &next, token).await? {
            WriteOutcome::Written => {
                println!("withdrawn; {} stays in force", next.accepted.revision);
                Ok(ExitCode::Done)
            }
            WriteOutcome::Conflict(present) => Ok(report_conflict(&stored, &present)),
            WriteOutcome::Unknown | WriteOutcome::InvalidReply => bail!(UNKNOWN_OUTCOME),
        }
    })?
}
