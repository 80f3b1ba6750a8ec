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
    /// Rules of the whole fleet.
    pub fleet: FleetRules,
}

impl Configuration {
    /// Returns the profile of a service, or `None` if either is unknown.
    pub fn profile_of(&self, service: &ServiceName) -> Option<&Profile> {
        self.profiles.get(&self.services.get(service)?.profile)
    }

    /// Returns the service whose endpoints a service runs on.
    pub fn endpoint_service<'name>(&'name self, service: &'name ServiceName) -> &'name ServiceName {
        self.services
            .get(service)
            .and_then(|declared| declared.runs_on.as_ref())
            .unwrap_or(service)
    }

    /// Returns the longest permitted run time of any request on the endpoints
    /// of a service, in milliseconds, or `None` if nothing runs on them.
    pub fn max_run_ms_on(&self, endpoints: &ServiceName) -> Option<u64> {
        self.services
            .iter()
            .filter(|(name, _)| self.endpoint_service(name) == endpoints)
            .map(|(_, service)| service.max_run_ms)
            .max()
    }

    /// Returns every shard in order.
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

/// How much room, urgency and tolerance for interruption a kind of work has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// The share of the fleet that the work may use.
    #[serde(rename = "room")]
    pub share: FleetShare,
    /// Urgency.
    pub urgency: Urgency,
    /// Tolerance for interruption.
    #[serde(default)]
    pub interruption: Interruption,
}

/// A share of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetShare {
    /// What is always granted when asked for, in thousandths.
    pub guaranteed_permille: u32,
    /// What is never exceeded, in thousandths.
    pub ceiling_permille: u32,
}

/// How soon work must be served; the derived order puts the most urgent last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Whenever there is room.
    Background,
    /// In its turn.
    Normal,
    /// Before others.
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

/// What interruption work tolerates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Interruption {
    /// Whether it may be evicted.
    pub evictable: bool,
    /// Whether it can write a checkpoint.
    pub checkpointable: bool,
    /// The most evictions of one task.
    pub max_evictions: u32,
    /// The time it needs for a checkpoint, in milliseconds.
    pub notice_ms: u64,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The profile it runs under.
    pub profile: ProfileName,
    /// The deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// The longest permitted run time of a request, in milliseconds.
    pub max_run_ms: u64,
    /// Whether POST and PATCH may run more than once.
    #[serde(default)]
    pub idempotent_writes: bool,
    /// The most requests waiting in one process.
    pub queue_requests: u32,
    /// The most bytes of waiting requests in one process.
    #[serde(default = "default_queue_bytes")]
    pub queue_bytes: u64,
    /// The service whose endpoints it runs on; its own if none is named.
    #[serde(default)]
    pub runs_on: Option<ServiceName>,
    /// The team of requests that name none.
    #[serde(default)]
    pub team: Option<TeamName>,
    /// The most retries of requests that may have run, as a share of recent
    /// requests in thousandths, at most 100.
    #[serde(default = "default_retry_permille")]
    pub retry_permille: u32,
}

fn default_queue_bytes() -> u64 {
    16 << 20
}

fn default_retry_permille() -> u32 {
    100
}

/// A team with a quota of what its tasks may hold together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The quota over the whole fleet.
    pub quota: Resources,
}

/// Rules of the whole fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRules {
    /// The failure domains.
    pub failure_domains: Vec<FailureDomain>,
    /// Shards in each failure domain.
    pub shards_per_failure_domain: u32,
    /// Calls to the store a second that all processes may make together.
    pub store_calls_per_s: u32,
    /// Whether all automatic changes are frozen.
    #[serde(default)]
    pub freeze_automatic_changes: bool,
}
