//! Changes of the owners of units, as transactions of the store.

use turmericfold_platform::{
    Expectation, MAX_TRANSACTION_ENTRIES, StoreCall, StoreVersion, Transaction,
};
use turmericfold_types::ProcessId;

use super::state::Ownership;
use crate::keys;
use crate::registrations::Registrations;
use crate::{Moment, Outbox, Owner, Unit};

/// The number of entries that one unit adds to a transaction: its expected version and
/// the write.
const ENTRIES_PER_UNIT: usize = 2;

/// A change of a unit's owner to write to the store.
#[derive(Debug)]
pub(super) struct Transfer {
    /// The unit.
    pub(super) unit: Unit,
    /// The expected epoch, or `None` if the unit has no owner.
    pub(super) expected: Option<StoreVersion>,
    /// The expected registration of the instance of the former owner.
    pub(super) registration: Option<Expectation>,
    /// The new owner.
    pub(super) owner: Owner,
}

impl Ownership {
    /// Returns the change that makes `to` the owner of a unit.
    pub(super) fn transfer(
        &self,
        moment: Moment,
        registrations: &Registrations,
        unit: Unit,
        to: ProcessId,
    ) -> Transfer {
        let current = self.owners.get(&unit);
        let term = current.map_or(1, |owned| owned.owner.term + 1);
        let known_ms = current.map_or(0, |owned| owned.owner.worker_started_ms);
        let started_ms = match &unit {
            Unit::Worker(worker) => registrations.settled_start_ms(moment, worker, known_ms),
            Unit::Jobs(_) => 0,
        };
        Transfer {
            expected: current.map(|owned| owned.epoch),
            registration: None,
            owner: Owner::new(to, term).with_worker_started_ms(started_ms),
            unit,
        }
    }

    /// Writes as many changes of owners as one transaction holds, and releases the units that
    /// it hands over.
    pub(super) fn send_transfers(&mut self, transfers: Vec<Transfer>, out: &mut Outbox) {
        let mut transaction = Transaction::default();
        self.expected_epochs.clear();
        for transfer in transfers {
            let registration = transfer
                .registration
                .filter(|expected| !transaction.expect.contains(expected));
            let entry_count = ENTRIES_PER_UNIT + usize::from(registration.is_some());
            if transaction.entry_count() + entry_count > MAX_TRANSACTION_ENTRIES {
                break;
            }
            let key = keys::owner(&transfer.unit);
            let Ok(value) = serde_json::to_string(&transfer.owner) else {
                log::error!(unit:% = transfer.unit; "owner can't be encoded; skipping its unit");
                continue;
            };
            // A unit is released before the call that hands it over is sent.
            if transfer.owner.process != self.me {
                self.mark_lost(&transfer.unit);
            }
            log::info!(
                unit:% = transfer.unit,
                owner:% = transfer.owner.process,
                term = transfer.owner.term;
                "claiming a unit or handing it over"
            );
            transaction.expect.extend(registration);
            transaction.expect_version(key.clone(), transfer.expected);
            transaction.write_value(key, value, None);
            if let Some(expected) = transfer.expected {
                self.expected_epochs.insert(transfer.unit, expected);
            }
        }
        self.claim_call = Some(out.call_store(StoreCall::Transact(transaction)));
    }
}
