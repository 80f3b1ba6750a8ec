//! The processes of the nodes: start, stop and loss of their registration.

use ecow::{EcoString, eco_format};
use turmericfold_fleet::{Event, FleetNode, FleetSettings, Member, Outbox, keys};
use turmericfold_platform::{StoreCall, Transaction};
use turmericfold_standin::LEASE_MAX_MS;
use turmericfold_types::{FailureDomain, InstanceName, ProcessId};

use super::{Delivery, FleetWorld, RunningNode};

impl FleetWorld {
    /// Kills a node's process immediately.
    pub fn kill_node(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    /// Starts a new process of a node, without state from an earlier process.
    pub fn start_node(&mut self, index: usize) {
        self.boots += 1;
        let process = ProcessId {
            instance: InstanceName::new(format!("entry-{index}")),
            boot: self.boots,
        };
        let member = Member {
            process: process.clone(),
            address: EcoString::from(format!("10.0.0.{index}:7000")),
            domain: FailureDomain::new("west"),
            weight: 100,
            stopping: false,
        };
        let settings = FleetSettings::new(member).with_worker_lease_max_ms(LEASE_MAX_MS);
        self.nodes[index] = Some(RunningNode {
            node: FleetNode::new(&settings),
            outbox: Outbox::new(process.clone()),
            process: process.clone(),
            reported_version: None,
            reported_configuration: self.configuration.version,
            reported_entries: None,
            workers_reported_at: self.now,
            stopping: false,
        });
        self.disturb();
        let event = Event::Configuration(self.configuration.clone());
        self.schedule(5, Delivery::Node { process, event });
    }

    /// Starts the graceful shutdown of a node's process.
    pub fn stop_node(&mut self, index: usize) {
        if let Some(running) = &mut self.nodes[index] {
            running.stopping = true;
            let process = running.process.clone();
            let event = Event::Stop;
            self.schedule(0, Delivery::Node { process, event });
        }
    }

    /// Returns whether a stopping node has handed over all that it owned; true also for
    /// a node without a process.
    pub fn has_handed_over(&self, index: usize) -> bool {
        let running = self.nodes[index].as_ref();
        running.is_none_or(|running| running.node.has_handed_over())
    }

    /// Removes the registration of a node from the store, as an outage of the store may.
    pub(super) fn remove_registration(&mut self, index: usize) {
        self.disturb();
        let Some(running) = &self.nodes[index] else {
            return;
        };
        let instance = &running.process.instance;
        let key = eco_format!("{}members/{instance}", keys::FLEET_PREFIX);
        let transaction = Transaction {
            remove: vec![key],
            ..Transaction::default()
        };
        let removed = self.store.call(self.now, StoreCall::Transact(transaction));
        assert!(
            removed.is_ok(),
            "the registration is not removed: {removed:?}"
        );
    }
}
