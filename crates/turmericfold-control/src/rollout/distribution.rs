//! Carries the record of the configuration between store, peers and this process.

use std::collections::BTreeMap;
use std::sync::Arc;

use ecow::EcoString;
use turmericfold_peer::Heartbeat;
use turmericfold_platform::{
    InstanceKind, PlatformError, StoreCall, StoreReply, StoreVersion, StoredValue,
};
use turmericfold_timeline::EventKind;
use turmericfold_types::{InstanceName, MonotonicMs, RequestFigures};

use super::record::RolloutRecord;
use crate::event::Action;
use crate::keys;
use crate::node::Node;
use crate::outbox::Purpose;

/// How long one watch waits, in milliseconds.
const WATCH_MS: u64 = 10_000;

/// Listed entries asked at a time by a process that knows no configuration.
const ASKED_ENTRIES: usize = 3;

impl Node {
    /// Waits for a change of the record, or reads it if that can't be done.
    pub(crate) fn poll_configuration(&mut self) {
        if self.watching {
            return;
        }
        self.watching = true;
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
            wait_ms: WATCH_MS,
        };
        self.out.store(Purpose::ConfigurationWatch, operation);
    }

    /// Takes the answer to a read of the record.
    pub(crate) fn configuration_read(
        &mut self,
        now: MonotonicMs,
        result: Result<StoreReply, PlatformError>,
    ) {
        self.watching = false;
        if let Ok(StoreReply::Value(Some(stored))) = result {
            self.record_stored(now, &stored);
        }
    }

    /// Takes the answer to a watch; anything but changes leads to a read.
    pub(crate) fn watch_replied(
        &mut self,
        now: MonotonicMs,
        result: Result<StoreReply, PlatformError>,
    ) {
        self.watching = false;
        match result {
            Ok(StoreReply::Changes { changes, .. }) => {
                let latest = changes.into_iter().rev().find_map(|change| {
                    let value = change.value?;
                    let version = change.version;
                    Some(StoredValue { version, value })
                });
                if let Some(stored) = latest {
                    self.record_stored(now, &stored);
                    self.poll_configuration();
                }
            }
            // The watch broke or fell behind: the next poll reads the key.
            _ => self.rollout.forget_version(),
        }
    }

    fn record_stored(&mut self, now: MonotonicMs, stored: &StoredValue) {
        match RolloutRecord::parse(&stored.value) {
            Ok(record) => self.observe_record(now, record, Some(stored.version)),
            Err(error) => {
                log::error!(error:display; "the stored configuration can't be read; kept the old one");
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

    /// Takes note of a peer's sign of life, and of a record it carries.
    pub(crate) fn on_heartbeat(&mut self, now: MonotonicMs, mut heartbeat: Heartbeat) {
        if let Some(value) = heartbeat.record.take() {
            match RolloutRecord::parse(&value) {
                Ok(record) => self.observe_record(now, record, None),
                Err(error) => {
                    log::warn!(peer = heartbeat.from.to_string().as_str(), error:display;
                        "a peer's configuration can't be read; ignored");
                }
            }
        }
        self.membership.on_heartbeat(now, heartbeat);
    }

    /// Returns the answer to a peer's sign of life; the caller sets its stamp.
    pub fn answer_heartbeat(&self, heartbeat: &Heartbeat) -> Heartbeat {
        let mut own = self.heartbeat();
        let record = self.rollout.record();
        if heartbeat.wants_record && self.rollout.accepted_revision() > heartbeat.revision {
            own.record = record
                .and_then(|record| serde_json::to_string(record).ok())
                .map(EcoString::from);
        }
        own
    }

    /// Returns the one peer to ask for a higher revision, if any has one.
    pub(crate) fn record_source(&self) -> Option<InstanceName> {
        self.membership.ahead_of(self.rollout.accepted_revision())
    }

    /// Asks listed entries while no configuration is known, as in an outage of
    /// the store.
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
        let skip = self.asked_turn as usize % entries.clone().count().max(1);
        for entry in entries.cycle().skip(skip).take(ASKED_ENTRIES) {
            self.out.push(Action::SendHeartbeat {
                address: entry.address.clone(),
                heartbeat: heartbeat.clone(),
            });
        }
        self.asked_turn = self.asked_turn.wrapping_add(1);
    }

    /// Writes the verdict on the trial if it falls to this process now.
    pub(crate) fn judge_trial(&mut self, now: MonotonicMs) {
        if self.judging || self.stopping {
            return;
        }
        let mut reports: BTreeMap<InstanceName, RequestFigures> = self.membership.request_stats();
        let own = self.settings.instance.clone();
        let rank = reports.keys().filter(|name| **name < own).count();
        reports.insert(own, self.load.figures.clone());
        let Some(evaluation) = self.rollout.due_evaluation(now, rank, &reports) else {
            return;
        };
        let token = self.out.token();
        let Some((version, record)) = self.rollout.record_with_evaluation(&evaluation, token)
        else {
            return;
        };
        let Ok(value) = serde_json::to_string(&record) else {
            return;
        };
        self.judging = true;
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

    /// Takes the answer to a verdict; whoever wrote it, the record is read anew.
    pub(crate) fn verdict_replied(
        &mut self,
        now: MonotonicMs,
        result: Result<StoreReply, PlatformError>,
    ) {
        self.judging = false;
        match result {
            Ok(StoreReply::Conflict {
                current: Some(stored),
            }) => self.record_stored(now, &stored),
            Ok(StoreReply::Swapped { .. }) | Err(_) => self.read_configuration(),
            _ => {}
        }
    }
}
