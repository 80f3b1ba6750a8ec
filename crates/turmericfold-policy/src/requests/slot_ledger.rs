//! Slots of one endpoint.

use slotmap::SlotMap;
use turmericfold_types::MonotonicMs;

slotmap::new_key_type! {
    /// A slot taken from a [`SlotLedger`].
    pub struct SlotKey;
}

/// Grants the slots of one endpoint.
///
/// A slot is held until the endpoint has answered. If the caller gives up or the
/// endpoint fails before that, the request may still be running, so the slot is held
/// until the maximum run time has passed since then.
#[derive(Debug)]
pub struct SlotLedger {
    capacity: u32,
    blocked_until: MonotonicMs,
    held: SlotMap<SlotKey, HeldSlot>,
}

#[derive(Debug)]
struct HeldSlot {
    /// When an abandoned slot is released; `None` while the answer is awaited.
    release_at: Option<MonotonicMs>,
}

impl SlotLedger {
    /// Creates a ledger with `capacity` free slots.
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            blocked_until: MonotonicMs(0),
            held: SlotMap::with_key(),
        }
    }

    /// Counts every slot as taken until `blocked_until`.
    #[must_use]
    pub fn with_blocked_until(mut self, blocked_until: MonotonicMs) -> Self {
        self.blocked_until = blocked_until;
        self
    }

    /// Takes a free slot, or returns `None` if all are held.
    pub fn acquire(&mut self, now: MonotonicMs) -> Option<SlotKey> {
        self.held.retain(|_, held| held.is_held(now));
        if self.free(now) == 0 {
            return None;
        }
        Some(self.held.insert(HeldSlot { release_at: None }))
    }

    /// Frees a slot whose request was answered or certainly did not run.
    pub fn release(&mut self, slot: SlotKey) {
        self.held.remove(slot);
    }

    /// Holds a slot until `release_at`, when its request can't be running any more.
    pub fn abandon(&mut self, slot: SlotKey, release_at: MonotonicMs) {
        if let Some(held) = self.held.get_mut(slot) {
            held.release_at = Some(release_at);
        }
    }

    /// Returns the time until which every slot counts as taken.
    pub fn blocked_until(&self) -> MonotonicMs {
        self.blocked_until
    }

    /// Returns the number of free slots.
    pub fn free(&self, now: MonotonicMs) -> u32 {
        if now < self.blocked_until {
            return 0;
        }
        self.capacity.saturating_sub(self.taken(now))
    }

    /// Returns the number of held slots.
    pub fn taken(&self, now: MonotonicMs) -> u32 {
        let held = self.held.values().filter(|held| held.is_held(now)).count();
        u32::try_from(held).unwrap_or(u32::MAX)
    }

    /// Returns the number of slots of the endpoint.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }
}

impl HeldSlot {
    fn is_held(&self, now: MonotonicMs) -> bool {
        self.release_at.is_none_or(|at| now < at)
    }
}
