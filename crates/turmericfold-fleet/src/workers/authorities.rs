//! Which processes own the jobs: orders of former owners are refused.

use turmericfold_platform::{PlatformError, StoreCall, StoreReply};
use turmericfold_types::{MonotonicMs, ProcessId};

use super::owner::WorkerOwner;
use super::worker::Worker;
use crate::context::Context;
use crate::ownership::Ownership;
use crate::{Authority, CallId, Moment, Outbox, PeerMessage, Unit, keys};

/// A store call that reads the owners of all job shards, for the workers that this process
/// owned when the call was sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct AuthoritiesCall {
    id: CallId,
    sent_at: MonotonicMs,
}

impl WorkerOwner {
    /// Handles the result of a store call; returns false if the call was made elsewhere.
    pub(crate) fn on_store(
        &mut self,
        ownership: &mut Ownership,
        id: CallId,
        result: &Result<StoreReply, PlatformError>,
    ) -> bool {
        let Some(call) = self.authorities_call.filter(|call| call.id == id) else {
            return false;
        };
        self.authorities_call = None;
        let Ok(StoreReply::Page { keys, more, .. }) = result else {
            return true;
        };
        // The owners of all shards precede those of the workers, and fit in one page. If another
        // page follows, this process may not acquire a shard by this one, as it would not know of
        // all workers that may have runs of the shard.
        if !more {
            ownership.on_page(keys);
        }
        for key in keys {
            if let Some(Unit::Jobs(shard)) = keys::parse_owner(&key.key) {
                let epoch = key.stored.version;
                self.raise_authority(Authority { shard, epoch });
            }
        }
        for worker in self.workers.values_mut() {
            worker.authorities_known |= worker.owned_since <= call.sent_at;
        }
        true
    }

    /// Records the epoch of an order, and returns whether no later owner of the job's shard
    /// is known.
    pub(super) fn admits(&mut self, ownership: &Ownership, authority: Authority) -> bool {
        if let Some(owned) = ownership.owner(&Unit::Jobs(authority.shard)) {
            let epoch = owned.epoch;
            self.raise_authority(Authority { epoch, ..authority });
        }
        self.raise_authority(authority);
        self.authorities.get(&authority.shard) == Some(&authority.epoch)
    }

    fn raise_authority(&mut self, authority: Authority) {
        let known = self.authorities.entry(authority.shard).or_default();
        *known = (*known).max(authority.epoch);
    }

    pub(super) fn on_recovery_query(
        &mut self,
        context: Context<'_>,
        from: &ProcessId,
        query_id: u64,
        shards: &[Authority],
        out: &mut Outbox,
    ) {
        for authority in shards {
            self.raise_authority(*authority);
        }
        for worker in self.workers() {
            if let Some(report) = worker.recovery_report(Some(query_id)) {
                out.send(from, PeerMessage::RecoveryReport(report));
            } else if self.is_idle_unheard(context, worker) {
                let message = PeerMessage::LeasesExpired {
                    worker: worker.id.clone(),
                    worker_epoch: worker.epoch,
                    query_id,
                };
                out.send(from, message);
            }
        }
    }

    pub(super) fn read_authorities(&mut self, moment: Moment, out: &mut Outbox) {
        let unknown = |worker: &Worker| !worker.authorities_known;
        if self.authorities_call.is_some() || !self.workers().any(unknown) {
            return;
        }
        let id = out.call_store(StoreCall::Range {
            prefix: keys::OWNERS_PREFIX.into(),
            after: None,
            limit: u32::MAX,
        });
        let sent_at = moment.now;
        self.authorities_call = Some(AuthoritiesCall { id, sent_at });
    }
}
