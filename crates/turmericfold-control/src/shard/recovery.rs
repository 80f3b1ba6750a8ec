//! The takeover of a shard: reads its roster and its journal, and fences the previous
//! owner.

use ecow::EcoString;
use turmericfold_platform::{PlatformError, StoreCall, StoreReply, StoredKey, StoredValue};
use turmericfold_policy::batch::BatchEvent;
use turmericfold_timeline::EventKind;
use turmericfold_types::MonotonicMs;

use super::{JOURNAL_PAGE_SEGMENTS, OwnedShard, OwnershipLost, Phase};
use crate::journal::{AppendOutcome, SLOT_COUNT};
use crate::keys;
use crate::outbox::{Outbox, ShardPurpose};
use crate::records::{RosterEntry, Segment};
use crate::worker_session::WorkerSession;

impl OwnedShard {
    pub(super) fn request_takeover_step(&mut self, out: &mut Outbox) {
        match self.phase {
            Phase::ReadingRoster => {
                let call = StoreCall::Get {
                    key: keys::roster(&self.id),
                };
                self.call(ShardPurpose::ReadRoster, call, out);
            }
            Phase::ReadingJournal => {
                let call = StoreCall::Range {
                    prefix: keys::journal(&self.id),
                    after: self.journal_after.clone(),
                    limit: JOURNAL_PAGE_SEGMENTS,
                };
                self.call(ShardPurpose::ReadJournal, call, out);
            }
            Phase::Fencing => {
                let token = out.draw_token();
                let records = || self.scheduler.records().collect();
                if let Some(call) = self.journal.flush(true, token, records) {
                    self.call(ShardPurpose::Append, call, out);
                }
            }
            Phase::Recovering | Phase::Ready => {}
        }
    }

    pub(super) fn on_roster_read(
        &mut self,
        result: Result<StoreReply, PlatformError>,
    ) -> Result<(), OwnershipLost> {
        self.is_step_due = true;
        let Ok(StoreReply::Value(stored)) = result else {
            return Ok(());
        };
        if let Some(stored) = stored {
            self.install_roster(&stored)?;
        }
        for (name, entry) in &self.roster.workers {
            let session = WorkerSession::new(entry.address.clone(), self.claimed_at);
            self.sessions.insert(name.clone(), session);
        }
        self.phase = Phase::ReadingJournal;
        Ok(())
    }

    pub(super) fn install_roster(&mut self, stored: &StoredValue) -> Result<(), OwnershipLost> {
        self.roster = serde_json::from_str(&stored.value).map_err(|error| OwnershipLost {
            cause: ecow::eco_format!("the roster of shard {} can't be parsed: {error}", self.id),
        })?;
        self.roster_version = Some(stored.version);
        Ok(())
    }

    pub(super) fn extend_roster(&mut self, out: &mut Outbox) {
        if self.pending_roster.is_some() {
            return;
        }
        let mut roster = self.roster.clone();
        for worker in self.listed.values() {
            let entry = RosterEntry {
                address: worker.address.clone(),
            };
            roster.workers.entry(worker.name.clone()).or_insert(entry);
        }
        if roster.workers.len() == self.roster.workers.len() {
            return;
        }
        let Ok(value) = serde_json::to_string(&roster) else {
            return;
        };
        self.pending_roster = Some(roster);
        let call = StoreCall::CompareAndSwap {
            key: keys::roster(&self.id),
            expected: self.roster_version,
            value: Some(value),
            lease: None,
        };
        self.call(ShardPurpose::WriteRoster, call, out);
    }

    pub(super) fn on_roster_written(
        &mut self,
        now: MonotonicMs,
        result: Result<StoreReply, PlatformError>,
    ) -> Result<(), OwnershipLost> {
        let Some(written) = self.pending_roster.take() else {
            return Ok(());
        };
        match result {
            Ok(StoreReply::Swapped { version }) => {
                self.roster = written;
                self.roster_version = Some(version);
            }
            // An earlier write whose reply was lost also leads here when it is repeated.
            Ok(StoreReply::Conflict {
                current: Some(current),
            }) => self.install_roster(&current)?,
            _ => return Ok(()),
        }
        for (name, entry) in &self.roster.workers {
            self.sessions
                .entry(name.clone())
                .or_insert_with(|| WorkerSession::new(entry.address.clone(), now));
        }
        Ok(())
    }

    pub(super) fn on_journal_read(
        &mut self,
        now: MonotonicMs,
        result: Result<StoreReply, PlatformError>,
        out: &mut Outbox,
    ) -> Result<(), OwnershipLost> {
        self.is_step_due = true;
        let Ok(StoreReply::Page { keys, more, .. }) = result else {
            return Ok(());
        };
        for key in &keys {
            let segment = self.parse_segment(key)?;
            let version = key.stored.version;
            self.found_segments
                .insert(segment.sequence, (segment, version));
        }
        if let Some(last) = keys.last() {
            self.journal_after = Some(last.key.clone());
        }
        if !more {
            // Slots are read in the order of their keys, not of their segments, so the
            // segments are applied only once all are read.
            for (segment, version) in std::mem::take(&mut self.found_segments).into_values() {
                self.journal.record_segment(&segment, version);
                self.apply_segment(now, segment, out);
            }
            self.phase = Phase::Fencing;
        }
        Ok(())
    }

    pub(super) fn parse_segment(&self, key: &StoredKey) -> Result<Segment, OwnershipLost> {
        let damaged = |cause: EcoString| OwnershipLost {
            cause: ecow::eco_format!("journal segment {} is damaged: {cause}", key.key),
        };
        let segment: Segment = serde_json::from_str(&key.stored.value)
            .map_err(|error| damaged(ecow::eco_format!("{error}")))?;
        if keys::segment(&self.id, segment.sequence % SLOT_COUNT) != key.key {
            return Err(damaged(
                "its sequence number belongs to another slot".into(),
            ));
        }
        Ok(segment)
    }

    pub(super) fn apply_segment(&mut self, now: MonotonicMs, segment: Segment, out: &mut Outbox) {
        for change in segment.changes {
            self.decide(now, BatchEvent::TaskKnown(Box::new(change.record)), out);
        }
    }

    pub(super) fn on_appended(
        &mut self,
        now: MonotonicMs,
        result: Result<StoreReply, PlatformError>,
        out: &mut Outbox,
    ) -> Result<(), OwnershipLost> {
        match result {
            Ok(StoreReply::Swapped { version }) => self.journal.on_written(version),
            Ok(StoreReply::Conflict { current }) => {
                match self.journal.on_conflict(current.as_ref()) {
                    AppendOutcome::Written => {}
                    AppendOutcome::Foreign(segment) if self.phase == Phase::Fencing => {
                        self.apply_segment(now, segment, out);
                        self.is_step_due = true;
                        return Ok(());
                    }
                    AppendOutcome::Foreign(segment) => {
                        let cause = ecow::eco_format!(
                            "the owner of epoch {} wrote to the journal",
                            segment.epoch
                        );
                        return Err(OwnershipLost { cause });
                    }
                    AppendOutcome::Damaged(cause) => return Err(OwnershipLost { cause }),
                }
            }
            Ok(_) | Err(_) => {
                self.journal.on_unknown_outcome();
                self.is_step_due = true;
                return Ok(());
            }
        }
        if self.phase == Phase::Fencing {
            self.phase = Phase::Recovering;
        }
        self.release_waiters(out);
        Ok(())
    }

    pub(super) fn flush(&mut self, out: &mut Outbox) {
        let token = out.draw_token();
        let records = || self.scheduler.records().collect();
        if let Some(call) = self.journal.flush(false, token, records) {
            self.call(ShardPurpose::Append, call, out);
        }
    }

    /// Completes the recovery once every worker has replied or its runs have certainly
    /// expired.
    pub(super) fn check_recovered(&mut self, now: MonotonicMs, out: &mut Outbox) {
        let recovered = self
            .sessions
            .values()
            .all(|session| session.has_replied || now >= session.runs_expired_at());
        if recovered {
            self.phase = Phase::Ready;
            self.decide(now, BatchEvent::RecoveryCompleted, out);
            out.record(EventKind::ShardReady {
                shard: self.id.clone(),
                epoch: self.epoch,
            });
        }
    }
}
