//! The slots of a profile, within its guaranteed share and its ceiling.

use turmericfold_config::{FleetShare, Urgency};

use super::admission::ClassKey;

/// The slots and classes of a profile.
#[derive(Debug)]
pub(super) struct ProfileState {
    /// The guaranteed share and the ceiling.
    pub(super) share: FleetShare,
    /// How urgent the requests of the profile are.
    pub(super) urgency: Urgency,
    /// The number of occupied slots.
    pub(super) running: u32,
    /// The classes in round-robin order.
    pub(super) round_robin: Vec<ClassKey>,
    /// The index in `round_robin` of the class whose turn it is.
    pub(super) position: usize,
}

impl ProfileState {
    /// Returns whether one more slot stays within the ceiling. One slot is always
    /// permitted, so that no profile starves on a small group of endpoints.
    pub(super) fn is_below_ceiling(&self, capacity: u32) -> bool {
        let used = (u64::from(self.running) + 1) * 1_000;
        self.running == 0 || used <= u64::from(self.share.ceiling_permille) * u64::from(capacity)
    }

    /// Returns whether one more slot stays within the guaranteed share.
    pub(super) fn fits_guarantee(&self, capacity: u32) -> bool {
        let used = (u64::from(self.running) + 1) * 1_000;
        used <= u64::from(self.share.guaranteed_permille) * u64::from(capacity)
    }

    /// Returns whether the profile uses less than its guaranteed share.
    pub(super) fn is_below_guarantee(&self, capacity: u32) -> bool {
        let used = u64::from(self.running) * 1_000;
        used < u64::from(self.share.guaranteed_permille) * u64::from(capacity)
    }

    /// Returns the used part of the guaranteed share, for comparison between profiles.
    pub(super) fn guarantee_use(&self) -> u64 {
        u64::from(self.running) * 1_000_000 / u64::from(self.share.guaranteed_permille.max(1))
    }

    /// Returns the number of slots that the profile can expect under contention.
    pub(super) fn expected_slots(&self, capacity: u32) -> u32 {
        let share_permille = match self.urgency {
            Urgency::Urgent => self.share.ceiling_permille,
            Urgency::Normal | Urgency::Background => self.share.guaranteed_permille,
        };
        let slots = u64::from(capacity) * u64::from(share_permille) / 1_000;
        u32::try_from(slots).unwrap_or(u32::MAX)
    }
}
