//! Heartbeats and calls between the control threads of processes.

use std::collections::BTreeMap;

use turmericfold_peer::{ControlAnswer, ControlCall, Heartbeat, PeerCallError, ShardEpoch};
use turmericfold_platform::{LeaseId, StoreCall};
use turmericfold_types::MonotonicMs;

use super::Node;
use crate::event::{Action, CallId, ReplyId};
use crate::outbox::{PeerPurpose, Purpose};
use crate::records::WitnessRecord;

impl Node {
    pub(super) fn send_heartbeats(&mut self, now: MonotonicMs) {
        let heartbeat = self.heartbeat();
        let source = self.peer_with_newer_record();
        for peer in self.membership.peers(&self.process, now, u64::MAX) {
            let mut heartbeat = heartbeat.clone();
            heartbeat.wants_record = source.as_ref() == Some(&peer.process.instance);
            self.out.push(Action::SendHeartbeat {
                address: peer.address,
                heartbeat,
            });
        }
        self.ask_listed_entries();
    }

    /// Returns the heartbeat of this process. Its stamp must be set before it is sent.
    pub fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            from: self.process.clone(),
            stamp: 0,
            load: self.load.clone(),
            revision: self.rollout.accepted_revision(),
            wants_record: false,
            record: None,
        }
    }

    /// Secures the ownership of shards while the lease is not renewed or a head names
    /// another lease.
    ///
    /// Asks peers that may reach the store to renew the lease if it is near its expiry,
    /// and asks the witnesses for promises.
    pub(super) fn secure_ownership(&mut self, now: MonotonicMs) {
        if now < self.next_promise_at {
            return;
        }
        let has_other_lease =
            |owned_head: &crate::owned_head::OwnedHead| Some(owned_head.head.lease) != self.lease;
        let any_without_lease = self.owned_heads.values().any(has_other_lease);
        if !self.is_lease_near_expiry(now) && !any_without_lease {
            return;
        }
        self.next_promise_at = now + self.settings.witness_interval_ms;
        if self.is_lease_near_expiry(now) {
            self.ask_peers_to_renew(now);
        }
        let mut requests: BTreeMap<_, (WitnessRecord, Vec<ShardEpoch>)> = BTreeMap::new();
        for (shard, owned_head) in &self.owned_heads {
            let ownership = ShardEpoch {
                shard: shard.clone(),
                epoch: owned_head.head.epoch,
            };
            for witness in owned_head.witnesses() {
                let request = requests
                    .entry(witness.process.clone())
                    .or_insert_with(|| (witness.clone(), Vec::new()));
                if !request.1.contains(&ownership) {
                    request.1.push(ownership.clone());
                }
            }
        }
        for (process, (witness, ownerships)) in requests {
            if process == self.process {
                let promised = self.give_promises(now, ownerships, self.settings.promise_ms);
                self.record_promises(now, &process, promised);
                continue;
            }
            let message = ControlCall::Promise {
                from: self.process.clone(),
                ownerships,
                duration_ms: self.settings.promise_ms,
            };
            let purpose = PeerPurpose::Promise {
                witness: process,
                sent_at: now,
            };
            self.out.peer(purpose, witness.peer_address, message);
        }
    }

    fn give_promises(
        &mut self,
        now: MonotonicMs,
        ownerships: Vec<ShardEpoch>,
        duration_ms: u64,
    ) -> Vec<ShardEpoch> {
        let until = now + duration_ms;
        let mut promised = ownerships;
        promised.retain(|ownership| self.witness.promise(ownership, until));
        promised
    }

    fn record_promises(
        &mut self,
        sent_at: MonotonicMs,
        witness: &turmericfold_types::ProcessId,
        ownerships: Vec<ShardEpoch>,
    ) {
        let until = sent_at + self.settings.usable_promise_ms();
        for ownership in ownerships {
            if let Some(owned_head) = self.owned_heads.get_mut(&ownership.shard)
                && owned_head.head.epoch == ownership.epoch
            {
                owned_head.record_promise(witness, until);
            }
        }
    }

    pub(super) fn on_peer_called(&mut self, now: MonotonicMs, reply: ReplyId, call: ControlCall) {
        let answer = match call {
            ControlCall::Promise {
                ownerships,
                duration_ms,
                ..
            } => ControlAnswer::Promised {
                by: self.process.clone(),
                ownerships: self.give_promises(now, ownerships, duration_ms),
            },
            ControlCall::Consent { ownerships, .. } => ControlAnswer::Consented {
                by: self.process.clone(),
                ownerships: ownerships
                    .into_iter()
                    .filter(|ownership| self.consent(now, ownership))
                    .collect(),
            },
            ControlCall::RenewLease { lease, .. } => {
                let lease = LeaseId(lease);
                self.out.store(
                    Purpose::PeerLease { reply },
                    StoreCall::RenewLease { lease },
                );
                return;
            }
        };
        self.out.push(Action::ReplyPeer { reply, answer });
    }

    /// Consents to a claim unless a promise is valid or this process acts as the
    /// owner, and returns whether it did.
    fn consent(&mut self, now: MonotonicMs, ownership: &ShardEpoch) -> bool {
        if let Some(owned_head) = self.owned_heads.get(&ownership.shard) {
            let is_acting = now < owned_head.acts_until(self.lease, self.lease_until);
            if is_acting || owned_head.head.epoch > ownership.epoch {
                return false;
            }
        }
        if !self.witness.consent(now, ownership) {
            return false;
        }
        self.release(
            &ownership.shard,
            "consented to the claim of another process",
        );
        true
    }

    pub(super) fn on_peer_reply(
        &mut self,
        now: MonotonicMs,
        call: CallId,
        result: Result<ControlAnswer, PeerCallError>,
    ) {
        match (self.out.take_peer_purpose(call), result) {
            (
                Some(PeerPurpose::Promise { witness, sent_at }),
                Ok(ControlAnswer::Promised { by, ownerships }),
            ) if by == witness => self.record_promises(sent_at, &witness, ownerships),
            (
                Some(PeerPurpose::Consent { witness }),
                Ok(ControlAnswer::Consented { by, ownerships }),
            ) => {
                if by == witness {
                    for ownership in ownerships {
                        self.consents.record_consent(ownership, witness.clone());
                    }
                } else if by.instance == witness.instance {
                    self.consents.record_death(now, &witness);
                }
            }
            (Some(PeerPurpose::Consent { witness }), Err(PeerCallError::Refused { .. })) => {
                self.consents.record_death(now, &witness);
            }
            (
                Some(PeerPurpose::Renew { lease, sent_at }),
                Ok(ControlAnswer::LeaseRenewed { known }),
            ) => self.on_renewed_by_peer(lease, sent_at, known),
            _ => {}
        }
    }
}
