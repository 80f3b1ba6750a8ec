//! Tasks that are over their latency target beside fillers.

use turmericfold_jobs::RunKey;
use turmericfold_types::InstanceName;

use super::filler_pace::FULL_PACE_PERCENT;
use super::owner::WorkerOwner;
use super::pace::{MIN_PACE_CHANGE_INTERVAL_MS, can_be_paced, share};
use super::run::Run;
use super::worker::Worker;
use crate::Moment;
use crate::policy::pace_limit::FillerLoad;

/// The time over a target after which fillers are not the cause, in milliseconds: by then they
/// have not worked for some measurements.
const MAX_LATE_BY_FILLERS_MS: u64 = 3_000;

impl Worker {
    /// Updates since when a task has been over its target, from the last measurements.
    pub(super) fn update_over_target(&mut self, moment: Moment) {
        let is_over = self.worst_task().is_some_and(|(_, _, slack)| slack < 1.0);
        let since = self.over_target_since.unwrap_or(moment.now);
        self.over_target_since = is_over.then_some(since);
    }

    /// Updates the limit on the pace of the fillers from the last measurements.
    pub(super) fn update_pace_limit(&mut self, moment: Moment) {
        let share_at = |percent: fn(&Run) -> u32| {
            let fillers = self.runs.values();
            let fillers = fillers.filter(|run| run.is_filler() && !run.is_stopping());
            let millicores = fillers.map(|run| run.wanted_millicores() * u64::from(percent(run)));
            share(millicores.sum::<u64>() / 100, self)
        };
        let load = FillerLoad {
            least_slack: self.worst_task().map(|(_, _, slack)| slack),
            over_ms: self.over_ms(moment),
            paced_share: share_at(|run| run.pace.highest_percent()),
            wanted_share: share_at(|_| FULL_PACE_PERCENT),
        };
        self.pace_limit.observe(moment.now, load);
    }

    /// Returns whether a task is over its target, possibly because of fillers.
    pub(super) fn may_be_late_by_fillers(&self, moment: Moment) -> bool {
        self.over_target_since.is_some() && self.over_ms(moment) < MAX_LATE_BY_FILLERS_MS
    }

    /// Returns for how long a task has been over its target, in milliseconds; 0 if none is.
    fn over_ms(&self, moment: Moment) -> u64 {
        let since = self.over_target_since;
        since.map_or(0, |since| moment.since_ms(since))
    }

    /// Returns the ready task with the least measured slack, and that slack.
    pub(super) fn worst_task(&self) -> Option<(RunKey, &Run, f64)> {
        let measured = self.runs.iter();
        let measured = measured.filter_map(|(key, run)| Some((*key, run, run.measured_slack()?)));
        measured.min_by(|(.., one), (.., other)| one.total_cmp(other))
    }

    /// Returns whether a task is over its target beside fillers that work.
    pub(super) fn has_late_task_beside_fillers(&self) -> bool {
        self.over_target_since.is_some() && self.working_fillers().next().is_some()
    }

    /// Returns the fillers that work, as far as is known.
    fn working_fillers(&self) -> impl Iterator<Item = &Run> {
        let fillers = self.runs.values().filter(|run| run.is_filler());
        fillers.filter(|run| run.pace.highest_percent() > 0)
    }

    /// Returns the number of runs whose pace can't be set now, and which may be fillers that
    /// work: they have no details yet, their start or pace call is not answered, or they are
    /// being stopped.
    fn unpaced_runs(&self) -> usize {
        let is_unpaced =
            |run: &&Run| run.details.is_none() || run.is_filler() && !can_be_paced(run);
        self.runs.values().filter(is_unpaced).count()
    }
}

impl WorkerOwner {
    /// Logs that a task is over its target beside fillers that work, at most once for each
    /// decision about their pace.
    pub(super) fn log_over_target(&mut self, moment: Moment, name: &InstanceName) {
        let Some(worker) = self.worker(name) else {
            return;
        };
        let is_due = moment.since_ms(worker.over_target_logged_at) >= MIN_PACE_CHANGE_INTERVAL_MS;
        if !is_due || worker.over_target_since.is_none() {
            return;
        }
        let fillers = worker.working_fillers().count();
        let Some((run, task, _)) = worker.worst_task().filter(|_| fillers > 0) else {
            return;
        };
        let working = worker.working_fillers();
        let paced_millicores: u64 = working.map(Run::paced_millicores).sum();
        log::info!(
            worker:% = name,
            run:% = run,
            tail_ms = task.measurement,
            target_ms = task.latency_target_ms().unwrap_or_default(),
            over_ms = worker.over_ms(moment),
            predicted_slack = task.predicted_slack(self.interference()).unwrap_or_default(),
            fillers = fillers,
            filler_share = share(paced_millicores, worker),
            unpaced = worker.unpaced_runs();
            "task is over its latency target beside fillers that work; deciding their pace"
        );
        if let Some(worker) = self.worker_mut(name) {
            worker.over_target_logged_at = moment.now;
        }
    }
}
