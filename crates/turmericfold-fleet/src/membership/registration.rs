//! Registers this process in the store and renews the registration.

use turmericfold_platform::{
    LeaseId, PlatformError, StoreCall, StoreReply, StoreVersion, Transaction,
};
use turmericfold_types::MonotonicMs;

use super::{MASS_EXPIRY_GRACE_MS, Membership};
use crate::{CallId, Moment, Outbox, keys};

/// The number of renewals sent within one time to live of the registration.
const RENEWALS_PER_TTL: u64 = 4;

/// The delay before a failed registration call is retried, in milliseconds; short
/// compared to the time to live.
const REGISTRATION_RETRY_MS: u64 = 200;

/// The time beyond the grace period for which a vanished registration is remembered,
/// in milliseconds.
const MASS_EXPIRY_WINDOW_MS: u64 = 1_000;

/// The purpose of a store call for the registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RegistrationStep {
    Grant,
    Register,
    Renew,
    Leave,
}

/// The store call in progress for the registration.
#[derive(Debug, Clone, Copy)]
pub(super) struct RegistrationCall {
    id: CallId,
    step: RegistrationStep,
    sent_at: MonotonicMs,
}

impl Membership {
    /// Registers again with a mark that this process is stopping.
    pub(crate) fn announce_stop(&mut self) {
        self.me.stopping = true;
        self.registered = false;
        self.next_call_at = MonotonicMs::default();
    }

    /// Revokes the registration, so that other processes can claim units at once.
    pub(crate) fn leave(&mut self, moment: Moment, out: &mut Outbox) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.registered = false;
        if let Some(lease) = self.lease.take() {
            self.call_store(
                moment,
                RegistrationStep::Leave,
                StoreCall::RevokeLease { lease },
                out,
            );
        }
    }

    /// Makes the next registration call when it is due.
    pub(crate) fn tick(&mut self, moment: Moment, out: &mut Outbox) {
        let window_ms = MASS_EXPIRY_GRACE_MS + MASS_EXPIRY_WINDOW_MS;
        self.vanished_at
            .retain(|at| moment.since_ms(*at) < window_ms);
        if self.leaving || self.call.is_some() || !moment.has_reached(self.next_call_at) {
            return;
        }
        match (self.lease, self.registered) {
            (None, _) => {
                let ttl_ms = self.ttl_ms;
                self.call_store(
                    moment,
                    RegistrationStep::Grant,
                    StoreCall::GrantLease { ttl_ms },
                    out,
                );
            }
            (Some(lease), false) => self.register(moment, lease, out),
            (Some(lease), true) => {
                self.call_store(
                    moment,
                    RegistrationStep::Renew,
                    StoreCall::RenewLease { lease },
                    out,
                );
            }
        }
    }

    /// Handles the outcome of a store call.
    ///
    /// Returns false if the call was not made for the registration.
    pub(crate) fn on_store(
        &mut self,
        moment: Moment,
        id: CallId,
        result: &Result<StoreReply, PlatformError>,
    ) -> bool {
        let Some(call) = self.call.filter(|call| call.id == id) else {
            return false;
        };
        self.call = None;
        self.next_call_at = moment + REGISTRATION_RETRY_MS;
        match (call.step, result) {
            (RegistrationStep::Leave, _) => {}
            (RegistrationStep::Grant, Ok(StoreReply::Lease { lease })) => {
                self.lease = Some(*lease);
                self.lease_expires_at = call.sent_at + self.ttl_ms;
                self.next_call_at = moment.now;
            }
            (RegistrationStep::Register, Ok(StoreReply::Committed { version })) => {
                self.registered_version = *version;
                log::info!(process:% = self.me.process; "process registered as a member");
                self.registered = true;
                self.registered_at = Some(moment.now);
                self.next_call_at = moment + self.renewal_interval_ms();
            }
            (RegistrationStep::Renew, Ok(StoreReply::Lease { .. })) => {
                self.lease_expires_at = call.sent_at + self.ttl_ms;
                self.next_call_at = moment + self.renewal_interval_ms();
            }
            (_, Ok(StoreReply::NoLease)) => {
                log::warn!(process:% = self.me.process; "registration expired; registering again");
                self.lease = None;
                self.registered = false;
                self.next_call_at = moment.now;
            }
            (step, Ok(reply)) => {
                log::warn!(step:? = step, reply:? = reply; "store sent an unexpected reply to a registration call; retrying after a delay");
            }
            (step, Err(error)) => {
                log::debug!(step:? = step, error:% = error; "registration call failed; retrying after a delay");
            }
        }
        self.check_own_registration(self.reported_version);
        true
    }

    /// Registers again if the store has removed the key of this process unexpectedly. While a call
    /// is in progress this waits for its result.
    pub(super) fn check_own_registration(&mut self, read_at: StoreVersion) {
        if read_at < self.registered_version {
            return;
        }
        let present = self.find(&self.me.process).is_some();
        if self.registered && self.call.is_none() && !present {
            log::warn!(process:% = self.me.process; "registration was removed from the store; registering again");
            self.registered = false;
            self.next_call_at = MonotonicMs::default();
        }
    }

    fn register(&mut self, moment: Moment, lease: LeaseId, out: &mut Outbox) {
        let Ok(value) = serde_json::to_string(&self.me) else {
            log::error!("registration can't be encoded; the process stays unregistered");
            return;
        };
        let mut transaction = Transaction::default();
        let key = keys::member(&self.me.process.instance);
        transaction.write_value(key, value, Some(lease));
        self.call_store(
            moment,
            RegistrationStep::Register,
            StoreCall::Transact(transaction),
            out,
        );
    }

    fn call_store(
        &mut self,
        moment: Moment,
        step: RegistrationStep,
        call: StoreCall,
        out: &mut Outbox,
    ) {
        let id = out.call_store(call);
        self.call = Some(RegistrationCall {
            id,
            step,
            sent_at: moment.now,
        });
    }

    fn renewal_interval_ms(&self) -> u64 {
        self.ttl_ms / RENEWALS_PER_TTL
    }
}
