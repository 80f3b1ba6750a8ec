//! Crashes and departures of the workers of a fleet, and faults of calls to them.

use ecow::eco_format;
use turmericfold_fleet::Owner;
use turmericfold_fleet::keys::FLEET_PREFIX;
use turmericfold_platform::{StoreCall, StoreReply};

use super::ProcessFleet;
use super::call_faults::{CallFaultKind, CallFaults};
use super::network::{Direction, Place, between};

impl ProcessFleet {
    /// Crashes a worker, which loses its runs and its connections.
    pub fn crash_worker(&self, worker: usize) {
        self.workers[worker].crash();
        self.network.reset(&self.paths_of_worker(worker));
    }

    /// Starts a crashed worker again under the name that it had.
    pub fn restart_worker(&self, worker: usize) {
        self.workers[worker].start_again();
    }

    /// Kills the process that owns most of these workers.
    pub fn kill_owner(&mut self, workers: &[usize]) {
        let Some(process) = self.owner_of_most(workers) else {
            return;
        };
        self.kill(process);
        self.killed_owners.push((workers.to_vec(), process));
    }

    /// Starts the process again that [`Self::kill_owner`] has killed.
    pub fn start_owner_again(&mut self, workers: &[usize]) {
        let mut killed = self.killed_owners.iter();
        let Some(found) = killed.position(|(owned, _)| owned == workers) else {
            return;
        };
        let (_, process) = self.killed_owners.remove(found);
        self.start_again(process);
    }

    /// Lets a worker say that it is draining, and will leave in `remaining_ms` at the earliest.
    pub fn drain_worker(&self, worker: usize, remaining_ms: u64) {
        self.workers[worker].drain(remaining_ms);
        if self.reaches_store(worker) {
            self.workers[worker].beat(&self.store);
        }
    }

    /// Lets a worker leave for good: its runs end, and connections to it are refused.
    pub fn remove_worker(&self, worker: usize) {
        let store = self.reaches_store(worker).then_some(self.store.as_ref());
        self.workers[worker].leave(store);
        self.network.refuse(&self.paths_of_worker(worker));
    }

    /// Starts another worker at the address of one that has left.
    pub fn replace_worker(&self, worker: usize) {
        self.workers[worker].replace();
        self.network.accept(&self.paths_of_worker(worker));
    }

    /// Lets calls to a worker be carried out late, or their answers be lost; which ones varies
    /// with the seed.
    pub fn disturb_calls(&self, worker: usize, kind: CallFaultKind, seed: u64) {
        let faults = CallFaults::new(kind, seed);
        self.workers[worker].set_call_faults(Some(faults));
    }

    /// Lets calls to a worker be answered at once again.
    pub fn calm_calls(&self, worker: usize) {
        self.workers[worker].set_call_faults(None);
    }

    /// Lets calls to a worker reach another one, which answers that it is not the expected one.
    pub fn misroute_worker(&self, worker: usize) {
        self.workers[worker].set_misrouted(true);
    }

    /// Lets calls to a worker reach it again.
    pub fn reroute_worker(&self, worker: usize) {
        self.workers[worker].set_misrouted(false);
    }

    fn owner_of_most(&self, workers: &[usize]) -> Option<usize> {
        let mut owned = vec![0; self.processes.len()];
        for worker in workers {
            if let Some(owner) = self.owner_of(*worker) {
                owned[owner] += 1;
            }
        }
        let most = owned.iter().copied().max().filter(|most| *most > 0)?;
        owned.iter().position(|count| *count == most)
    }

    /// Returns the process that owns a worker, as the store says.
    fn owner_of(&self, worker: usize) -> Option<usize> {
        let key = eco_format!(
            "{FLEET_PREFIX}owners/workers/{}",
            self.workers[worker].name()
        );
        let StoreReply::Value(Some(stored)) = self.store.call(StoreCall::Get { key }) else {
            return None;
        };
        let owner: Owner = serde_json::from_str(&stored.value).unwrap();
        let mut processes = self.processes.iter();
        processes.position(|process| process.name() == owner.process.instance.as_str())
    }

    fn reaches_store(&self, worker: usize) -> bool {
        let to_store = (Place::Worker(worker), Place::Store);
        self.network.is_open(to_store)
    }

    pub(super) fn paths_of_worker(&self, worker: usize) -> Vec<Direction> {
        let processes: Vec<Place> = self.layout.processes().collect();
        between(&[Place::Worker(worker)], &processes)
    }
}
