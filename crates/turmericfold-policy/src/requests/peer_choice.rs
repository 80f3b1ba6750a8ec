//! Chooses the peer to which a request is forwarded.

use std::collections::HashMap;

use turmericfold_types::{InstanceName, MonotonicMs, ProfileName};

/// Time for which a peer gets no work of a profile after it refused such work, in
/// milliseconds.
const REFUSAL_PAUSE_MS: u64 = 50;

/// Time for which a peer gets no work after a call to it failed, in milliseconds.
const FAILURE_PAUSE_MS: u64 = 1_000;

/// Cost of forwarding to another failure domain, in thousandths of utilisation.
const DISTANCE_COST_PERMILLE: u64 = 150;

/// Load of a peer's endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerLoad {
    /// Name of the peer.
    pub peer: InstanceName,
    /// Whether the peer is in the failure domain of this process.
    pub is_same_failure_domain: bool,
    /// Whether the peer has missed recent heartbeats.
    pub is_suspected: bool,
    /// Number of slots of the peer's endpoints.
    pub slots: u32,
    /// Number of slots taken.
    pub taken: u32,
    /// Number of waiting requests.
    pub queued: u32,
}

impl PeerLoad {
    fn has_free_slot(&self) -> bool {
        self.slots > self.taken
    }

    /// Returns the requests per slot in thousandths, plus the cost of the distance.
    fn cost_permille(&self) -> u64 {
        let work = u64::from(self.taken) + u64::from(self.queued);
        let distance = if self.is_same_failure_domain {
            0
        } else {
            DISTANCE_COST_PERMILLE
        };
        work * 1_000 / u64::from(self.slots.max(1)) + distance
    }
}

/// What the chosen peer must offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerNeed {
    /// A free slot.
    FreeSlot,
    /// A queue, with or without a free slot.
    Queue,
}

/// Chooses between peers by the power of two choices.
#[derive(Debug, Clone, Default)]
pub struct PeerChoice {
    avoided: HashMap<InstanceName, Vec<Avoided>>,
}

#[derive(Debug, Clone)]
struct Avoided {
    /// The refused profile, or `None` for all work.
    profile: Option<ProfileName>,
    until: MonotonicMs,
}

impl PeerChoice {
    /// Creates a choice without recorded refusals.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the cheaper of two peers drawn at random, or `None` if no peer fits.
    ///
    /// `draw` is a random number; each half selects one peer.
    pub fn choose<'load>(
        &self,
        now: MonotonicMs,
        need: PeerNeed,
        profile: &ProfileName,
        peers: &'load [PeerLoad],
        draw: u64,
    ) -> Option<&'load PeerLoad> {
        let fits = |peer: &&PeerLoad| {
            let has_capacity = need == PeerNeed::Queue || peer.has_free_slot();
            has_capacity
                && peer.slots > 0
                && !peer.is_suspected
                && !self.avoids(now, &peer.peer, profile)
        };
        let fitting: Vec<_> = peers.iter().filter(fits).collect();
        let first = pick(&fitting, draw as u32)?;
        let second = pick(&fitting, (draw >> 32) as u32)?;
        if second.cost_permille() < first.cost_permille() {
            Some(second)
        } else {
            Some(first)
        }
    }

    /// Returns whether waiting at `peer` takes less than half as long as waiting locally
    /// behind `queued` requests for `slots` slots.
    pub fn is_wait_shorter(peer: &PeerLoad, slots: u32, queued: u32) -> bool {
        if slots == 0 {
            return true;
        }
        let local_permille = (u64::from(slots) + u64::from(queued)) * 1_000 / u64::from(slots);
        2 * peer.cost_permille() < local_permille
    }

    /// Records that a peer refused work of a profile.
    pub fn on_refused(&mut self, now: MonotonicMs, peer: &InstanceName, profile: &ProfileName) {
        self.avoid(now, peer, Some(profile.clone()), REFUSAL_PAUSE_MS);
    }

    /// Records that a call to a peer failed.
    pub fn on_failed(&mut self, now: MonotonicMs, peer: &InstanceName) {
        self.avoid(now, peer, None, FAILURE_PAUSE_MS);
    }

    fn avoid(
        &mut self,
        now: MonotonicMs,
        peer: &InstanceName,
        profile: Option<ProfileName>,
        duration_ms: u64,
    ) {
        self.avoided.retain(|_, avoided| {
            avoided.retain(|entry| now < entry.until);
            !avoided.is_empty()
        });
        let avoided = self.avoided.entry(peer.clone()).or_default();
        avoided.retain(|entry| entry.profile != profile);
        avoided.push(Avoided {
            profile,
            until: now + duration_ms,
        });
    }

    fn avoids(&self, now: MonotonicMs, peer: &InstanceName, profile: &ProfileName) -> bool {
        let Some(avoided) = self.avoided.get(peer) else {
            return false;
        };
        avoided.iter().any(|entry| {
            let is_affected = entry.profile.as_ref().is_none_or(|other| other == profile);
            is_affected && now < entry.until
        })
    }
}

fn pick<'load>(peers: &[&'load PeerLoad], draw: u32) -> Option<&'load PeerLoad> {
    let index = draw as usize % peers.len().max(1);
    peers.get(index).copied()
}
