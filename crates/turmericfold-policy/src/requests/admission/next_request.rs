//! Chooses the waiting request that starts next.

use turmericfold_types::{MonotonicMs, ProfileName};

use super::{Admission, ClassKey};
use crate::requests::admission_types::NextRequest;
use crate::requests::profile_state::ProfileState;

/// Minimum service time credited to a class at each turn, in microseconds.
const QUANTUM_US: u64 = 1_000;

/// Maximum turns of the deficit round robin; after them the last class with waiting
/// requests is chosen.
const MAX_ROUND_ROBIN_TURNS: usize = 10_000;

impl Admission {
    /// Removes and returns the waiting request that starts next on `capacity` slots, or
    /// `None` if none may start.
    ///
    /// The caller must report its start with [`Self::on_started`].
    pub fn pop_next(&mut self, now: MonotonicMs, capacity: u32) -> Option<NextRequest> {
        let profile = self.next_profile(capacity)?;
        let key = self.next_class(&profile)?;
        let class = self.classes.get_mut(key)?;
        let waiting = class.pop(now)?;
        let service = class.service.clone();
        self.remove_from_counts(&service, &waiting);
        Some(NextRequest {
            ticket: waiting.ticket,
            class: key,
            deadline: waiting.deadline,
            idempotent: waiting.idempotent,
        })
    }

    fn next_profile(&self, capacity: u32) -> Option<ProfileName> {
        let is_candidate = |profile: &ProfileState| {
            let queued = profile.round_robin.iter().any(|key| self.has_waiting(*key));
            queued && profile.is_below_ceiling(capacity)
        };
        let candidates = || {
            self.profiles
                .iter()
                .filter(|(_, profile)| is_candidate(profile))
        };
        let within_guarantee = candidates()
            .filter(|(_, profile)| profile.fits_guarantee(capacity))
            .max_by_key(|(_, profile)| profile.urgency);
        let partly_within_guarantee = || {
            candidates()
                .filter(|(_, profile)| profile.is_below_guarantee(capacity))
                .min_by_key(|(_, profile)| profile.guarantee_use())
        };
        let beyond_guarantee = || candidates().max_by_key(|(_, profile)| profile.urgency);
        let (name, _) = within_guarantee
            .or_else(partly_within_guarantee)
            .or_else(beyond_guarantee)?;
        Some(name.clone())
    }

    /// Chooses a class of a profile by deficit round robin.
    fn next_class(&mut self, profile: &ProfileName) -> Option<ClassKey> {
        let state = self.profiles.get_mut(profile)?;
        let length = state.round_robin.len();
        let mut fallback = None;
        for _ in 0..MAX_ROUND_ROBIN_TURNS.max(length) {
            let key = *state.round_robin.get(state.position % length.max(1))?;
            let class = self.classes.get_mut(key)?;
            if class.queue.is_empty() {
                state.position = (state.position + 1) % length;
                continue;
            }
            fallback = Some(key);
            if class.deficit_us >= class.typical_us() {
                class.deficit_us -= class.typical_us();
                return Some(key);
            }
            class.deficit_us += QUANTUM_US.max(class.typical_us() / 8);
            state.position = (state.position + 1) % length;
        }
        fallback
    }

    fn has_waiting(&self, class: ClassKey) -> bool {
        self.classes
            .get(class)
            .is_some_and(|class| !class.queue.is_empty())
    }
}
