//! A model of the instance list, which shows changes with a delay.

use std::collections::{BTreeMap, VecDeque};

use turmericfold_platform::{InstanceListing, ListQuery, ListedInstance};
use turmericfold_types::{FailureDomain, MonotonicMs};

/// The current instance list and the earlier state that is still visible.
#[derive(Debug, Clone, Default)]
pub struct InstanceListModel {
    lag_ms: u64,
    /// The visible state and all later ones, oldest first, each with the time of its
    /// change.
    states: VecDeque<(MonotonicMs, State)>,
}

#[derive(Debug, Clone, Default)]
struct State {
    listing: InstanceListing,
    /// The version at which each failure domain last changed.
    domain_versions: BTreeMap<FailureDomain, u64>,
}

impl InstanceListModel {
    /// Creates a list without lag that shows `listing`.
    pub fn new(listing: InstanceListing) -> Self {
        let version = listing.version;
        let domain_versions = failure_domains(&listing)
            .map(|domain| (domain.clone(), version))
            .collect();
        let state = State {
            listing,
            domain_versions,
        };
        Self {
            lag_ms: 0,
            states: VecDeque::from([(MonotonicMs(0), state)]),
        }
    }

    /// Sets the delay until a change becomes visible, in milliseconds.
    pub fn set_lag_ms(&mut self, lag_ms: u64) {
        self.lag_ms = lag_ms;
    }

    /// Changes the current list at `now` and increments its version.
    pub fn update<Change>(&mut self, now: MonotonicMs, change: Change)
    where
        Change: FnOnce(&mut InstanceListing),
    {
        let previous = self.latest();
        let mut listing = previous.listing.clone();
        change(&mut listing);
        listing.version = previous.listing.version + 1;
        let domain_versions = failure_domains(&previous.listing)
            .chain(failure_domains(&listing))
            .map(|domain| {
                let changed =
                    !instances_in(&previous.listing, domain).eq(instances_in(&listing, domain));
                let known = previous.domain_versions.get(domain).copied();
                let version = if changed {
                    listing.version
                } else {
                    known.unwrap_or_default()
                };
                (domain.clone(), version)
            })
            .collect();
        let state = State {
            listing,
            domain_versions,
        };
        self.states.push_back((now, state));
    }

    /// Returns the listing that is visible at `now`.
    pub fn visible_listing(&mut self, now: MonotonicMs) -> InstanceListing {
        self.discard_superseded(now);
        self.visible().listing
    }

    /// Returns the visible instances that the query selects, or `None` if they have not
    /// changed since the version known to the sender of the query.
    pub fn query(&mut self, now: MonotonicMs, query: &ListQuery) -> Option<InstanceListing> {
        self.discard_superseded(now);
        let state = self.visible();
        let selected = match &query.failure_domain {
            None => state.listing,
            Some(domain) => InstanceListing {
                version: state
                    .domain_versions
                    .get(domain)
                    .copied()
                    .unwrap_or_default(),
                instances: instances_in(&state.listing, domain).cloned().collect(),
            },
        };
        (selected.version != query.known_version).then_some(selected)
    }

    /// Discards the states that a later state, visible at `now`, has replaced.
    fn discard_superseded(&mut self, now: MonotonicMs) {
        while self
            .states
            .get(1)
            .is_some_and(|(since, _)| *since + self.lag_ms <= now)
        {
            self.states.pop_front();
        }
    }

    fn latest(&self) -> State {
        self.states
            .back()
            .map(|(_, state)| state.clone())
            .unwrap_or_default()
    }

    fn visible(&self) -> State {
        self.states
            .front()
            .map(|(_, state)| state.clone())
            .unwrap_or_default()
    }
}

fn failure_domains(listing: &InstanceListing) -> impl Iterator<Item = &FailureDomain> {
    listing
        .instances
        .iter()
        .map(|instance| &instance.failure_domain)
}

fn instances_in<'listing>(
    listing: &'listing InstanceListing,
    domain: &'listing FailureDomain,
) -> impl Iterator<Item = &'listing ListedInstance> {
    listing
        .instances
        .iter()
        .filter(move |instance| instance.failure_domain == *domain)
}

#[cfg(test)]
mod tests {
    use turmericfold_platform::{InstanceKind, InstanceState};

    use super::*;

    fn instance(name: &str, domain: &str) -> ListedInstance {
        ListedInstance {
            name: name.into(),
            host: "host-0".into(),
            failure_domain: domain.into(),
            rack: "rack-0".into(),
            address: "127.0.0.1:1".into(),
            state: InstanceState::Live,
            kind: InstanceKind::Entry,
        }
    }

    #[test]
    fn unchanged_part() {
        let instances = vec![instance("a", "rajkot"), instance("b", "vadodara")];
        let mut list = InstanceListModel::new(InstanceListing {
            version: 1,
            instances,
        });
        let query = |domain: &str, known_version| ListQuery {
            failure_domain: Some(domain.into()),
            known_version,
        };
        list.update(MonotonicMs(5), |listing| {
            listing.instances[0].state = InstanceState::Leaving;
        });
        assert_eq!(list.query(MonotonicMs(5), &query("vadodara", 1)), None);
        let changed = list.query(MonotonicMs(5), &query("rajkot", 1)).unwrap();
        assert_eq!((changed.version, changed.instances.len()), (2, 1));
    }

    #[test]
    fn lag_hides_change() {
        let mut list = InstanceListModel::new(InstanceListing {
            version: 1,
            instances: vec![],
        });
        list.set_lag_ms(100);
        list.update(MonotonicMs(5), |listing| {
            listing.instances.push(instance("a", "rajkot"));
        });
        assert_eq!(list.visible_listing(MonotonicMs(104)).instances.len(), 0);
        assert_eq!(list.visible_listing(MonotonicMs(105)).instances.len(), 1);
    }
}
