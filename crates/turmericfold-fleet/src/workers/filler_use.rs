//! Logs at intervals what the fillers of each worker use, and what its tasks with a latency target
//! leave them.

use turmericfold_types::InstanceName;

use super::owner::WorkerOwner;
use super::pace::share;
use super::run::Run;
use super::worker::Worker;
use crate::Moment;
use crate::policy::interference::InterferenceModel;
use crate::policy::pacing::MIN_SLACK;

/// The time between two log lines about one worker, in milliseconds.
const LOG_INTERVAL_MS: u64 = 2_000;

/// The slack of the task that leaves fillers the least.
#[derive(Debug, Clone, Copy, Default)]
struct LeastSlack {
    /// What fillers may take of it by the last measurement.
    present: f64,
    /// What they may take of it by the mean of the measurements.
    mean: f64,
    /// What they would take of it at full pace.
    wanted: f64,
}

impl Worker {
    fn working_share(&self, measure: fn(&Run) -> u64) -> f64 {
        let fillers = self.runs.values().filter(|run| run.is_filler());
        share(fillers.map(measure).sum(), self)
    }

    /// Returns the slack of the task that leaves fillers the least, if there is a task with a
    /// latency target.
    fn least_slack(&self, interference: &InterferenceModel) -> Option<LeastSlack> {
        let slack = |run: &Run| {
            let (image, _) = run.serving()?;
            Some(LeastSlack {
                present: run.predicted_slack(interference)? - MIN_SLACK,
                mean: run.slack_tracker.mean_slack() - MIN_SLACK,
                wanted: self.wanted_slack(interference, image),
            })
        };
        let slacks = self.runs.values().filter_map(slack);
        slacks.min_by(|one, other| one.present.total_cmp(&other.present))
    }
}

impl WorkerOwner {
    /// Logs what the fillers of a worker use, if its line is due.
    pub(super) fn log_filler_use(&mut self, moment: Moment, name: &InstanceName) {
        let Some(worker) = self.worker(name) else {
            return;
        };
        if moment.since_ms(worker.filler_use_logged_at) < LOG_INTERVAL_MS {
            return;
        }
        let least = worker.least_slack(self.interference());
        let slack = least.unwrap_or_default();
        log::info!(
            worker:% = name,
            capacity_millicores = worker.entry.capacity.cpu_millicores,
            fillers = worker.runs.values().filter(|run| run.is_filler()).count(),
            wanted_share = worker.working_share(Run::wanted_millicores),
            paced_share = worker.working_share(Run::paced_millicores),
            used_share = worker.working_share(|run| run.measurement),
            has_target = least.is_some(),
            present_slack = slack.present,
            mean_slack = slack.mean,
            wanted_slack = slack.wanted,
            max_share:? = worker.pace_limit.max_share();
            "use of a worker by fillers"
        );
        if let Some(worker) = self.worker_mut(name) {
            worker.filler_use_logged_at = moment.now;
        }
    }
}
