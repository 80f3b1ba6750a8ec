//! Operator declarations: profiles, services, teams and fleet rules.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use turmericfold_types::{
    FailureDomain, ProfileName, Resources, Revision, ServiceName, ShardId, TeamName,
};

/// One complete configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The revision; zero until it is accepted.
    #[serde(default)]
    pub revision: Revision,
    /// Profiles by name.
    pub profiles: BTreeMap<ProfileName, Profile>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Teams by name.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, Team>,
    /// The rules of the whole fleet.
    pub fleet: FleetRules,
}

impl Configuration {
    /// Returns the profile of a service, or `None` if either is unknown.
    pub fn profile_of(&self, service: &ServiceName) -> Option<&Profile> {
        self.profiles.get(&self.services.get(service)?.profile)
    }

    /// Returns the service whose endpoints handle the requests of `service`: the
    /// one declared as `runs_on`, or else `service` itself.
    pub fn endpoint_service<'name>(&'name self, service: &'name ServiceName) -> &'name ServiceName {
        self.services
            .get(service)
            .and_then(|declared| declared.runs_on.as_ref())
            .unwrap_or(service)
    }

    /// Returns the longest permitted run time of any request on the endpoints of
    /// `endpoint_service`, in milliseconds, or `None` if no service uses them.
    pub fn max_run_ms_on(&self, endpoint_service: &ServiceName) -> Option<u64> {
        self.services
            .iter()
            .filter(|(name, _)| self.endpoint_service(name) == endpoint_service)
            .map(|(_, service)| service.max_run_ms)
            .max()
    }

    /// Returns the shards of all failure domains in order.
    pub fn shards(&self) -> Vec<ShardId> {
        self.fleet
            .failure_domains
            .iter()
            .flat_map(|domain| self.shards_in(domain))
            .collect()
    }

    /// Returns the shards of one failure domain in order.
    pub fn shards_in(&self, domain: &FailureDomain) -> Vec<ShardId> {
        (0..self.fleet.shards_per_failure_domain)
            .map(|index| ShardId::new(ecow::eco_format!("{domain}-{index}")))
            .collect()
    }
}

/// The share of the fleet, the urgency and the tolerance for interruption of a
/// class of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// The share of the fleet that the work may use.
    #[serde(rename = "room")]
    pub share: FleetShare,
    /// How soon the work must be served.
    pub urgency: Urgency,
    /// How far the work tolerates interruption.
    #[serde(default)]
    pub interruption: Interruption,
}

/// A share of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetShare {
    /// The share that is always granted on demand, in thousandths of the fleet.
    pub guaranteed_permille: u32,
    /// The share that is never exceeded, in thousandths of the fleet.
    pub ceiling_permille: u32,
}

/// How soon work must be served. In the derived order the most urgent is the
/// greatest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Served when resources are free.
    Background,
    /// Served in turn.
    Normal,
    /// Served before other work.
    Urgent,
}

impl std::fmt::Display for Urgency {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Background => "background",
            Self::Normal => "normal",
            Self::Urgent => "urgent",
        })
    }
}

/// How far work tolerates interruption.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Interruption {
    /// Whether its tasks may be evicted.
    pub evictable: bool,
    /// Whether its tasks can write a checkpoint.
    pub checkpointable: bool,
    /// The maximum number of evictions of one task.
    pub max_evictions: u32,
    /// The time a task needs to write a checkpoint, in milliseconds.
    pub notice_ms: u64,
}

/// The declaration of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The profile that the service runs under.
    pub profile: ProfileName,
    /// The deadline of requests that give none, in milliseconds.
    pub deadline_ms: u64,
    /// The longest permitted run time of a request, in milliseconds.
    pub max_run_ms: u64,
    /// Whether POST and PATCH are idempotent, so that they may run more than once.
    #[serde(default)]
    pub idempotent_writes: bool,
    /// The maximum number of requests that wait in one process.
    pub queue_requests: u32,
    /// The maximum size of all requests that wait in one process, in bytes.
    #[serde(default = "default_queue_bytes")]
    pub queue_bytes: u64,
    /// The service whose endpoints it uses; its own endpoints if not set.
    #[serde(default)]
    pub runs_on: Option<ServiceName>,
    /// The team of requests that give none.
    #[serde(default)]
    pub team: Option<TeamName>,
    /// The maximum number of retries of requests that may have run, per 1000 recent
    /// requests; at most 100.
    #[serde(default = "default_retry_permille")]
    pub retry_permille: u32,
}

fn default_queue_bytes() -> u64 {
    16 << 20
}

fn default_retry_permille() -> u32 {
    100
}

/// A team with a quota for all its tasks together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The resources that its tasks may hold together in the whole fleet.
    pub quota: Resources,
}

/// Rules of the whole fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRules {
    /// The failure domains.
    pub failure_domains: Vec<FailureDomain>,
    /// The number of shards in each failure domain.
    pub shards_per_failure_domain: u32,
    /// The maximum number of store calls per second of all processes together.
    pub store_calls_per_s: u32,
    /// Whether all automatic changes are frozen.
    #[serde(default)]
    pub freeze_automatic_changes: bool,
}
