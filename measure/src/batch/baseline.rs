//! Simple policies that rely on declared resources.

use std::collections::{BTreeMap, HashMap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use turmericfold_policy::batch::{BatchAction, BatchEvent, RunEnd, StartReason, TaskRecord};
use turmericfold_types::{Epoch, Incarnation, InstanceName, MonotonicMs, Resources, TaskId};

use super::policy::BatchPolicy;
use super::workload;

/// The number of tasks without a fitting worker after which a pass over a queue ends.
const MAX_UNPLACED_TASKS: usize = 64;

/// The number of failures after which a task is not started again.
const MAX_FAILURES: u32 = 3;

/// The estimated use of a worker above which the evicting policy evicts, in thousandths
/// of its capacity.
const EVICTION_USE_PERMILLE: u64 = 950;

/// The service slowdown above which the evicting policy evicts, in thousandths of the
/// service time without interference.
const EVICTION_SLOWDOWN_PERMILLE: u32 = 1_500;

/// The choice among workers with enough free resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkerChoice {
    /// The first by name.
    FirstFit,
    /// A random one.
    Random,
    /// The one with the smallest reserved share.
    LeastLoaded,
}

impl WorkerChoice {
    /// Returns the name of the policy in tables.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::FirstFit => "first fit",
            Self::Random => "random",
            Self::LeastLoaded => "least loaded",
        }
    }
}

#[derive(Debug, Default)]
struct Worker {
    capacity: Resources,
    reserved: Resources,
    runs: BTreeMap<Incarnation, (TaskId, Resources)>,
}

/// A simple policy that reserves the declared resources.
#[derive(Debug)]
pub(crate) struct Baseline {
    choice: WorkerChoice,
    fill_permille: u64,
    evicts: bool,
    random: SmallRng,
    workers: BTreeMap<InstanceName, Worker>,
    tasks: HashMap<TaskId, TaskRecord>,
    urgent: VecDeque<TaskId>,
    queue: VecDeque<TaskId>,
    counter: u64,
}

impl Baseline {
    /// Creates a policy that reserves whole workers and never evicts.
    pub(crate) fn new(choice: WorkerChoice, seed: u64) -> Self {
        Self {
            choice,
            fill_permille: 1_000,
            evicts: false,
            random: SmallRng::seed_from_u64(seed),
            workers: BTreeMap::new(),
            tasks: HashMap::new(),
            urgent: VecDeque::new(),
            queue: VecDeque::new(),
            counter: 0,
        }
    }

    /// Sets the share of a worker that may be reserved, in thousandths.
    pub(crate) fn with_fill_permille(mut self, fill_permille: u64) -> Self {
        self.fill_permille = fill_permille;
        self
    }

    /// Sets whether runs are evicted when a worker is overused or its services are slow.
    pub(crate) fn with_evictions(mut self, evicts: bool) -> Self {
        self.evicts = evicts;
        self
    }

    fn enqueue(&mut self, task: TaskId) {
        let urgent = self
            .tasks
            .get(&task)
            .is_some_and(|record| record.spec.service == workload::URGENT.into());
        match urgent {
            true => self.urgent.push_back(task),
            false => self.queue.push_back(task),
        }
    }

    fn place(&mut self) -> Vec<BatchAction> {
        let mut actions = Vec::new();
        let queues = [
            std::mem::take(&mut self.urgent),
            std::mem::take(&mut self.queue),
        ];
        let [urgent, queue] = queues.map(|mut queue| {
            let mut unplaced = VecDeque::new();
            while let Some(task) = queue.pop_front() {
                match self.start(&task) {
                    Some(action) => actions.push(action),
                    None => unplaced.push_back(task),
                }
                if unplaced.len() >= MAX_UNPLACED_TASKS {
                    break;
                }
            }
            unplaced.append(&mut queue);
            unplaced
        });
        (self.urgent, self.queue) = (urgent, queue);
        actions
    }

    fn start(&mut self, task: &TaskId) -> Option<BatchAction> {
        let record = self.tasks.get(task)?.clone();
        let declared = record.spec.resources;
        let has_resources = |worker: &Worker| {
            let limit = worker.capacity.scaled(self.fill_permille);
            declared.plus(&worker.reserved).fits_in(&limit)
        };
        let mut candidates = self
            .workers
            .iter()
            .filter(|(_, worker)| has_resources(worker));
        let name = match self.choice {
            WorkerChoice::FirstFit => candidates.next()?.0.clone(),
            WorkerChoice::LeastLoaded => candidates
                .min_by_key(|(_, worker)| worker.reserved.dominant_permille(&worker.capacity))?
                .0
                .clone(),
            WorkerChoice::Random => {
                let names: Vec<_> = candidates.map(|(name, _)| name.clone()).collect();
                if names.is_empty() {
                    return None;
                }
                names[self.random.random_range(0..names.len())].clone()
            }
        };
        self.counter += 1;
        let run = Incarnation {
            epoch: Epoch(1),
            counter: self.counter,
        };
        let worker = self.workers.get_mut(&name)?;
        worker.reserved = worker.reserved.plus(&declared);
        worker.runs.insert(run, (task.clone(), declared));
        Some(BatchAction::Start {
            worker: name,
            run,
            record: Box::new(record),
            reserved: declared,
            reason: StartReason::First,
            durable_first: false,
        })
    }

    fn ended(&mut self, worker: &InstanceName, run: Incarnation, outcome: RunEnd) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let Some((task, amount)) = state.runs.remove(&run) else {
            return;
        };
        state.reserved = state.reserved.minus(&amount);
        let Some(record) = self.tasks.get_mut(&task) else {
            return;
        };
        match outcome {
            RunEnd::Finished { .. } => return,
            RunEnd::Evicted { checkpoint } => record.checkpoint = checkpoint,
            RunEnd::Failed { .. } => record.failures += 1,
            RunEnd::Stopped | RunEnd::Refused { .. } => {}
        }
        if record.failures < MAX_FAILURES {
            self.enqueue(task);
        }
    }

    /// Returns the eviction of the newest run of a worker, if there is one.
    fn evict_newest(&self, worker: &InstanceName) -> Vec<BatchAction> {
        let newest = self
            .workers
            .get(worker)
            .and_then(|state| state.runs.last_key_value());
        newest
            .map(|(run, _)| BatchAction::Evict {
                worker: worker.clone(),
                run: *run,
                notice_ms: workload::NOTICE_MS,
            })
            .into_iter()
            .collect()
    }

    fn usage(&mut self, worker: &InstanceName, used: Resources, task: &TaskId) -> Vec<BatchAction> {
        let Some(state) = self.workers.get(worker) else {
            return Vec::new();
        };
        // The use of one run beyond its declared resources is added to all reservations,
        // as an estimate of the use of the whole worker.
        let declared = self.tasks.get(task).map(|record| record.spec.resources);
        let excess = declared.map_or(Resources::default(), |declared| used.minus(&declared));
        let estimated_use = state.reserved.plus(&excess);
        if estimated_use.dominant_permille(&state.capacity) <= EVICTION_USE_PERMILLE {
            return Vec::new();
        }
        self.evict_newest(worker)
    }
}

impl BatchPolicy for Baseline {
    fn handle(&mut self, _now: MonotonicMs, event: BatchEvent) -> Vec<BatchAction> {
        match event {
            BatchEvent::WorkerUp {
                worker, capacity, ..
            } => {
                self.workers.entry(worker).or_default().capacity = capacity;
            }
            BatchEvent::TaskKnown(record) => {
                let task = record.id.clone();
                self.tasks.insert(task.clone(), *record);
                self.enqueue(task);
            }
            BatchEvent::RunEnded {
                worker,
                run,
                outcome,
                ..
            } => self.ended(&worker, run, outcome),
            BatchEvent::Usage {
                worker, used, task, ..
            } if self.evicts => return self.usage(&worker, used, &task),
            BatchEvent::ServiceLatency {
                worker,
                slowdown_permille,
                ..
            } if self.evicts && slowdown_permille > EVICTION_SLOWDOWN_PERMILLE => {
                return self.evict_newest(&worker);
            }
            BatchEvent::Tick => return self.place(),
            _ => {}
        }
        Vec::new()
    }

    fn runs_on(&self, worker: &InstanceName) -> Vec<(TaskId, Incarnation)> {
        let runs = self.workers.get(worker).into_iter();
        runs.flat_map(|state| state.runs.iter())
            .map(|(run, (task, _))| (task.clone(), *run))
            .collect()
    }
}
