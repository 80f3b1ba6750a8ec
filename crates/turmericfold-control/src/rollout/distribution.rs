//! Distributes the rollout record between the store, the peers and this process.

use std::collections::BTreeMap;
use std::sync::Arc;

use ecow::EcoString;
use turmericfold_peer::Heartbeat;
use turmericfold_platform::{
    InstanceKind, PlatformError, StoreCall, StoreReply, StoreVersion, StoredValue,
};
use turmericfold_timeline::EventKind;
use turmericfold_types::{InstanceName, MonotonicMs, RequestStats};

use super::record::RolloutRecord;
use crate::event::Action;
use crate::keys;
use crate::node::Node;
use crate::outbox::Purpose;

/// How long one watch waits for a change, in milliseconds. A change must be in force within 7 s,
/// also if the store leaves a watch unanswered, which then takes 1 s more.
const WATCH_WAIT_MS: u64 = 4_000;

/// Listed entries that a process without a configuration asks in one round.
const ENTRIES_PER_ROUND: usize = 3;

impl Node {
    /// Watches the record for a change, or reads it if its version is not known.
    pub(crate) fn poll_configuration(&mut self) {
        if self.is_watching {
            return;
        }
        self.is_watching = true;
        match self.rollout.version() {
            Some(after) => self.watch_configuration(after),
            None => self.read_configuration(),
        }
    }

    fn read_configuration(&mut self) {
        let key = keys::CONFIGURATION_KEY.into();
        self.out
            .store(Purpose::Configuration, StoreCall::Get { key });
    }

    fn watch_configuration(&mut self, after: StoreVersion) {
        let operation = StoreCall::Watch {
            prefix: keys::CONFIGURATION_KEY.into(),
            after,
            wait_ms: WATCH_WAIT_MS,
        };
        self.out.store(Purpose::ConfigurationWatch, operation);
    }

    /// Handles the reply to a read of the record.
    pub(crate) fn on_configuration_read(
        &mut self,
        now: MonotonicMs,
        result: Result<StoreReply, PlatformError>,
    ) {
        self.is_watching = false;
        if let Ok(StoreReply::Value(Some(stored))) = result {
            self.on_record_stored(now, &stored);
        }
    }

    /// Handles the reply to a watch; unless it lists changes, the next poll reads the
    /// record.
    pub(crate) fn on_watch_reply(
        &mut self,
        now: MonotonicMs,
        result: Result<StoreReply, PlatformError>,
    ) {
        self.is_watching = false;
        match result {
            Ok(StoreReply::Changes { changes, .. }) => {
                let latest = changes.into_iter().rev().find_map(|change| {
                    let value = change.value?;
                    let version = change.version;
                    Some(StoredValue { version, value })
                });
                if let Some(stored) = latest {
                    self.on_record_stored(now, &stored);
                    self.poll_configuration();
                }
            }
            // The watch failed or fell behind: the next poll reads the key.
            _ => self.rollout.forget_version(),
        }
    }

    fn on_record_stored(&mut self, now: MonotonicMs, stored: &StoredValue) {
        match RolloutRecord::parse(&stored.value) {
            Ok(record) => self.observe_record(now, record, Some(stored.version)),
            Err(error) => {
                log::error!(error:display; "stored configuration can't be parsed; the previous one stays in force");
            }
        }
    }

    fn observe_record(
        &mut self,
        now: MonotonicMs,
        record: RolloutRecord,
        version: Option<StoreVersion>,
    ) {
        let Some(installed) = self.rollout.observe(now, record, version) else {
            return;
        };
        self.out.record(EventKind::ConfigInstalled {
            revision: installed.revision,
        });
        for owned in self.owned.values_mut() {
            owned.configure(now, &installed, &mut self.out);
        }
        self.configuration = Some(Arc::clone(&installed));
    }

    /// Handles a heartbeat of a peer and applies the record it carries, if any.
    pub(crate) fn on_heartbeat(&mut self, now: MonotonicMs, mut heartbeat: Heartbeat) {
        if let Some(value) = heartbeat.record.take() {
            match RolloutRecord::parse(&value) {
                Ok(record) => self.observe_record(now, record, None),
                Err(error) => {
                    log::warn!(peer = heartbeat.from.to_string().as_str(), error:display;
                        "configuration sent by the peer can't be parsed; it is ignored");
                }
            }
        }
        self.membership.on_heartbeat(now, heartbeat);
    }

    /// Returns the answer to a peer's heartbeat. Its stamp must be set before it is
    /// sent.
    pub fn answer_heartbeat(&self, heartbeat: &Heartbeat) -> Heartbeat {
        let mut answer = self.heartbeat();
        let record = self.rollout.record();
        if heartbeat.wants_record && self.rollout.accepted_revision() > heartbeat.revision {
            answer.record = record
                .and_then(|record| serde_json::to_string(record).ok())
                .map(EcoString::from);
        }
        answer
    }

    /// Returns the peer to ask for a newer record, if any has one.
    pub(crate) fn peer_with_newer_record(&self) -> Option<InstanceName> {
        self.membership
            .member_with_newer(self.rollout.accepted_revision())
    }

    /// Asks some of the listed entries for the record while no configuration is
    /// known, as during an outage of the store.
    pub(crate) fn ask_listed_entries(&mut self) {
        if self.rollout.record().is_some() {
            return;
        }
        let mut heartbeat = self.heartbeat();
        heartbeat.wants_record = true;
        let own = &self.settings.instance;
        let entries = self
            .listing
            .instances
            .iter()
            .filter(|instance| instance.kind == InstanceKind::Entry && instance.name != *own);
        let skip = self.ask_round as usize % entries.clone().count().max(1);
        for entry in entries.cycle().skip(skip).take(ENTRIES_PER_ROUND) {
            self.out.push(Action::SendHeartbeat {
                address: entry.address.clone(),
                heartbeat: heartbeat.clone(),
            });
        }
        self.ask_round = self.ask_round.wrapping_add(1);
    }

    /// Writes the evaluation of the trial if this process should do so now.
    pub(crate) fn evaluate_trial(&mut self, now: MonotonicMs) {
        if self.is_evaluating || self.stopping {
            return;
        }
        let mut reports: BTreeMap<InstanceName, RequestStats> = self.membership.request_stats();
        let own = self.settings.instance.clone();
        let rank = reports.keys().filter(|name| **name < own).count();
        reports.insert(own, self.load.request_stats.clone());
        let Some(evaluation) = self.rollout.due_evaluation(now, rank, &reports) else {
            return;
        };
        let token = self.out.draw_token();
        let Some((version, record)) = self.rollout.record_with_evaluation(&evaluation, token)
        else {
            return;
        };
        let Ok(value) = serde_json::to_string(&record) else {
            return;
        };
        self.is_evaluating = true;
        let operation = StoreCall::CompareAndSwap {
            key: keys::CONFIGURATION_KEY.into(),
            expected: Some(version),
            value: Some(value),
            lease: None,
        };
        self.out.store(Purpose::Evaluation, operation);
        let step = if evaluation.accepted {
            "accept"
        } else {
            "withdraw"
        };
        self.out.record(EventKind::AutomaticChange {
            subject: "trial".into(),
            step: step.into(),
            cause: evaluation.reason,
        });
    }

    /// Handles the reply to the write of an evaluation, and applies or reads the record
    /// that the store holds now, whichever process wrote it.
    pub(crate) fn on_evaluation_reply(
        &mut self,
        now: MonotonicMs,
        result: Result<StoreReply, PlatformError>,
    ) {
        self.is_evaluating = false;
        match result {
            Ok(StoreReply::Conflict {
                current: Some(stored),
            }) => self.on_record_stored(now, &stored),
            Ok(StoreReply::Swapped { .. }) | Err(_) => self.read_configuration(),
            _ => {}
        }
    }
}
