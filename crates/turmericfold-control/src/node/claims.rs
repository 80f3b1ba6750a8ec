//! Claims shards that have no owner.

use std::cell::OnceCell;
use std::collections::BTreeMap;

use turmericfold_peer::{ControlCall, ShardEpoch};
use turmericfold_platform::{PlatformError, StoreCall, StoreReply};
use turmericfold_timeline::EventKind;
use turmericfold_types::{Epoch, InstanceName, MonotonicMs, ProcessId, ShardId};

use super::heads::parse_head;
use super::{KnownHead, MAX_MISSED_HEARTBEATS, Node};
use crate::keys;
use crate::outbox::{PeerPurpose, Purpose};
use crate::owned_head::OwnedHead;
use crate::records::{ShardHead, WitnessRecord};
use crate::rendezvous::place_shards;
use crate::shard::OwnedShard;

/// Delay before this process claims a shard again that it released because its data
/// was damaged or another process owned it, in milliseconds.
const RECLAIM_DELAY_MS: u64 = 10_000;

/// The member that should own each shard.
type Placement<'node> = BTreeMap<ShardId, &'node InstanceName>;

/// Whether this process may claim a shard.
enum Claimable {
    /// The shard may be claimed now.
    Now,
    /// The witnesses of the current head must consent first.
    NeedsConsent(ShardEpoch),
    /// The shard has an owner, or another process should claim it.
    No,
}

impl Node {
    pub(super) fn claim_shards(&mut self, now: MonotonicMs) {
        let Some(configuration) = self.configuration.clone() else {
            return;
        };
        if !self.has_read_heads
            || now >= self.lease_until
            || !self.membership.contains(&self.process)
        {
            return;
        }
        let placement = OnceCell::new();
        let decided: Vec<_> = configuration
            .shards()
            .into_iter()
            .map(|shard| (self.claimable(now, &shard, &placement), shard))
            .collect();
        drop(placement);
        let mut needing_consent = Vec::new();
        for (claimable, shard) in decided {
            match claimable {
                Claimable::Now => self.claim(shard),
                Claimable::NeedsConsent(ownership) => needing_consent.push(ownership),
                Claimable::No => {}
            }
        }
        self.consents
            .retain(|given| needing_consent.contains(given));
        let heads = &self.heads;
        self.consents.retain_deaths(|process| {
            let mut witnesses = heads.values().flat_map(|known| &known.head.witnesses);
            witnesses.any(|witness| witness.process == *process)
        });
        if now >= self.next_consent_at && !needing_consent.is_empty() {
            self.next_consent_at = now + self.settings.witness_interval_ms;
            self.ask_consents(now, &needing_consent);
        }
    }

    /// Returns whether this process may claim the shard; `placement` is computed for
    /// the first shard that needs it.
    fn claimable<'node>(
        &'node self,
        now: MonotonicMs,
        shard: &ShardId,
        placement: &OnceCell<Placement<'node>>,
    ) -> Claimable {
        if self.owned.contains_key(shard) || self.claiming.contains_key(shard) {
            return Claimable::No;
        }
        let lost_at = self.lost_at.get(shard);
        if lost_at.is_some_and(|since| now.since_ms(*since) < RECLAIM_DELAY_MS) {
            return Claimable::No;
        }
        let known = self.heads.get(shard);
        let owner = known.map(|known| &known.head.owner);
        let released = known.and_then(|known| known.head.released);
        if owner == Some(&self.process) && released.is_none() {
            // This process dropped the shard without marking its head as released. No
            // other process acts under that epoch.
            return Claimable::Now;
        }
        if released.is_none() && owner.is_some_and(|owner| self.membership.contains(owner)) {
            return Claimable::No;
        }
        let placement = placement.get_or_init(|| self.placement(now, None));
        let releasing = owner.filter(|_| released.is_some());
        if !self.is_preferred(now, shard, releasing, placement) {
            return Claimable::No;
        }
        if released.is_some() {
            return Claimable::Now;
        }
        match known {
            None if now.since_ms(self.members_changed_at) < self.settings.membership_settle_ms => {
                Claimable::No
            }
            None => Claimable::Now,
            Some(known) => {
                let ownership = ShardEpoch {
                    shard: shard.clone(),
                    epoch: known.head.epoch,
                };
                let promise_ms = self.settings.promise_ms + self.settings.drift_margin_ms;
                match self
                    .consents
                    .has_quorum(now, &ownership, &known.head, promise_ms)
                {
                    true => Claimable::Now,
                    false => Claimable::NeedsConsent(ownership),
                }
            }
        }
    }

    /// Returns whether this process should own the shard.
    ///
    /// `releasing` is the process that released the shard; if the placement would
    /// return the shard to it, the placement without that process counts.
    fn is_preferred(
        &self,
        now: MonotonicMs,
        shard: &ShardId,
        releasing: Option<&ProcessId>,
        placement: &Placement<'_>,
    ) -> bool {
        let releasing = releasing.map(|process| &process.instance);
        let mut preferred = placement.get(shard).copied();
        if releasing.is_some() && preferred == releasing {
            let others = self.placement(now, releasing);
            preferred = others.get(shard).copied().or(preferred);
        }
        preferred == Some(&self.settings.instance)
    }

    /// Returns the responsive member, other than `without`, that should own each
    /// shard.
    pub(super) fn placement(
        &self,
        now: MonotonicMs,
        without: Option<&InstanceName>,
    ) -> Placement<'_> {
        let Some(configuration) = &self.configuration else {
            return Placement::new();
        };
        let suspect_after_ms = self.settings.heartbeat_interval_ms * MAX_MISSED_HEARTBEATS;
        let since = MonotonicMs(now.0.saturating_sub(suspect_after_ms));
        let members: Vec<_> = self
            .membership
            .responsive_since(&self.process, since)
            .map(|record| (&record.process.instance, &record.failure_domain))
            .filter(|(instance, _)| Some(*instance) != without)
            .collect();
        let shards: Vec<_> = configuration
            .fleet
            .failure_domains
            .iter()
            .flat_map(|domain| {
                let shards = configuration.shards_in(domain);
                shards.into_iter().map(|shard| (shard, domain.clone()))
            })
            .collect();
        place_shards(&shards, &members)
    }

    fn ask_consents(&mut self, now: MonotonicMs, needing_consent: &[ShardEpoch]) {
        let mut requests: BTreeMap<_, (WitnessRecord, Vec<ShardEpoch>)> = BTreeMap::new();
        for ownership in needing_consent {
            let Some(known) = self.heads.get(&ownership.shard) else {
                continue;
            };
            self.consents
                .record_listing(now, &self.listing, &known.head);
            for witness in &known.head.witnesses {
                if self.consents.contains(ownership, &witness.process) {
                    continue;
                }
                let request = requests
                    .entry(witness.process.clone())
                    .or_insert_with(|| (witness.clone(), Vec::new()));
                request.1.push(ownership.clone());
            }
        }
        for (process, (witness, ownerships)) in requests {
            if process == self.process {
                for ownership in ownerships {
                    if self.witness.consent(now, &ownership) {
                        self.consents.record_consent(ownership, process.clone());
                    }
                }
                continue;
            }
            let registered = self.membership.record_of_instance(&process.instance);
            if registered.is_some_and(|record| record.process != process) {
                self.consents.record_death(now, &process);
            }
            let message = ControlCall::Consent {
                from: self.process.clone(),
                ownerships,
            };
            let purpose = PeerPurpose::Consent { witness: process };
            self.out.peer(purpose, witness.peer_address, message);
        }
    }

    fn claim(&mut self, shard: ShardId) {
        let Some(lease) = self.lease else {
            return;
        };
        let known = self.heads.get(&shard);
        let epoch = known
            .map(|known| known.head.epoch)
            .unwrap_or_default()
            .next();
        let expected = known.map(|known| known.version);
        let head = ShardHead {
            epoch,
            owner: self.process.clone(),
            lease,
            witnesses: self.choose_witnesses(&shard, &[]),
            released: None,
        };
        let Ok(value) = serde_json::to_string(&head) else {
            return;
        };
        let operation = StoreCall::CompareAndSwap {
            key: keys::head(&shard),
            expected,
            value: Some(value),
            lease: None,
        };
        self.claiming.insert(shard.clone(), head);
        self.out.store(Purpose::Claim { shard, epoch }, operation);
    }

    pub(super) fn on_claim_reply(
        &mut self,
        now: MonotonicMs,
        shard: ShardId,
        epoch: Epoch,
        result: Result<StoreReply, PlatformError>,
    ) {
        let Some(claimed) = self.claiming.remove(&shard) else {
            return;
        };
        let version = match result {
            Ok(StoreReply::Swapped { version }) => version,
            // The stored head is the claimed one: an earlier attempt took effect, but its
            // reply was lost.
            Ok(StoreReply::Conflict {
                current: Some(current),
            }) if parse_head(&current).as_ref() == Some(&claimed) => current.version,
            _ => return,
        };
        let known = KnownHead {
            version,
            head: claimed.clone(),
        };
        // A release states how long requests of its owner may run. It counts only if
        // the claim replaced the head that contains it.
        let previous = self.heads.insert(shard.clone(), known);
        let busy_ms = previous
            .filter(|previous| previous.head.epoch.next() == epoch)
            .and_then(|previous| previous.head.released)
            .map(|release| release.busy_ms);
        self.out.record(EventKind::ShardClaimed {
            shard: shard.clone(),
            epoch,
        });
        let mut owned = OwnedShard::new(shard.clone(), epoch, now).with_busy_ms(busy_ms);
        if let Some(configuration) = &self.configuration {
            owned.configure(now, configuration, &mut self.out);
        }
        self.owned.insert(shard.clone(), owned);
        self.owned_heads
            .insert(shard, OwnedHead::new(claimed, version));
        let listing = self.listing.clone();
        self.distribute_workers(now, &listing);
    }
}
