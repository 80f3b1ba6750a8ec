//! Batch rules of each service, taken from its profile.

use std::collections::HashMap;

use turmericfold_config::{Configuration, FleetShare, Interruption, Urgency};
use turmericfold_types::{ProfileName, Resources, ServiceName};

/// Rules for the tasks of a service.
#[derive(Debug, Clone)]
pub(crate) struct WorkPolicy {
    /// Profile that defines the rules.
    pub(crate) profile: ProfileName,
    /// How soon tasks must start.
    pub(crate) urgency: Urgency,
    /// Which interruptions tasks tolerate.
    pub(crate) interruption: Interruption,
    /// Guaranteed and maximum share of the workers.
    pub(crate) share: FleetShare,
}

/// The rules of every service, and the resources reserved under each profile.
#[derive(Debug)]
pub(crate) struct Policies {
    by_service: HashMap<ServiceName, WorkPolicy>,
    used: HashMap<ProfileName, Resources>,
    fallback: WorkPolicy,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            by_service: HashMap::new(),
            used: HashMap::new(),
            fallback: WorkPolicy {
                profile: ProfileName::default(),
                urgency: Urgency::Normal,
                interruption: Interruption::default(),
                share: FleetShare {
                    guaranteed_permille: 0,
                    ceiling_permille: 1_000,
                },
            },
        }
    }
}

impl Policies {
    /// Applies the profiles of a configuration.
    pub(crate) fn configure(&mut self, configuration: &Configuration) {
        self.by_service = configuration
            .services
            .iter()
            .filter_map(|(name, service)| {
                let profile = configuration.profiles.get(&service.profile)?;
                let policy = WorkPolicy {
                    profile: service.profile.clone(),
                    urgency: profile.urgency,
                    interruption: profile.interruption,
                    share: profile.share,
                };
                Some((name.clone(), policy))
            })
            .collect();
    }

    /// Returns the rules of a service; an unknown service has the default rules.
    pub(crate) fn of(&self, service: &ServiceName) -> &WorkPolicy {
        self.by_service.get(service).unwrap_or(&self.fallback)
    }

    /// Returns whether the profile stays below its maximum share with `amount` more. A
    /// profile without any reservation may always take one task.
    pub(crate) fn fits(
        &self,
        policy: &WorkPolicy,
        amount: &Resources,
        capacity: &Resources,
    ) -> bool {
        let used = self.used(&policy.profile);
        let ceiling = u64::from(policy.share.ceiling_permille);
        used == Resources::default() || used.plus(amount).dominant_permille(capacity) <= ceiling
    }

    /// Returns whether the profile keeps its guaranteed share without `amount`.
    pub(crate) fn can_spare(
        &self,
        policy: &WorkPolicy,
        amount: &Resources,
        capacity: &Resources,
    ) -> bool {
        let remaining = self.used(&policy.profile).minus(amount);
        let guaranteed = u64::from(policy.share.guaranteed_permille);
        remaining.dominant_permille(capacity) >= guaranteed
    }

    /// Adds `amount` to the reservations of a profile.
    pub(crate) fn reserve(&mut self, profile: &ProfileName, amount: &Resources) {
        let used = self.used.entry(profile.clone()).or_default();
        *used = used.plus(amount);
    }

    /// Subtracts `amount` from the reservations of a profile.
    pub(crate) fn release(&mut self, profile: &ProfileName, amount: &Resources) {
        if let Some(used) = self.used.get_mut(profile) {
            *used = used.minus(amount);
        }
    }

    fn used(&self, profile: &ProfileName) -> Resources {
        self.used.get(profile).copied().unwrap_or_default()
    }
}
