//! Which peer a request is sent on to.

use std::collections::HashMap;

use turmericfold_types::{InstanceName, MonotonicMs, ProfileName};

/// How long a peer is left alone after it refused a kind of work, in milliseconds.
const REFUSAL_MS: u64 = 50;

/// How long a peer is left alone after a call to it failed, in milliseconds.
const FAILURE_MS: u64 = 1_000;

/// What a hop to another failure domain costs, in thousandths of utilisation.
const DISTANCE_PERMILLE: u64 = 150;

/// What is known of the load of a peer's endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerLoad {
    /// The peer.
    pub peer: InstanceName,
    /// Whether it is in the failure domain of this process.
    pub is_same_failure_domain: bool,
    /// Whether it missed its heartbeats lately.
    pub is_suspected: bool,
    /// Slots of its endpoints.
    pub slots: u32,
    /// Slots taken.
    pub taken: u32,
    /// Requests waiting.
    pub queued: u32,
}

impl PeerLoad {
    fn has_room(&self) -> bool {
        self.slots > self.taken
    }

    /// Returns work per slot in thousandths, distance counted.
    fn cost_permille(&self) -> u64 {
        let work = u64::from(self.taken) + u64::from(self.queued);
        let distance = if self.is_same_failure_domain {
            0
        } else {
            DISTANCE_PERMILLE
        };
        work * 1_000 / u64::from(self.slots.max(1)) + distance
    }
}

/// Whether a peer must have a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerNeed {
    /// A free slot.
    FreeSlot,
    /// A queue to wait in.
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
    /// Creates a choice without memory of refusals.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the cheaper of two peers drawn by `draw`, or `None` if none fits.
    pub fn choose<'load>(
        &self,
        now: MonotonicMs,
        need: PeerNeed,
        profile: &ProfileName,
        peers: &'load [PeerLoad],
        draw: u64,
    ) -> Option<&'load PeerLoad> {
        let fits = |peer: &&PeerLoad| {
            let room = need == PeerNeed::Queue || peer.has_room();
            room && peer.slots > 0 && !peer.is_suspected && !self.avoids(now, &peer.peer, profile)
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

    /// Returns whether waiting at `peer` is clearly shorter than waiting behind
    /// `queued` requests for `slots` slots here.
    pub fn is_wait_shorter(peer: &PeerLoad, slots: u32, queued: u32) -> bool {
        if slots == 0 {
            return true;
        }
        let here = (u64::from(slots) + u64::from(queued)) * 1_000 / u64::from(slots);
        2 * peer.cost_permille() < here
    }

    /// Takes note that a peer refused work of a profile.
    pub fn on_refused(&mut self, now: MonotonicMs, peer: &InstanceName, profile: &ProfileName) {
        self.avoid(now, peer, Some(profile.clone()), REFUSAL_MS);
    }

    /// Takes note that a call to a peer failed.
    pub fn on_failed(&mut self, now: MonotonicMs, peer: &InstanceName) {
        self.avoid(now, peer, None, FAILURE_MS);
    }

    fn avoid(
        &mut self,
        now: MonotonicMs,
        peer: &InstanceName,
        profile: Option<ProfileName>,
        avoid_ms: u64,
    ) {
        self.avoided.retain(|_, avoided| {
            avoided.retain(|entry| now < entry.until);
            !avoided.is_empty()
        });
        let avoided = self.avoided.entry(peer.clone()).or_default();
        avoided.retain(|entry| entry.profile != profile);
        avoided.push(Avoided {
            profile,
            until: now + avoid_ms,
        });
    }

    fn avoids(&self, now: MonotonicMs, peer: &InstanceName, profile: &ProfileName) -> bool {
        let Some(avoided) = self.avoided.get(peer) else {
            return false;
        };
        avoided.iter().any(|entry| {
            let concerned = entry.profile.as_ref().is_none_or(|other| other == profile);
            concerned && now < entry.until
        })
    }
}

fn pick<'load>(peers: &[&'load PeerLoad], draw: u32) -> Option<&'load PeerLoad> {
    let index = draw as usize % peers.len().max(1);
    peers.get(index).copied()
}
