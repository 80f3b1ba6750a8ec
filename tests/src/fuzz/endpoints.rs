//! Endpoints of a [`World`]: each owner grants slots from its own ledger, while the
//! model counts the requests that are actually running.

use std::collections::BTreeMap;

use turmericfold_policy::requests::{SlotKey, SlotLedger};
use turmericfold_types::{Epoch, InstanceName, MonotonicMs};

use crate::world::World;

/// The duration of a request, in milliseconds.
const REQUEST_MS: u64 = 400;

/// A violated rule of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointViolation {
    /// More requests ran at the same time than the endpoint has slots.
    ExcessSlots {
        /// The endpoint.
        endpoint: InstanceName,
        /// The number of running requests.
        running: u32,
    },
}

/// One process's ledger of one endpoint under one epoch.
#[derive(Debug)]
struct EpochLedger {
    epoch: Epoch,
    ledger: SlotLedger,
}

#[derive(Debug)]
struct RunningRequest {
    endpoint: InstanceName,
    process: usize,
    epoch: Epoch,
    slot: SlotKey,
    ends_at: u64,
}

/// Endpoints with their slot ledgers and running requests.
#[derive(Debug, Default)]
pub struct EndpointModel {
    ledgers: BTreeMap<(usize, InstanceName), EpochLedger>,
    running: Vec<RunningRequest>,
    started: u64,
    violations: Vec<EndpointViolation>,
}

impl EndpointModel {
    /// Returns the violations found so far.
    pub fn violations(&self) -> &[EndpointViolation] {
        &self.violations
    }

    /// Returns the number of requests started so far.
    pub fn started(&self) -> u64 {
        self.started
    }

    /// Ends the requests whose duration has passed, and releases their slots.
    pub fn advance(&mut self, world: &World) {
        let now = world.now_ms();
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|request| request.ends_at <= now);
        self.running = running;
        let ended: Vec<RunningRequest> = ended;
        for request in ended {
            let epoch_ledger = self.ledgers.get_mut(&(request.process, request.endpoint));
            if let Some(epoch_ledger) =
                epoch_ledger.filter(|epoch_ledger| epoch_ledger.epoch == request.epoch)
            {
                epoch_ledger.ledger.release(request.slot);
            }
        }
    }

    /// Starts up to `count` requests on each endpoint through every process that may
    /// act as its owner, while slots are free.
    pub fn request(&mut self, world: &World, count: u32) {
        self.advance(world);
        for process in 0..super::PROCESSES {
            let Some((clock, snapshot)) = world.traffic_view(process) else {
                continue;
            };
            for endpoint in &snapshot.endpoints {
                if endpoint.leaving {
                    continue;
                }
                let new_ledger = || EpochLedger {
                    epoch: endpoint.epoch,
                    ledger: SlotLedger::new(endpoint.slots)
                        .with_blocked_until(endpoint.blocked_until),
                };
                let key = (process, endpoint.name.clone());
                let epoch_ledger = self.ledgers.entry(key).or_insert_with(new_ledger);
                if epoch_ledger.epoch != endpoint.epoch {
                    *epoch_ledger = new_ledger();
                }
                for _ in 0..count {
                    let Some(slot) = epoch_ledger.ledger.acquire(MonotonicMs(clock.0)) else {
                        break;
                    };
                    self.started += 1;
                    self.running.push(RunningRequest {
                        endpoint: endpoint.name.clone(),
                        process,
                        epoch: endpoint.epoch,
                        slot,
                        ends_at: world.now_ms() + REQUEST_MS,
                    });
                }
                let running = self.running_on(&endpoint.name);
                if running > endpoint.slots {
                    self.violations.push(EndpointViolation::ExcessSlots {
                        endpoint: endpoint.name.clone(),
                        running,
                    });
                }
            }
        }
    }

    fn running_on(&self, endpoint: &InstanceName) -> u32 {
        let running = self.running.iter();
        let count = running.filter(|request| request.endpoint == *endpoint);
        u32::try_from(count.count()).unwrap_or(u32::MAX)
    }
}
