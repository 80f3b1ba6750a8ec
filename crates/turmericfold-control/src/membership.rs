//! The registered members, as read from the store, and their latest heartbeats.

use std::collections::BTreeMap;

use turmericfold_peer::Heartbeat;
use turmericfold_platform::StoredKey;
use turmericfold_timeline::EventKind;
use turmericfold_types::{
    InstanceName, LoadSummary, MonotonicMs, ProcessId, RequestStats, Revision,
};

use crate::records::MemberRecord;
use crate::snapshot::PeerView;

/// Members as last read from the store, with the load and revision that each
/// reported last.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    members: BTreeMap<InstanceName, Member>,
}

#[derive(Debug)]
struct Member {
    record: MemberRecord,
    last_heartbeat_at: MonotonicMs,
    load: LoadSummary,
    revision: Revision,
}

impl Membership {
    /// Replaces the members with those read from the store and returns the changes.
    pub(crate) fn update(&mut self, now: MonotonicMs, keys: &[StoredKey]) -> Vec<EventKind> {
        let mut stored = BTreeMap::new();
        for key in keys {
            let Ok(record) = serde_json::from_str::<MemberRecord>(&key.stored.value) else {
                log::warn!(key = key.key.as_str(); "member record can't be parsed; the member is ignored");
                continue;
            };
            stored.insert(record.process.instance.clone(), record);
        }
        let mut changes = Vec::new();
        self.members.retain(|name, _| {
            let is_kept = stored.contains_key(name);
            if !is_kept {
                changes.push(EventKind::MemberChanged {
                    member: name.clone(),
                    live: false,
                });
            }
            is_kept
        });
        for (name, record) in stored {
            match self.members.get_mut(&name) {
                Some(member) => member.record = record,
                None => {
                    changes.push(EventKind::MemberChanged {
                        member: name.clone(),
                        live: true,
                    });
                    let member = Member {
                        record,
                        last_heartbeat_at: now,
                        load: LoadSummary::default(),
                        revision: Revision::default(),
                    };
                    self.members.insert(name, member);
                }
            }
        }
        changes
    }

    /// Records a heartbeat. Ignores heartbeats of unregistered processes and those older
    /// than the latest.
    pub(crate) fn on_heartbeat(&mut self, now: MonotonicMs, heartbeat: Heartbeat) {
        let Some(member) = self.members.get_mut(&heartbeat.from.instance) else {
            return;
        };
        if member.record.process != heartbeat.from || heartbeat.load.version < member.load.version {
            return;
        }
        member.last_heartbeat_at = now;
        member.load = heartbeat.load;
        member.revision = heartbeat.revision;
    }

    /// Returns the member with the highest accepted revision above `revision`.
    pub(crate) fn member_with_newer(&self, revision: Revision) -> Option<InstanceName> {
        self.members
            .iter()
            .filter(|(_, member)| member.revision > revision)
            .max_by_key(|(_, member)| (member.revision, member.last_heartbeat_at))
            .map(|(name, _)| name.clone())
    }

    /// Returns the request statistics of each member since its start.
    pub(crate) fn request_stats(&self) -> BTreeMap<InstanceName, RequestStats> {
        self.members
            .iter()
            .map(|(name, member)| (name.clone(), member.load.request_stats.clone()))
            .collect()
    }

    /// Returns whether the process is registered.
    pub(crate) fn contains(&self, process: &ProcessId) -> bool {
        self.members
            .get(&process.instance)
            .is_some_and(|member| member.record.process == *process)
    }

    /// Returns the record of a registered process.
    pub(crate) fn record(&self, process: &ProcessId) -> Option<&MemberRecord> {
        let member = self.members.get(&process.instance)?;
        (member.record.process == *process).then_some(&member.record)
    }

    /// Returns the record of the process that is registered for the instance.
    pub(crate) fn record_of_instance(&self, instance: &InstanceName) -> Option<&MemberRecord> {
        self.members.get(instance).map(|member| &member.record)
    }

    /// Returns the records of the members that sent a heartbeat at `since` or later,
    /// and the record of `own`.
    pub(crate) fn responsive_since(
        &self,
        own: &ProcessId,
        since: MonotonicMs,
    ) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .values()
            .filter(move |member| {
                member.last_heartbeat_at >= since || member.record.process == *own
            })
            .map(|member| &member.record)
    }

    /// Returns all members except `own`; those without a heartbeat for more than
    /// `suspect_after_ms` are marked as suspected.
    pub(crate) fn peers(
        &self,
        own: &ProcessId,
        now: MonotonicMs,
        suspect_after_ms: u64,
    ) -> Vec<PeerView> {
        self.members
            .values()
            .filter(|member| member.record.process != *own)
            .map(|member| PeerView {
                process: member.record.process.clone(),
                failure_domain: member.record.failure_domain.clone(),
                address: member.record.peer_address.clone(),
                load: member.load.clone(),
                suspected: now.since_ms(member.last_heartbeat_at) > suspect_after_ms,
            })
            .collect()
    }
}
