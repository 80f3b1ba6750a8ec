//! Decides when this process searches all units for ones to claim or to hand over.

use turmericfold_types::MonotonicMs;

use crate::Moment;
use crate::membership::Membership;
use crate::registrations::Registrations;

/// The minimum interval between two searches, in milliseconds: changes often come in series.
const MIN_SEARCH_INTERVAL_MS: u64 = 10;

/// The interval between searches while nothing changes, in milliseconds: units become due for
/// a balancing handover without a change.
const IDLE_SEARCH_INTERVAL_MS: u64 = 100;

/// When units were last searched, and what has changed since.
///
/// A search reads all units and members, so it must not follow every event.
#[derive(Debug, Default)]
pub(super) struct SearchPacing {
    searched_at: Option<MonotonicMs>,
    /// Whether owners, or claims of this process, have changed since the last search.
    has_changed: bool,
    members_generation: u64,
    workers_generation: u64,
    searches: u64,
}

impl SearchPacing {
    /// Records a change of an owner, or the outcome of a claim.
    pub(super) fn mark_changed(&mut self) {
        self.has_changed = true;
    }

    /// Returns whether a search is due, and if so counts it as done.
    pub(super) fn start_search(
        &mut self,
        moment: Moment,
        membership: &Membership,
        registrations: &Registrations,
    ) -> bool {
        let has_changed = self.has_changed
            || self.members_generation != membership.generation()
            || self.workers_generation != registrations.generation();
        let interval_ms = match has_changed {
            true => MIN_SEARCH_INTERVAL_MS,
            false => IDLE_SEARCH_INTERVAL_MS,
        };
        let is_early = self
            .searched_at
            .is_some_and(|at| moment.since_ms(at) < interval_ms);
        if is_early {
            return false;
        }
        self.searched_at = Some(moment.now);
        self.has_changed = false;
        self.members_generation = membership.generation();
        self.workers_generation = registrations.generation();
        self.searches += 1;
        true
    }

    /// Returns the number of searches so far.
    pub(super) fn searches(&self) -> u64 {
        self.searches
    }
}
