//! Who takes part: members from the store, and their signs of life.

use std::collections::BTreeMap;

use turmericfold_peer::Heartbeat;
use turmericfold_platform::StoredKey;
use turmericfold_timeline::EventKind;
use turmericfold_types::{
    InstanceName, LoadSummary, MonotonicMs, ProcessId, RequestFigures, Revision,
};

use crate::records::MemberRecord;
use crate::snapshot::PeerView;

/// Members as last read from the store, with what they said of themselves.
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
    /// Takes over the members read from the store and returns what changed.
    pub(crate) fn update(&mut self, now: MonotonicMs, keys: &[StoredKey]) -> Vec<EventKind> {
        let mut fresh = BTreeMap::new();
        for key in keys {
            let Ok(record) = serde_json::from_str::<MemberRecord>(&key.stored.value) else {
                log::warn!(key = key.key.as_str(); "member record can't be read; ignored");
                continue;
            };
            fresh.insert(record.process.instance.clone(), record);
        }
        let mut changes = Vec::new();
        self.members.retain(|name, _| {
            let stays = fresh.contains_key(name);
            if !stays {
                changes.push(EventKind::MemberChanged {
                    member: name.clone(),
                    live: false,
                });
            }
            stays
        });
        for (name, record) in fresh {
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

    /// Takes note of a sign of life.
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

    /// Returns the member that knows the highest revision above `revision`.
    pub(crate) fn ahead_of(&self, revision: Revision) -> Option<InstanceName> {
        self.members
            .iter()
            .filter(|(_, member)| member.revision > revision)
            .max_by_key(|(_, member)| (member.revision, member.last_heartbeat_at))
            .map(|(name, _)| name.clone())
    }

    /// Returns what each member has counted since its start.
    pub(crate) fn request_stats(&self) -> BTreeMap<InstanceName, RequestFigures> {
        self.members
            .iter()
            .map(|(name, member)| (name.clone(), member.load.figures.clone()))
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

    /// Returns the record of whatever process of the instance is registered.
    pub(crate) fn instance(&self, instance: &InstanceName) -> Option<&MemberRecord> {
        self.members.get(instance).map(|member| &member.record)
    }

    /// Returns the members that showed a sign of life since `responsive_since`, and
    /// `own`, with their failure domains.
    pub(crate) fn responsive_since(
        &self,
        own: &ProcessId,
        responsive_since: MonotonicMs,
    ) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .values()
            .filter(move |member| {
                member.last_heartbeat_at >= responsive_since || member.record.process == *own
            })
            .map(|member| &member.record)
    }

    /// Returns all members but `own`.
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
