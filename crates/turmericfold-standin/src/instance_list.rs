//! The instance list, which lags behind reality.

use std::collections::{BTreeMap, VecDeque};

use turmericfold_platform::{InstanceListing, ListQuery, ListedInstance};
use turmericfold_types::{FailureDomain, MonotonicMs};

/// The list as it is, and as it is shown.
#[derive(Debug, Clone, Default)]
pub struct InstanceListModel {
    lag_ms: u64,
    /// States not yet shown to all, oldest first, with the time they came about.
    states: VecDeque<(MonotonicMs, State)>,
}

#[derive(Debug, Clone, Default)]
struct State {
    listing: InstanceListing,
    /// The version of the last change of each failure domain.
    domain_versions: BTreeMap<FailureDomain, u64>,
}

impl InstanceListModel {
    /// Creates a list that shows `listing` at once.
    pub fn new(listing: InstanceListing) -> Self {
        let version = listing.version;
        let domain_versions = domains(&listing)
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

    /// Sets how far the list lags, in milliseconds.
    pub fn set_lag_ms(&mut self, lag_ms: u64) {
        self.lag_ms = lag_ms;
    }

    /// Changes reality at `now`.
    pub fn update<Change>(&mut self, now: MonotonicMs, change: Change)
    where
        Change: FnOnce(&mut InstanceListing),
    {
        let before = self.latest();
        let mut listing = before.listing.clone();
        change(&mut listing);
        listing.version = before.listing.version + 1;
        let domain_versions = domains(&before.listing)
            .chain(domains(&listing))
            .map(|domain| {
                let changed = !part(&before.listing, domain).eq(part(&listing, domain));
                let known = before.domain_versions.get(domain).copied();
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

    /// Returns what the list shows at `now`.
    pub fn visible_listing(&mut self, now: MonotonicMs) -> InstanceListing {
        self.catch_up(now);
        self.oldest().listing
    }

    /// Returns the part that is asked for, or `None` if it has not changed since
    /// the version the asker holds.
    pub fn query(&mut self, now: MonotonicMs, query: &ListQuery) -> Option<InstanceListing> {
        self.catch_up(now);
        let state = self.oldest();
        let shown = match &query.failure_domain {
            None => state.listing,
            Some(domain) => InstanceListing {
                version: state
                    .domain_versions
                    .get(domain)
                    .copied()
                    .unwrap_or_default(),
                instances: part(&state.listing, domain).cloned().collect(),
            },
        };
        (shown.version != query.known_version).then_some(shown)
    }

    fn catch_up(&mut self, now: MonotonicMs) {
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

    fn oldest(&self) -> State {
        self.states
            .front()
            .map(|(_, state)| state.clone())
            .unwrap_or_default()
    }
}

fn domains(listing: &InstanceListing) -> impl Iterator<Item = &FailureDomain> {
    listing
        .instances
        .iter()
        .map(|instance| &instance.failure_domain)
}

fn part<'listing>(
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
