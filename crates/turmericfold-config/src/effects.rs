//! Describes the effects of a change of the configuration for operators.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use ecow::{EcoString, eco_format};
use serde::Serialize;
use turmericfold_types::{ProfileName, ServiceName};

use crate::{Configuration, Profile, Service};

/// What the live processes report about their services.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LiveStats {
    /// Processes that answered.
    pub processes: u64,
    /// Processes that did not answer.
    pub unreachable: u64,
    /// Running tasks by service.
    pub running: BTreeMap<ServiceName, u64>,
    /// Waiting requests by service, in the process with the most.
    pub queued: BTreeMap<ServiceName, u64>,
    /// Requests refused or failed in the last minutes by service.
    pub refused: BTreeMap<ServiceName, u64>,
}

/// One effect of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Effect {
    /// The changed declaration, such as `service visits`.
    pub subject: EcoString,
    /// What the change means.
    pub meaning: EcoString,
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.meaning)
    }
}

/// Returns the effects of putting `new` in force instead of `old`.
pub fn effects(old: &Configuration, new: &Configuration, live: &LiveStats) -> Vec<Effect> {
    let mut comparison = Comparison {
        old,
        new,
        live,
        effects: Vec::new(),
    };
    comparison.compare_fleet();
    comparison.compare_profiles();
    comparison.compare_services();
    comparison.compare_teams();
    comparison.effects
}

/// A comparison of two configurations that collects the effects of the change.
struct Comparison<'change> {
    old: &'change Configuration,
    new: &'change Configuration,
    live: &'change LiveStats,
    effects: Vec<Effect>,
}

impl Comparison<'_> {
    fn add(&mut self, subject: EcoString, meaning: EcoString) {
        self.effects.push(Effect { subject, meaning });
    }

    fn compare_fleet(&mut self) {
        let (old, new) = (&self.old.fleet, &self.new.fleet);
        if self.old.shards() != self.new.shards() {
            let meaning = eco_format!(
                "the shards change ({} before, {} after); \
                 workers, endpoints and tasks are reassigned to shards",
                self.old.shards().len(),
                self.new.shards().len()
            );
            self.add("fleet".into(), meaning);
        }
        if old.store_calls_per_s != new.store_calls_per_s {
            let meaning = eco_format!(
                "store calls are limited to {} per second instead of {}",
                new.store_calls_per_s,
                old.store_calls_per_s
            );
            self.add("fleet".into(), meaning);
        }
        match (old.freeze_automatic_changes, new.freeze_automatic_changes) {
            (false, true) => self.add("fleet".into(), "all automatic changes are frozen".into()),
            (true, false) => self.add(
                "fleet".into(),
                "automatic changes are no longer frozen".into(),
            ),
            _ => {}
        }
    }

    fn compare_profiles(&mut self) {
        let names: BTreeSet<_> = self
            .old
            .profiles
            .keys()
            .chain(self.new.profiles.keys())
            .collect();
        for name in names {
            let subject = eco_format!("profile {name}");
            match (self.old.profiles.get(name), self.new.profiles.get(name)) {
                (None, Some(profile)) => {
                    let meaning = eco_format!(
                        "new; guarantees {} and allows at most {} thousandths of the fleet",
                        profile.share.guaranteed_permille,
                        profile.share.ceiling_permille
                    );
                    self.add(subject, meaning);
                }
                (Some(_), None) => self.add(subject, "removed".into()),
                (Some(old), Some(new)) if old != new => self.compare_profile(name, old, new),
                _ => {}
            }
        }
    }

    fn compare_profile(&mut self, name: &ProfileName, old: &Profile, new: &Profile) {
        let subject = eco_format!("profile {name} ({})", self.user_names(name));
        let guaranteed = (old.share.guaranteed_permille, new.share.guaranteed_permille);
        if guaranteed.0 != guaranteed.1 {
            let (verb, difference) = gain_or_loss(guaranteed);
            let meaning = eco_format!(
                "{verb} {difference} thousandths of guaranteed room ({} to {})",
                guaranteed.0,
                guaranteed.1
            );
            self.add(subject.clone(), meaning);
        }
        let ceiling = (old.share.ceiling_permille, new.share.ceiling_permille);
        if ceiling.0 != ceiling.1 {
            let meaning = self.ceiling_effect(name, ceiling);
            self.add(subject.clone(), meaning);
        }
        if old.urgency != new.urgency {
            let meaning = eco_format!("urgency changes from {} to {}", old.urgency, new.urgency);
            self.add(subject.clone(), meaning);
        }
        self.compare_interruption(name, subject, old, new);
    }

    fn ceiling_effect(&self, name: &ProfileName, (old, new): (u32, u32)) -> EcoString {
        if new > old {
            return eco_format!("may grow to {new} thousandths of the fleet instead of {old}");
        }
        let running: u64 = self.sum_over_users(name, &self.live.running);
        let surplus = (running * u64::from(old - new)).div_ceil(u64::from(old.max(1)));
        eco_format!(
            "may grow to {new} thousandths of the fleet instead of {old}; \
             up to {surplus} of {running} running tasks would be throttled or evicted"
        )
    }

    fn compare_interruption(
        &mut self,
        name: &ProfileName,
        subject: EcoString,
        old: &Profile,
        new: &Profile,
    ) {
        if old.interruption == new.interruption {
            return;
        }
        let running = self.sum_over_users(name, &self.live.running);
        let meaning = match (old.interruption.evictable, new.interruption.evictable) {
            (false, true) => eco_format!("its {running} running tasks may be evicted from now on"),
            (true, false) => eco_format!("its {running} running tasks are no longer evicted"),
            _ => eco_format!(
                "at most {} evictions per task with {} ms notice instead of {} with {} ms",
                new.interruption.max_evictions,
                new.interruption.notice_ms,
                old.interruption.max_evictions,
                old.interruption.notice_ms
            ),
        };
        self.add(subject, meaning);
    }

    fn compare_services(&mut self) {
        let names: BTreeSet<_> = self
            .old
            .services
            .keys()
            .chain(self.new.services.keys())
            .collect();
        for name in names {
            match (self.old.services.get(name), self.new.services.get(name)) {
                (None, Some(service)) => {
                    let meaning = eco_format!("new; runs under profile {}", service.profile);
                    self.add(eco_format!("service {name}"), meaning);
                }
                (Some(_), None) => {
                    let running = self.live.running.get(name).copied().unwrap_or(0);
                    let meaning = eco_format!(
                        "removed; its requests are refused and \
                         its {running} running tasks lose their profile"
                    );
                    self.add(eco_format!("service {name}"), meaning);
                }
                (Some(old), Some(new)) if old != new => self.compare_service(name, old, new),
                _ => {}
            }
        }
    }

    fn compare_service(&mut self, name: &ServiceName, old: &Service, new: &Service) {
        let subject = eco_format!("service {name}");
        if old.profile != new.profile {
            let running = self.live.running.get(name).copied().unwrap_or(0);
            let meaning = eco_format!(
                "moves from profile {} to {}, with {running} running tasks",
                old.profile,
                new.profile
            );
            self.add(subject.clone(), meaning);
        }
        if old.queue_requests != new.queue_requests {
            let queued = self.live.queued.get(name).copied().unwrap_or(0);
            let surplus = queued.saturating_sub(u64::from(new.queue_requests));
            let refused = self.live.refused.get(name).copied().unwrap_or(0);
            let meaning = eco_format!(
                "at most {} requests wait in a process instead of {}; \
                 {surplus} of the {queued} waiting requests would be refused \
                 ({refused} were refused in the last minutes)",
                new.queue_requests,
                old.queue_requests
            );
            self.add(subject.clone(), meaning);
        }
        if old.deadline_ms != new.deadline_ms {
            let refused = self.live.refused.get(name).copied().unwrap_or(0);
            let meaning = eco_format!(
                "the deadline is {} ms instead of {} ms; \
                 {refused} requests were refused in the last minutes",
                new.deadline_ms,
                old.deadline_ms
            );
            self.add(subject.clone(), meaning);
        }
        if old.max_run_ms != new.max_run_ms {
            let meaning = eco_format!(
                "a request may hold a slot for up to {} ms instead of {} ms",
                new.max_run_ms,
                old.max_run_ms
            );
            self.add(subject.clone(), meaning);
        }
        match (old.idempotent_writes, new.idempotent_writes) {
            (false, true) => self.add(subject, "POST and PATCH may run more than once".into()),
            (true, false) => self.add(subject, "POST and PATCH run at most once".into()),
            _ => {}
        }
    }

    fn compare_teams(&mut self) {
        let names: BTreeSet<_> = self.old.teams.keys().chain(self.new.teams.keys()).collect();
        for name in names {
            let subject = eco_format!("team {name}");
            match (self.old.teams.get(name), self.new.teams.get(name)) {
                (None, Some(team)) => self.add(subject, eco_format!("new; quota {}", team.quota)),
                (Some(_), None) => self.add(subject, "removed; its tasks are refused".into()),
                (Some(old), Some(new)) if old != new => {
                    let meaning = eco_format!("quota {} instead of {}", new.quota, old.quota);
                    self.add(subject, meaning);
                }
                _ => {}
            }
        }
    }

    /// Returns the names of the services that use a profile, as one text.
    fn user_names(&self, profile: &ProfileName) -> EcoString {
        let users: Vec<&str> = self.users_of(profile).map(ServiceName::as_str).collect();
        if users.is_empty() {
            "no service".into()
        } else {
            users.join(", ").into()
        }
    }

    fn users_of<'own>(
        &'own self,
        profile: &'own ProfileName,
    ) -> impl Iterator<Item = &'own ServiceName> {
        self.new
            .services
            .iter()
            .filter(move |(_, service)| service.profile == *profile)
            .map(|(name, _)| name)
    }

    /// Returns the sum of a count over the services that use a profile.
    fn sum_over_users(
        &self,
        profile: &ProfileName,
        by_service: &BTreeMap<ServiceName, u64>,
    ) -> u64 {
        self.users_of(profile)
            .filter_map(|service| by_service.get(service))
            .sum()
    }
}

fn gain_or_loss((old, new): (u32, u32)) -> (&'static str, u32) {
    if new > old {
        ("gains", new - old)
    } else {
        ("loses", old - new)
    }
}
