//! The scenarios by name.

use ecow::{EcoString, eco_format};
use turmericfold_config::{Configuration, Urgency};
use turmericfold_standin::CallFaults;
use turmericfold_types::{Resources, ServiceName};

use crate::link::LinkFaults;
use crate::load::{KindLoad, RateStep};
use crate::task_load::TaskBurst;

use super::scenario::{Act, Scenario};

/// The names of all scenarios, in the order in which they run.
pub const NAMES: [&str; 14] = [
    "steady",
    "least-urgent-flood",
    "most-urgent-flood",
    "entry-kill",
    "paused-entry",
    "store-outage",
    "slow-store",
    "leaving-endpoints",
    "noisy-wave",
    "bad-workers",
    "cancellation-burst",
    "rolling-replacement",
    "configuration-change",
    "all-twice",
];

/// Requests a second that each service gets without a flood.
const BASE_RATE_PER_S: u32 = 200;

/// Requests a second of a flood; beyond what the endpoints of a service carry.
const FLOOD_RATE_PER_S: u32 = 6_000;

/// Tasks in the usual batch of a scenario.
const BATCH_TASKS: u32 = 200;

/// Builds scenarios for one configuration and duration.
#[derive(Debug, Clone)]
pub struct Catalog {
    configuration: Configuration,
    duration_ms: u64,
    entries: usize,
}

impl Catalog {
    /// Creates a catalog for a fleet of `entries`; each scenario's load lasts
    /// `duration_ms`.
    pub fn new(configuration: Configuration, duration_ms: u64, entries: usize) -> Self {
        Self {
            configuration,
            duration_ms,
            entries,
        }
    }

    /// Returns the services with the most urgent first.
    pub fn services(&self) -> Vec<ServiceName> {
        let mut services: Vec<_> = self.configuration.services.keys().cloned().collect();
        services.sort_by_key(|service| std::cmp::Reverse(self.urgency(service)));
        services
    }

    fn urgency(&self, service: &ServiceName) -> Urgency {
        self.configuration
            .profile_of(service)
            .map_or(Urgency::Background, |profile| profile.urgency)
    }

    /// Returns the scenario with this name, or `None` for an unknown name.
    pub fn scenario(&self, name: &str) -> Option<Scenario> {
        let scenario = match name {
            "steady" => self.base(name),
            "least-urgent-flood" => self.flooded(name, false),
            "most-urgent-flood" => self.flooded(name, true),
            "entry-kill" => self.entry_kill(name),
            "paused-entry" => self.paused_entry(name),
            "store-outage" => self.store_outage(name),
            "slow-store" => self.slow_store(name),
            "leaving-endpoints" => self.leaving_endpoints(name),
            "noisy-wave" => self.noisy_wave(name),
            "bad-workers" => self.bad_workers(name),
            "cancellation-burst" => self.cancellation_burst(name),
            "rolling-replacement" => self.rolling_replacement(name),
            "configuration-change" => self.configuration_change(name),
            "all-twice" => self.all_twice(name),
            _ => return None,
        };
        Some(scenario)
    }

    /// Returns the time at `permille` of the duration, in milliseconds.
    fn at(&self, permille: u64) -> u64 {
        self.duration_ms * permille / 1_000
    }

    fn base(&self, name: &str) -> Scenario {
        let mut requests = Vec::new();
        for service in self.services() {
            for writes in [false, true] {
                requests.push(self.kind(&service, writes));
            }
        }
        Scenario {
            name: name.into(),
            duration_ms: self.duration_ms,
            requests,
            tasks: vec![self.burst("batch", 0, BATCH_TASKS)],
            steps: Vec::new(),
            first_entry_apart: false,
        }
    }

    fn kind(&self, service: &ServiceName, writes: bool) -> KindLoad {
        let method = if writes { "write" } else { "read" };
        KindLoad {
            kind: eco_format!("{service}-{method}"),
            service: service.clone(),
            writes,
            steps: vec![RateStep {
                from_ms: 0,
                rate_per_s: BASE_RATE_PER_S / 2,
            }],
        }
    }

    fn burst(&self, name: &str, at_ms: u64, count: u32) -> TaskBurst {
        let service = self.services().pop().unwrap_or_default();
        let team = self.configuration.teams.keys().next().cloned();
        TaskBurst {
            name: EcoString::from(name),
            service,
            team: team.unwrap_or_default(),
            at_ms,
            count,
            resources: Resources::new(1_000, 1 << 30),
            run_ms: 1_000,
            truth_permille: 1_500,
            cancel_at_ms: None,
        }
    }

    /// A flood of the reads of the most or the least urgent service.
    fn flooded(&self, name: &str, most_urgent: bool) -> Scenario {
        let mut scenario = self.base(name);
        let services = self.services();
        let flooded = match most_urgent {
            true => services.first(),
            false => services.last(),
        };
        let (from_ms, until_ms) = (self.at(300), self.at(700));
        for kind in &mut scenario.requests {
            if Some(&kind.service) == flooded && !kind.writes {
                kind.steps.push(RateStep {
                    from_ms,
                    rate_per_s: FLOOD_RATE_PER_S,
                });
                kind.steps.push(RateStep {
                    from_ms: until_ms,
                    rate_per_s: BASE_RATE_PER_S / 2,
                });
            }
        }
        scenario
            .with_tasks(self.burst("flood", from_ms, 4 * BATCH_TASKS))
            .with_step(from_ms, "flood", Act::ListLag(0))
            .with_step(until_ms, "flood ends", Act::ListLag(0))
    }

    fn entry_kill(&self, name: &str) -> Scenario {
        self.base(name)
            .with_step(self.at(300), "entry-1 dies", Act::Kill(1))
            .with_step(self.at(700), "entry-1 is back", Act::Restart(1))
    }

    fn paused_entry(&self, name: &str) -> Scenario {
        let scenario = self.base(name);
        Scenario {
            first_entry_apart: true,
            ..scenario
        }
        .with_step(self.at(300), "entry-0 paused", Act::PauseFirst(true))
        .with_step(self.at(700), "entry-0 goes on", Act::PauseFirst(false))
    }

    fn store_outage(&self, name: &str) -> Scenario {
        let outage = CallFaults {
            outage: true,
            ..CallFaults::default()
        };
        self.base(name)
            .with_tasks(self.burst("during", self.at(450), BATCH_TASKS / 4))
            .with_step(self.at(300), "store out", Act::Store(outage))
            .with_step(
                self.at(700),
                "store back",
                Act::Store(CallFaults::default()),
            )
    }

    fn slow_store(&self, name: &str) -> Scenario {
        let slow = CallFaults {
            delay_ms: 400,
            lose_answer_permille: 100,
            ..CallFaults::default()
        };
        self.base(name)
            .with_tasks(self.burst("during", self.at(400), BATCH_TASKS / 4))
            .with_step(self.at(300), "store slow", Act::Store(slow))
            .with_step(
                self.at(700),
                "store well",
                Act::Store(CallFaults::default()),
            )
    }

    fn leaving_endpoints(&self, name: &str) -> Scenario {
        self.base(name)
            .with_step(0, "list lags 2 s", Act::ListLag(2_000))
            .with_step(self.at(300), "a fourth leaves", Act::Leave(4))
            .with_step(self.at(700), "all stay", Act::Leave(0))
    }

    fn noisy_wave(&self, name: &str) -> Scenario {
        let noisy = Act::NoisyEndpoints {
            every: 5,
            delay_ms: 300,
        };
        let quiet = Act::NoisyEndpoints {
            every: 0,
            delay_ms: 0,
        };
        self.base(name)
            .with_step(self.at(300), "a fifth slow", noisy)
            .with_step(self.at(700), "all well", quiet)
    }

    fn bad_workers(&self, name: &str) -> Scenario {
        self.base(name)
            .with_tasks(self.burst("during", self.at(350), BATCH_TASKS))
            .with_step(self.at(300), "a tenth fails all", Act::BadWorkers(10))
            .with_step(self.at(700), "all well", Act::BadWorkers(0))
    }

    fn cancellation_burst(&self, name: &str) -> Scenario {
        let burst = TaskBurst {
            cancel_at_ms: Some(self.at(500)),
            run_ms: 20_000,
            ..self.burst("cancelled", self.at(200), 4 * BATCH_TASKS)
        };
        self.base(name)
            .with_tasks(burst)
            .with_step(self.at(500), "800 cancelled", Act::ListLag(0))
    }

    fn rolling_replacement(&self, name: &str) -> Scenario {
        let mut scenario = self.base(name);
        let gap = 600 / self.entries.max(1) as u64;
        for entry in 0..self.entries {
            let at_ms = self.at(200 + gap * entry as u64);
            let label = format!("entry-{entry} replaced");
            scenario = scenario.with_step(at_ms, &label, Act::Replace(entry));
        }
        scenario
    }

    fn configuration_change(&self, name: &str) -> Scenario {
        let mut changed = self.configuration.clone();
        for service in changed.services.values_mut() {
            service.queue_requests = service.queue_requests / 2 + 1;
        }
        let before = Act::Configure(Box::new(self.configuration.clone()));
        self.base(name)
            .with_step(
                self.at(300),
                "queues halved",
                Act::Configure(changed.into()),
            )
            .with_step(self.at(600), "queues as before", before)
    }

    /// Every fault twice, overlapping, under a flood of each end.
    fn all_twice(&self, name: &str) -> Scenario {
        let mut scenario = self.flooded(name, false);
        scenario.requests = scenario
            .requests
            .into_iter()
            .zip(self.flooded(name, true).requests)
            .map(|(least, most)| match most.steps.len() > least.steps.len() {
                true => most,
                false => least,
            })
            .collect();
        let outage = CallFaults {
            outage: true,
            ..CallFaults::default()
        };
        let slow = CallFaults {
            delay_ms: 200,
            lose_answer_permille: 50,
            ..CallFaults::default()
        };
        let lossy = LinkFaults {
            jitter_us: 10_000,
            loss_permille: 30,
            ..LinkFaults::usual()
        };
        for half in [0, 500] {
            let at = |permille: u64| self.at(half + permille);
            let noisy = Act::NoisyEndpoints {
                every: 5,
                delay_ms: 200,
            };
            let quiet = Act::NoisyEndpoints {
                every: 0,
                delay_ms: 0,
            };
            scenario = scenario
                .with_step(at(50), "links bad", Act::Links(lossy))
                .with_step(at(100), "entry-1 dies", Act::Kill(1))
                .with_step(at(150), "a fifth slow", noisy)
                .with_step(at(180), "bad workers", Act::BadWorkers(10))
                .with_step(at(200), "store slow", Act::Store(slow.clone()))
                .with_step(at(250), "store out", Act::Store(outage.clone()))
                .with_step(at(300), "a fifth leaves", Act::Leave(5))
                .with_step(at(350), "store back", Act::Store(CallFaults::default()))
                .with_step(at(380), "entry-1 is back", Act::Restart(1))
                .with_step(at(400), "entry-2 replaced", Act::Replace(2))
                .with_step(at(430), "all well", quiet)
                .with_step(at(440), "workers well", Act::BadWorkers(0))
                .with_step(at(450), "links well", Act::Links(LinkFaults::usual()))
                .with_step(at(460), "all stay", Act::Leave(0));
        }
        scenario
    }
}
