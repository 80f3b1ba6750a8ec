//! A worker whose fillers slow down its tasks with a latency target, driven against the node
//! that owns it, in virtual time.

mod conditions;
mod runs;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use turmericfold_fleet::policy::interference::EffectEstimate;
use turmericfold_fleet::{
    CallId, Event, PeerMessage, Ping, RunDetails, SlowRun, StartOutcome, Summary, WorkerCall,
    WorkerResult,
};
use turmericfold_jobs::RunKey;
use turmericfold_platform::{
    KeyChange, ListedRun, PaceCall, PlatformError, PollReply, StartReply, StoreVersion,
};
use turmericfold_types::{InstanceName, MonotonicMs};

use crate::node_parts::{member, process};
use crate::worker_owner::{WORKER, WorkerOwnerHarness};

pub use conditions::Conditions;
pub use runs::{TARGET_MS, filler_details, filler_key, serving_details, serving_key};

/// The processor capacity of the worker, in millicores.
const CAPACITY_MILLICORES: f64 = 8_000.0;

/// The duration of one step, in milliseconds.
const STEP_MS: u64 = 10;

/// The duration of a call that does not wait, in milliseconds.
const CALL_MS: u64 = 20;

/// The time after which a lost call ends without an answer, in milliseconds.
pub const LOST_CALL_MS: u64 = 700;

/// The time from a pace call until the pace is in force, in milliseconds.
const PACING_MS: u64 = 100;

/// The span of the measurements, in milliseconds.
const MEASUREMENT_MS: u64 = 500;

/// The interval of the summaries of the only peer, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 300;

/// The time after which the node hears its peer, in milliseconds.
const PEER_HEARD_MS: u64 = 3_000;

/// The seed of the errors of the measurements.
const NOISE_SEED: u64 = 1;

/// The weight of the effects that the peer has learned, in squared shares of a worker.
const LEARNED_WEIGHT: f64 = 2.0;

/// A run on the worker.
#[derive(Debug, Clone)]
struct ModelRun {
    details: RunDetails,
    is_started: bool,
    pace_percent: u32,
    /// The paces that calls have set, with the times from which each is in force.
    ordered_paces: Vec<(u64, u32)>,
}

/// A call to the worker, and when it is handled.
#[derive(Debug)]
struct CallInProgress {
    due_ms: u64,
    call: CallId,
    worker_call: WorkerCall,
    is_lost: bool,
}

/// The worker, and the node that owns it.
pub struct SharedWorker {
    /// The node.
    pub harness: WorkerOwnerHarness,
    /// How its tasks slow down each other.
    pub conditions: Conditions,
    /// The number of the next pace calls that are lost.
    pub lost_paces: u32,
    /// The time after which lost pace calls take effect, in milliseconds, if they do.
    pub lost_paces_delay_ms: Option<u64>,
    /// The pace calls that the node has made, with the time of each.
    pub pace_calls: Vec<(u64, PaceCall)>,
    /// The waits of the polls that the node has made, in milliseconds, with the time of each.
    pub poll_waits: Vec<(u64, u64)>,
    /// The outcomes of start orders.
    pub outcomes: BTreeMap<RunKey, StartOutcome>,
    /// The slow runs that the owner of the jobs was told of.
    pub slow_runs: Vec<SlowRun>,
    /// The longest time on end in which fillers kept a task over its target, in milliseconds.
    pub longest_harm_ms: u64,
    /// The share of the worker that fillers could use at their paces, summed over all steps.
    pub paced_share_sum: f64,
    harm_ms: u64,
    runs: BTreeMap<RunKey, ModelRun>,
    calls: Vec<CallInProgress>,
    slacks: VecDeque<f64>,
    next_summary_ms: u64,
    rng: StdRng,
}

impl SharedWorker {
    /// Creates a worker without runs.
    pub fn new(conditions: Conditions) -> Self {
        let mut harness = WorkerOwnerHarness::new();
        harness.driven = harness.driven.with_step_ms(0);
        let peer = serde_json::to_string(&member(process(1, 1))).unwrap();
        harness.driven.deliver(Event::KeysChanged(vec![KeyChange {
            key: "turmericfold/fleet/members/entry-1".into(),
            version: StoreVersion(7),
            value: Some(peer),
        }]));
        Self {
            harness,
            conditions,
            lost_paces: 0,
            lost_paces_delay_ms: None,
            pace_calls: Vec::new(),
            poll_waits: Vec::new(),
            outcomes: BTreeMap::new(),
            slow_runs: Vec::new(),
            longest_harm_ms: 0,
            paced_share_sum: 0.0,
            harm_ms: 0,
            runs: BTreeMap::new(),
            calls: Vec::new(),
            slacks: VecDeque::new(),
            next_summary_ms: 0,
            rng: StdRng::seed_from_u64(NOISE_SEED),
        }
    }

    /// Returns the time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.harness.driven.now_ms
    }

    /// Adds a run that a former owner has started, at a pace in percent.
    pub fn add_found(&mut self, key: RunKey, details: RunDetails, pace_percent: u32) {
        let found = ModelRun {
            details,
            is_started: true,
            pace_percent,
            ordered_paces: Vec::new(),
        };
        self.runs.insert(key, found);
    }

    /// Returns the pace of a run on the worker, in percent.
    pub fn pace_percent(&self, key: RunKey) -> Option<u32> {
        self.runs.get(&key).map(|run| run.pace_percent)
    }

    /// Orders a run as the owner of its job.
    pub fn order(&mut self, key: RunKey, details: RunDetails) {
        let ordered = ModelRun {
            details: details.clone(),
            is_started: false,
            pace_percent: 0,
            ordered_paces: Vec::new(),
        };
        self.runs.insert(key, ordered);
        self.harness.order_with(key, details);
    }

    /// Starts tasks with a latency target and fillers beside them, and waits until they run.
    ///
    /// # Panics
    ///
    /// Panics if the node refuses one of them.
    pub fn start_all(&mut self, serving: u64, fillers: u64, filler_millicores: u64) {
        self.run_for(PEER_HEARD_MS);
        for number in 1..=fillers {
            self.order(filler_key(number), filler_details(filler_millicores));
        }
        for number in 1..=serving {
            self.order(serving_key(number), serving_details());
        }
        self.run_for(100);
        let is_started = |outcome: &StartOutcome| *outcome == StartOutcome::Started;
        assert!(self.outcomes.values().all(is_started));
        assert_eq!(self.outcomes.len() as u64, serving + fillers);
    }

    /// Lets time pass, in which the worker and the owner of the jobs answer all calls.
    pub fn run_for(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms() + duration_ms;
        while self.now_ms() < until_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        self.harness.wait(STEP_MS);
        self.send_summary();
        self.advance_paces();
        self.record_slack();
        self.answer_job_owner();
        self.take_calls();
        self.answer_calls();
        self.harness.driven.out.store.clear();
    }

    fn send_summary(&mut self) {
        if self.now_ms() < self.next_summary_ms {
            return;
        }
        self.next_summary_ms = self.now_ms() + SUMMARY_INTERVAL_MS;
        let estimate = |effect| EffectEstimate {
            serving: "desk".into(),
            filler: "scan".into(),
            effect,
            weight: LEARNED_WEIGHT,
        };
        let summary = Summary {
            process: process(1, 1),
            made_at: MonotonicMs::default(),
            configuration: 0,
            workers: Vec::new(),
            effects: self
                .conditions
                .learned_effect
                .map(estimate)
                .into_iter()
                .collect(),
        };
        self.harness.driven.deliver(Event::Peer {
            from: process(1, 1),
            messages: vec![PeerMessage::Summary(Arc::new(summary))],
        });
    }

    fn advance_paces(&mut self) {
        let now_ms = self.now_ms();
        for run in self.runs.values_mut() {
            let due = |(from_ms, _): &(u64, u32)| *from_ms <= now_ms;
            if let Some((_, percent)) = run.ordered_paces.iter().rev().find(|pace| due(pace)) {
                run.pace_percent = *percent;
            }
            run.ordered_paces.retain(|pace| !due(pace));
        }
    }

    /// Returns the share of the worker that its fillers may use at their paces.
    pub fn paced_share(&self) -> f64 {
        let fillers = self.runs.values().filter(|run| run.details.filler);
        let millicores =
            fillers.map(|run| run.details.wanted_millicores as f64 * f64::from(run.pace_percent));
        millicores.sum::<f64>() / 100.0 / CAPACITY_MILLICORES
    }

    fn record_slack(&mut self) {
        let base = self.conditions.base_slack(self.now_ms());
        let share = self.paced_share();
        let slack = base - self.conditions.effect * share;
        self.slacks.push_back(slack.max(self.conditions.min_slack));
        if self.slacks.len() as u64 > MEASUREMENT_MS / STEP_MS {
            self.slacks.pop_front();
        }
        self.harm_ms = match slack < 1.0 && base >= 1.0 {
            true => self.harm_ms + STEP_MS,
            false => 0,
        };
        self.longest_harm_ms = self.longest_harm_ms.max(self.harm_ms);
        self.paced_share_sum += share;
    }

    fn answer_job_owner(&mut self) {
        let messages = std::mem::take(&mut self.harness.driven.out.messages);
        for message in messages.into_values().flatten() {
            match message {
                PeerMessage::StartAnswer { run, outcome, .. } => {
                    self.outcomes.insert(run, outcome);
                }
                PeerMessage::RunsFound { runs, .. } => self.send_details(&runs),
                PeerMessage::Ping(ping) => self.acknowledge(ping),
                PeerMessage::RunsSlowed { runs, .. } => self.slow_runs.extend(runs),
                _ => {}
            }
        }
    }

    fn acknowledge(&mut self, ping: Ping) {
        let sent_at = ping.sent_at;
        self.harness.driven.deliver(Event::Peer {
            from: process(1, 1),
            messages: vec![PeerMessage::PingAck { sent_at }],
        });
    }

    fn send_details(&mut self, runs: &[RunKey]) {
        let known = runs.iter().filter_map(|key| {
            let details = self.runs.get(key)?.details.clone();
            Some(PeerMessage::RunDetails {
                worker: InstanceName::new(WORKER),
                run: *key,
                details,
            })
        });
        let messages = known.collect();
        self.harness.driven.deliver(Event::Peer {
            from: process(1, 1),
            messages,
        });
    }

    fn take_calls(&mut self) {
        let now_ms = self.now_ms();
        for request in std::mem::take(&mut self.harness.driven.out.workers) {
            let mut is_lost = false;
            let takes_ms = match &request.worker_call {
                WorkerCall::Poll(poll) => {
                    self.poll_waits.push((now_ms, poll.wait_ms));
                    CALL_MS + poll.wait_ms
                }
                WorkerCall::Pace(pace) => {
                    self.pace_calls.push((now_ms, pace.clone()));
                    is_lost = self.lost_paces > 0;
                    self.lost_paces = self.lost_paces.saturating_sub(1);
                    if is_lost { LOST_CALL_MS } else { CALL_MS }
                }
                _ => CALL_MS,
            };
            self.calls.push(CallInProgress {
                due_ms: now_ms + takes_ms,
                call: request.call,
                worker_call: request.worker_call,
                is_lost,
            });
        }
    }

    fn answer_calls(&mut self) {
        let now_ms = self.now_ms();
        let calls = std::mem::take(&mut self.calls);
        let (due, later) = calls.into_iter().partition(|call| call.due_ms <= now_ms);
        self.calls = later;
        for call in due {
            let (id, result) = (call.call, self.handle_call(call));
            self.harness.answer(id, result);
        }
    }

    fn handle_call(&mut self, call: CallInProgress) -> WorkerResult {
        let from_ms = self.now_ms() + PACING_MS;
        match call.worker_call {
            WorkerCall::Poll(_) => WorkerResult::Poll(Ok(self.listing())),
            WorkerCall::Pace(pace) if call.is_lost => {
                if let Some(delay_ms) = self.lost_paces_delay_ms {
                    self.set_pace(&pace, from_ms + delay_ms);
                }
                WorkerResult::Pace(Err(PlatformError::unknown("no answer")))
            }
            WorkerCall::Pace(pace) => {
                self.set_pace(&pace, from_ms);
                WorkerResult::Pace(Ok(()))
            }
            WorkerCall::Start(start) => {
                if let Some(run) = self.runs.get_mut(&start.run) {
                    run.is_started = true;
                    run.pace_percent = 100;
                }
                let clock_ms = Some(self.now_ms());
                WorkerResult::Start(Ok(StartReply::Started { clock_ms }))
            }
            WorkerCall::Stop(_) => WorkerResult::Stop(Ok(())),
        }
    }

    fn set_pace(&mut self, pace: &PaceCall, from_ms: u64) {
        if let Some(run) = self.runs.get_mut(&pace.run) {
            run.ordered_paces.push((from_ms, pace.percent));
        }
    }

    fn listing(&mut self) -> PollReply {
        let noise = self.conditions.noise;
        let error = 1.0 + self.rng.random_range(-noise..=noise);
        let started = self.runs.iter().filter(|(_, run)| run.is_started);
        PollReply::Runs {
            clock_ms: self.now_ms(),
            started_ms: 1,
            running: started
                .map(|(key, run)| self.listed(*key, run, error))
                .collect(),
            finished: Vec::new(),
        }
    }

    fn listed(&self, key: RunKey, run: &ModelRun, error: f64) -> ListedRun {
        let tails = self.slacks.iter().map(|slack| TARGET_MS as f64 / slack);
        let mean_tail = tails.sum::<f64>() / self.slacks.len().max(1) as f64 * error;
        let used = run.details.wanted_millicores * u64::from(run.pace_percent) / 100;
        let is_serving = run.details.latency_target_ms.is_some();
        ListedRun {
            run: key,
            checkpoint: None,
            percent: if is_serving { 100 } else { 10 },
            measurement: if is_serving { mean_tail as u64 } else { used },
        }
    }
}
