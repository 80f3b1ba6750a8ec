//! The scenarios, built by name.

use ecow::{EcoString, eco_format};
use turmericfold_config::{Configuration, Urgency};
use turmericfold_standin::CallFaults;
use turmericfold_types::{Resources, ServiceName};

use crate::link::LinkFaults;
use crate::load::{KindLoad, RateStep};
use crate::task_load::TaskBurst;

use super::scenario::{FleetAction, Scenario};

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

/// The requests a second to each service without a flood, half reads and half writes.
const BASE_RATE_PER_S: u32 = 200;

/// The requests a second of a flood; more than the endpoints of a service can answer.
const FLOOD_RATE_PER_S: u32 = 6_000;

/// The number of tasks that every scenario submits at its start.
const BATCH_TASKS: u32 = 200;

/// Builds scenarios for one configuration and duration.
#[derive(Debug, Clone)]
pub struct Catalog {
    configuration: Configuration,
    duration_ms: u64,
    entries: usize,
}

impl Catalog {
    /// Creates a catalog for a fleet of `entries`, with loads that last `duration_ms`.
    pub fn new(configuration: Configuration, duration_ms: u64, entries: usize) -> Self {
        Self {
            configuration,
            duration_ms,
            entries,
        }
    }

    /// Returns the services in order of urgency, the most urgent first.
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

    /// Returns the scenario with this name, or `None` if the name is unknown.
    pub fn scenario(&self, name: &str) -> Option<Scenario> {
        let scenario = match name {
            "steady" => self.base_scenario(name),
            "least-urgent-flood" => self.flood(name, false),
            "most-urgent-flood" => self.flood(name, true),
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

    /// Returns the time after `permille` of the duration, in milliseconds.
    fn at(&self, permille: u64) -> u64 {
        self.duration_ms * permille / 1_000
    }

    fn base_scenario(&self, name: &str) -> Scenario {
        let mut requests = Vec::new();
        for service in self.services() {
            for writes in [false, true] {
                requests.push(self.kind_load(&service, writes));
            }
        }
        Scenario {
            name: name.into(),
            duration_ms: self.duration_ms,
            requests,
            tasks: vec![self.task_burst("batch", 0, BATCH_TASKS)],
            steps: Vec::new(),
            first_entry_in_child_process: false,
        }
    }

    fn kind_load(&self, service: &ServiceName, writes: bool) -> KindLoad {
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

    fn task_burst(&self, name: &str, submit_at_ms: u64, count: u32) -> TaskBurst {
        let service = self.services().pop().unwrap_or_default();
        let team = self.configuration.teams.keys().next().cloned();
        TaskBurst {
            name: EcoString::from(name),
            service,
            team: team.unwrap_or_default(),
            submit_at_ms,
            count,
            resources: Resources::new(1_000, 1 << 30),
            run_ms: 1_000,
            actual_run_permille: 1_500,
            cancel_at_ms: None,
        }
    }

    /// Returns a scenario with a flood of reads of the most or the least urgent service,
    /// and of batch tasks.
    ///
    /// The steps with an instance list lag of zero only mark the flood in the results.
    fn flood(&self, name: &str, most_urgent: bool) -> Scenario {
        let mut scenario = self.base_scenario(name);
        let services = self.services();
        let flooded_service = match most_urgent {
            true => services.first(),
            false => services.last(),
        };
        let (from_ms, until_ms) = (self.at(300), self.at(700));
        for kind in &mut scenario.requests {
            if Some(&kind.service) == flooded_service && !kind.writes {
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
            .with_tasks(self.task_burst("flood", from_ms, 4 * BATCH_TASKS))
            .with_step(from_ms, "flood", FleetAction::ListLag(0))
            .with_step(until_ms, "flood ends", FleetAction::ListLag(0))
    }

    fn entry_kill(&self, name: &str) -> Scenario {
        self.base_scenario(name)
            .with_step(self.at(300), "entry-1 dies", FleetAction::Kill(1))
            .with_step(self.at(700), "entry-1 is back", FleetAction::Restart(1))
    }

    fn paused_entry(&self, name: &str) -> Scenario {
        let scenario = self.base_scenario(name);
        Scenario {
            first_entry_in_child_process: true,
            ..scenario
        }
        .with_step(
            self.at(300),
            "entry-0 paused",
            FleetAction::PauseFirstEntry(true),
        )
        .with_step(
            self.at(700),
            "entry-0 goes on",
            FleetAction::PauseFirstEntry(false),
        )
    }

    fn store_outage(&self, name: &str) -> Scenario {
        let outage = CallFaults {
            outage: true,
            ..CallFaults::default()
        };
        self.base_scenario(name)
            .with_tasks(self.task_burst("during", self.at(450), BATCH_TASKS / 4))
            .with_step(self.at(300), "store out", FleetAction::StoreFaults(outage))
            .with_step(
                self.at(700),
                "store back",
                FleetAction::StoreFaults(CallFaults::default()),
            )
    }

    fn slow_store(&self, name: &str) -> Scenario {
        let slow = CallFaults {
            delay_ms: 400,
            lose_answer_permille: 100,
            ..CallFaults::default()
        };
        self.base_scenario(name)
            .with_tasks(self.task_burst("during", self.at(400), BATCH_TASKS / 4))
            .with_step(self.at(300), "store slow", FleetAction::StoreFaults(slow))
            .with_step(
                self.at(700),
                "store well",
                FleetAction::StoreFaults(CallFaults::default()),
            )
    }

    fn leaving_endpoints(&self, name: &str) -> Scenario {
        self.base_scenario(name)
            .with_step(0, "list lags 2 s", FleetAction::ListLag(2_000))
            .with_step(self.at(300), "a fourth leaves", FleetAction::MarkLeaving(4))
            .with_step(self.at(700), "all stay", FleetAction::MarkLeaving(0))
    }

    fn noisy_wave(&self, name: &str) -> Scenario {
        let slow_endpoints = FleetAction::SlowEndpoints {
            every: 5,
            delay_ms: 300,
        };
        let usual_endpoints = FleetAction::SlowEndpoints {
            every: 0,
            delay_ms: 0,
        };
        self.base_scenario(name)
            .with_step(self.at(300), "a fifth slow", slow_endpoints)
            .with_step(self.at(700), "all well", usual_endpoints)
    }

    fn bad_workers(&self, name: &str) -> Scenario {
        self.base_scenario(name)
            .with_tasks(self.task_burst("during", self.at(350), BATCH_TASKS))
            .with_step(
                self.at(300),
                "a tenth fails all",
                FleetAction::FaultyWorkers(10),
            )
            .with_step(self.at(700), "all well", FleetAction::FaultyWorkers(0))
    }

    fn cancellation_burst(&self, name: &str) -> Scenario {
        let burst = TaskBurst {
            cancel_at_ms: Some(self.at(500)),
            run_ms: 20_000,
            ..self.task_burst("cancelled", self.at(200), 4 * BATCH_TASKS)
        };
        self.base_scenario(name).with_tasks(burst).with_step(
            self.at(500),
            "800 cancelled",
            FleetAction::ListLag(0),
        )
    }

    fn rolling_replacement(&self, name: &str) -> Scenario {
        let mut scenario = self.base_scenario(name);
        let gap_permille = 600 / self.entries.max(1) as u64;
        for entry in 0..self.entries {
            let at_ms = self.at(200 + gap_permille * entry as u64);
            let label = format!("entry-{entry} replaced");
            scenario = scenario.with_step(at_ms, &label, FleetAction::Replace(entry));
        }
        scenario
    }

    fn configuration_change(&self, name: &str) -> Scenario {
        let mut changed = self.configuration.clone();
        for service in changed.services.values_mut() {
            service.queue_requests = service.queue_requests / 2 + 1;
        }
        let original = FleetAction::Configure(Box::new(self.configuration.clone()));
        self.base_scenario(name)
            .with_step(
                self.at(300),
                "queues halved",
                FleetAction::Configure(changed.into()),
            )
            .with_step(self.at(600), "queues as before", original)
    }

    /// Returns a scenario with each fault twice, overlapping with others, under floods of
    /// the most and the least urgent service.
    fn all_twice(&self, name: &str) -> Scenario {
        let mut scenario = self.flood(name, false);
        scenario.requests = scenario
            .requests
            .into_iter()
            .zip(self.flood(name, true).requests)
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
            let slow_endpoints = FleetAction::SlowEndpoints {
                every: 5,
                delay_ms: 200,
            };
            let usual_endpoints = FleetAction::SlowEndpoints {
                every: 0,
                delay_ms: 0,
            };
            scenario = scenario
                .with_step(at(50), "links bad", FleetAction::LinkFaults(lossy))
                .with_step(at(100), "entry-1 dies", FleetAction::Kill(1))
                .with_step(at(150), "a fifth slow", slow_endpoints)
                .with_step(at(180), "bad workers", FleetAction::FaultyWorkers(10))
                .with_step(
                    at(200),
                    "store slow",
                    FleetAction::StoreFaults(slow.clone()),
                )
                .with_step(
                    at(250),
                    "store out",
                    FleetAction::StoreFaults(outage.clone()),
                )
                .with_step(at(300), "a fifth leaves", FleetAction::MarkLeaving(5))
                .with_step(
                    at(350),
                    "store back",
                    FleetAction::StoreFaults(CallFaults::default()),
                )
                .with_step(at(380), "entry-1 is back", FleetAction::Restart(1))
                .with_step(at(400), "entry-2 replaced", FleetAction::Replace(2))
                .with_step(at(430), "all well", usual_endpoints)
                .with_step(at(440), "workers well", FleetAction::FaultyWorkers(0))
                .with_step(
                    at(450),
                    "links well",
                    FleetAction::LinkFaults(LinkFaults::usual()),
                )
                .with_step(at(460), "all stay", FleetAction::MarkLeaving(0));
        }
        scenario
    }
}
