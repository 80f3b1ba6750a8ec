//! The batch tasks and services that policies are measured with.

use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::SmallRng;
use turmericfold_config::{
    Configuration, FleetRules, FleetShare, Interruption, Profile, Service, Team, Urgency,
};
use turmericfold_standin::{KindBehaviour, KindBehaviours};
use turmericfold_types::{Resources, ServiceName, TaskSpec};

/// The service of urgent tasks.
pub(crate) const URGENT: &str = "visits";

/// The service of other tasks.
pub(crate) const BACKGROUND: &str = "condition-reports";

/// The latency-critical services on the instances of the workers.
pub(crate) const SERVICES: [&str; 2] = ["visits", "watches"];

/// The notice before an eviction, in milliseconds.
pub(crate) const NOTICE_MS: u64 = 500;

const GIB: u64 = 1 << 30;

/// A kind of task with its actual and its declared resources.
struct TaskKind {
    name: &'static str,
    /// The relative frequency of submissions.
    weight: u32,
    /// The actual millicores, GiB and run time in seconds.
    actual: (u64, u64, u64),
    /// The declared millicores and GiB.
    declared: (u64, u64),
    /// The increase of the service time of each of [`SERVICES`] on a worker that is fully
    /// used by this kind, in thousandths.
    slowdown: [u32; 2],
    always_fails: bool,
}

const fn kind(
    name: &'static str,
    weight: u32,
    actual: (u64, u64, u64),
    declared: (u64, u64),
    slowdown: [u32; 2],
) -> TaskKind {
    TaskKind {
        name,
        weight,
        actual,
        declared,
        slowdown,
        always_fails: false,
    }
}

const KINDS: [TaskKind; 8] = [
    kind("survey", 30, (500, 1, 20), (4_000, 8), [100, 100]),
    kind("report", 20, (2_000, 4, 40), (4_000, 8), [200, 100]),
    kind("mosaic", 8, (4_000, 8, 30), (1_000, 2), [300, 300]),
    kind("archive", 8, (1_000, 10, 60), (1_000, 20), [50, 50]),
    kind("render", 10, (2_000, 2, 30), (2_000, 4), [2_500, 100]),
    kind("index", 10, (2_000, 2, 30), (2_000, 4), [100, 2_500]),
    kind("trace", 20, (200, 1, 90), (2_000, 4), [100, 100]),
    TaskKind {
        always_fails: true,
        ..kind("broken", 1, (1_000, 1, 5), (1_000, 2), [0, 0])
    },
];

/// The kind of urgent tasks.
const URGENT_KIND: TaskKind = kind("alarm", 0, (1_000, 2, 5), (1_000, 2), [100, 100]);

/// Returns the actual behaviour of each kind of task.
pub(crate) fn behaviours() -> KindBehaviours {
    let behaviour = |kind: &TaskKind| KindBehaviour {
        cpu_millicores: kind.actual.0,
        memory_bytes: kind.actual.1 * GIB,
        size_spread_permille: 200,
        min_run_ms: kind.actual.2 * 1_000,
        has_heavy_tail: kind.weight > 0,
        always_fails: kind.always_fails,
        slowdown_permille: SERVICES
            .iter()
            .zip(kind.slowdown)
            .map(|(service, slowdown)| (ServiceName::from(*service), slowdown))
            .collect(),
    };
    KINDS
        .iter()
        .chain([&URGENT_KIND])
        .map(|kind| (kind.name.into(), behaviour(kind)))
        .collect()
}

/// Returns the usual work of one task of a kind in core-hours, or zero for an unknown kind.
pub(crate) fn core_hours(kind: &str) -> f64 {
    let task_kind = KINDS
        .iter()
        .chain([&URGENT_KIND])
        .find(|task_kind| task_kind.name == kind);
    task_kind.map_or(0.0, |kind| {
        kind.actual.0 as f64 / 1_000.0 * kind.actual.2 as f64 / 3_600.0
    })
}

/// Returns a background task of a random kind.
pub(crate) fn draw(random: &mut SmallRng) -> TaskSpec {
    let total: u32 = KINDS.iter().map(|kind| kind.weight).sum();
    let mut at = random.random_range(0..total);
    let chosen = KINDS.iter().find(|kind| {
        let found = at < kind.weight;
        at = at.saturating_sub(kind.weight);
        found
    });
    spec(chosen.unwrap_or(&KINDS[0]), BACKGROUND)
}

/// Returns an urgent task.
pub(crate) fn urgent_task() -> TaskSpec {
    spec(&URGENT_KIND, URGENT)
}

fn spec(kind: &TaskKind, service: &str) -> TaskSpec {
    TaskSpec {
        key: None,
        service: service.into(),
        team: "caretakers".into(),
        kind: kind.name.into(),
        resources: Resources::new(kind.declared.0, kind.declared.1 * GIB),
        run_ms: 60_000,
        at_most_once: false,
        payload: "".into(),
        group: None,
    }
}

/// Returns the configuration of the simulated shard.
pub(crate) fn configuration(automatic_changes_frozen: bool) -> Configuration {
    let profile = |urgency, evictable| Profile {
        share: FleetShare {
            guaranteed_permille: 0,
            ceiling_permille: 1_000,
        },
        urgency,
        interruption: Interruption {
            evictable,
            checkpointable: evictable,
            max_evictions: 3,
            notice_ms: NOTICE_MS,
        },
    };
    let service = |profile: &str| Service {
        profile: profile.into(),
        deadline_ms: 1_000,
        max_run_ms: 1_000,
        idempotent_writes: false,
        queue_requests: 1,
        queue_bytes: 1 << 20,
        runs_on: None,
        team: None,
        retry_permille: 100,
    };
    let quota = Resources::new(u64::MAX / 2, u64::MAX / 2);
    Configuration {
        profiles: BTreeMap::from([
            ("counter".into(), profile(Urgency::Urgent, false)),
            ("reports".into(), profile(Urgency::Background, true)),
        ]),
        services: BTreeMap::from([
            (URGENT.into(), service("counter")),
            (BACKGROUND.into(), service("reports")),
        ]),
        teams: BTreeMap::from([("caretakers".into(), Team { quota })]),
        fleet: FleetRules {
            failure_domains: vec!["ahmedabad".into()],
            shards_per_failure_domain: 1,
            store_calls_per_s: 100,
            freeze_automatic_changes: automatic_changes_frozen,
        },
        ..Configuration::default()
    }
}
