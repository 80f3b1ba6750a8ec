//! Admission, slots and queues of the request scheduler, checked by a simple oracle.

use std::collections::HashMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rstest::rstest;
use turmericfold_config::Configuration;
use turmericfold_policy::requests::{
    AdmissionRequest, Decision, EndpointDeclaration, Grant, GrantEnd, Offer, RequestScheduler,
    TicketKey,
};
use turmericfold_types::{Epoch, InstanceName, MonotonicMs, ProfileName, ServiceName};

const SLOTS: u32 = 3;
const ENDPOINTS: usize = 4;
const QUEUE_REQUESTS: u32 = 6;
const QUEUE_BYTES: u64 = 500;
const MAX_RUN_MS: u64 = 200;

const CONFIGURATION: &str = "
profiles:
  counter: { room: { guaranteed_permille: 400, ceiling_permille: 800 }, urgency: urgent }
  rounds: { room: { guaranteed_permille: 300, ceiling_permille: 800 }, urgency: normal }
  reports: { room: { guaranteed_permille: 200, ceiling_permille: 700 }, urgency: background }
services:
  visits: { profile: counter, deadline_ms: 100, max_run_ms: 200, queue_requests: 6, queue_bytes: 500 }
  watches: { profile: rounds, deadline_ms: 100, max_run_ms: 200, queue_requests: 6, queue_bytes: 500, runs_on: visits }
  condition-reports: { profile: reports, deadline_ms: 100, max_run_ms: 200, queue_requests: 6, queue_bytes: 500, runs_on: visits }
teams:
  caretakers: { quota: { cpu_millicores: 1, memory_bytes: 1 } }
  gardeners: { quota: { cpu_millicores: 1, memory_bytes: 1 } }
fleet: { failure_domains: [ahmedabad], shards_per_failure_domain: 1, store_calls_per_s: 10 }
";

const SERVICES: [(&str, &str, u32); 3] = [
    ("visits", "counter", 800),
    ("watches", "rounds", 800),
    ("condition-reports", "reports", 700),
];

const TEAMS: [Option<&str>; 4] = [None, Some("caretakers"), Some("gardeners"), Some("unknown")];

#[derive(Debug, Clone)]
enum Step {
    Offer {
        service: usize,
        team: usize,
        bytes: u64,
        timeout_ms: u64,
        idempotent: bool,
    },
    Answer {
        index: usize,
        service_us: u64,
        unavailable: bool,
        connection_reusable: bool,
    },
    Fail {
        index: usize,
    },
    Abandon {
        index: usize,
    },
    Unsent {
        index: usize,
        refused: bool,
    },
    Withdraw {
        index: usize,
    },
    Wait {
        wait_ms: u64,
    },
    Declare {
        endpoint: usize,
        listed: bool,
        leaving: bool,
    },
    ChangeOwner {
        endpoint: usize,
    },
}

fn steps() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..3_usize, 0..4_usize, 1..200_u64, 1..300_u64, any::<bool>()).prop_map(
            |(service, team, bytes, timeout_ms, idempotent)| Step::Offer {
                service, team, bytes, timeout_ms, idempotent
            }
        ),
        6 => (any::<usize>(), 1..90_000_u64, prop::bool::weighted(0.1), any::<bool>()).prop_map(
            |(index, service_us, unavailable, connection_reusable)| Step::Answer {
                index, service_us, unavailable, connection_reusable
            }
        ),
        1 => any::<usize>().prop_map(|index| Step::Fail { index }),
        1 => any::<usize>().prop_map(|index| Step::Abandon { index }),
        1 => (any::<usize>(), any::<bool>())
            .prop_map(|(index, refused)| Step::Unsent { index, refused }),
        1 => any::<usize>().prop_map(|index| Step::Withdraw { index }),
        4 => (1..60_u64).prop_map(|wait_ms| Step::Wait { wait_ms }),
        1 => (0..ENDPOINTS, any::<bool>(), any::<bool>())
            .prop_map(|(endpoint, listed, leaving)| Step::Declare { endpoint, listed, leaving }),
        1 => (0..ENDPOINTS).prop_map(|endpoint| Step::ChangeOwner { endpoint }),
    ]
}

/// A rule that the harness breaks, to show that the oracle detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BrokenRule {
    /// An abandoned slot is freed although its request may still be running.
    FreeAbandoned,
    /// A new owner does not wait for the requests of the previous one.
    SkipBlock,
    /// The decision about a waiting request is lost.
    LoseDecision,
    /// Freed slots are not granted to waiting requests.
    SkipAdvance,
    /// Waiting requests get no answer when their deadline has passed.
    IgnoreDeadline,
    /// The oracle allows queues half as long as declared.
    HalveBounds,
}

#[derive(Debug, Clone)]
struct Waiting {
    service: usize,
    bytes: u64,
    deadline: MonotonicMs,
}

/// A request that may be running, as an endpoint would see it.
#[derive(Debug, Clone)]
struct Run {
    endpoint: usize,
    until: Option<MonotonicMs>,
}

#[derive(Debug, Clone)]
struct Endpoint {
    epoch: u64,
    listed: bool,
    leaving: bool,
    blocked_until: MonotonicMs,
}

struct Harness {
    scheduler: RequestScheduler,
    broken: Option<BrokenRule>,
    now: MonotonicMs,
    endpoints: Vec<Endpoint>,
    waiting: HashMap<TicketKey, Waiting>,
    tickets: Vec<TicketKey>,
    granted: Vec<(Grant, usize, usize)>,
    runs: Vec<Run>,
}

type Checked = Result<(), String>;

impl Harness {
    fn new(broken: Option<BrokenRule>) -> Self {
        let configuration: Configuration = Configuration::parse("test", CONFIGURATION).unwrap();
        let mut scheduler = RequestScheduler::new();
        scheduler.configure(&configuration, &"visits".into());
        let endpoint = Endpoint {
            epoch: 1,
            listed: true,
            leaving: false,
            blocked_until: MonotonicMs(0),
        };
        let mut harness = Self {
            scheduler,
            broken,
            now: MonotonicMs(1_000),
            endpoints: vec![endpoint; ENDPOINTS],
            waiting: HashMap::new(),
            tickets: Vec::new(),
            granted: Vec::new(),
            runs: Vec::new(),
        };
        harness.declare();
        harness
    }

    fn declare(&mut self) {
        let declarations: Vec<_> = self
            .endpoints
            .iter()
            .enumerate()
            .filter(|(_, endpoint)| endpoint.listed)
            .map(|(index, endpoint)| EndpointDeclaration {
                name: name(index),
                epoch: Epoch(endpoint.epoch),
                slots: SLOTS,
                leaving: endpoint.leaving,
                blocked_until: endpoint.blocked_until,
            })
            .collect();
        self.scheduler.set_endpoints(self.now, &declarations);
    }

    fn step(&mut self, step: Step) -> Checked {
        match step {
            Step::Offer {
                service,
                team,
                bytes,
                timeout_ms,
                idempotent,
            } => {
                let request = AdmissionRequest {
                    service: ServiceName::new(SERVICES[service].0),
                    team: TEAMS[team].map(Into::into),
                    bytes,
                    deadline: self.now + timeout_ms,
                    idempotent,
                };
                self.offer(service, &request)?;
            }
            Step::Answer {
                index,
                service_us,
                unavailable,
                connection_reusable,
            } => {
                self.end(
                    index,
                    GrantEnd::Answered {
                        service_us,
                        unavailable,
                        connection_reusable,
                    },
                );
            }
            Step::Fail { index } => self.end(index, GrantEnd::Failed),
            Step::Abandon { index } => self.end(index, GrantEnd::Abandoned { elapsed_us: 30_000 }),
            Step::Unsent { index, refused } => {
                self.end(
                    index,
                    if refused {
                        GrantEnd::Refused
                    } else {
                        GrantEnd::Unsent
                    },
                );
            }
            Step::Withdraw { index } => self.withdraw(index)?,
            Step::Wait { wait_ms } => self.now = self.now + wait_ms,
            Step::Declare {
                endpoint,
                listed,
                leaving,
            } => {
                self.endpoints[endpoint].listed = listed;
                self.endpoints[endpoint].leaving = leaving;
                self.declare();
            }
            Step::ChangeOwner { endpoint } => self.change_owner(endpoint),
        }
        self.advance()?;
        self.check()
    }

    /// Moves the shard of the endpoint to another process and back, under a higher epoch.
    fn change_owner(&mut self, index: usize) {
        let block_ms = match self.broken {
            Some(BrokenRule::SkipBlock) => 0,
            _ => MAX_RUN_MS,
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.epoch += 1;
        endpoint.blocked_until = self.now + block_ms;
        // Requests dispatched earlier end within the maximum run time from now on.
        let until = self.now + MAX_RUN_MS;
        for run in self.runs.iter_mut().filter(|run| run.endpoint == index) {
            run.until = Some(run.until.map_or(until, |earlier| earlier.min(until)));
        }
        let lost = self.granted.iter().filter(|(_, at, _)| *at == index);
        let lost: Vec<_> = lost.copied().collect();
        for (grant, _, _) in lost {
            self.scheduler.end(self.now, grant, GrantEnd::Failed);
        }
        self.granted.retain(|(_, at, _)| *at != index);
        self.declare();
    }

    fn offer(&mut self, service: usize, request: &AdmissionRequest) -> Checked {
        match self.scheduler.offer(self.now, request, None) {
            Ok(Offer::Granted(grant)) => self.start(grant, service),
            Ok(Offer::Queued(enqueued)) => {
                if let Some(displaced) = enqueued.displaced {
                    let known = self.waiting.remove(&displaced);
                    known.ok_or("a request that was not waiting was displaced")?;
                }
                let waiting = Waiting {
                    service,
                    bytes: request.bytes,
                    deadline: request.deadline,
                };
                self.waiting.insert(enqueued.ticket, waiting);
                self.tickets.push(enqueued.ticket);
                Ok(())
            }
            Err(_) => Ok(()),
        }
    }

    fn start(&mut self, grant: Grant, service: usize) -> Checked {
        let index = (0..ENDPOINTS)
            .find(|index| self.scheduler.endpoint(&name(*index)) == Some(grant.endpoint));
        let index = index.ok_or("a slot of an unknown endpoint was granted")?;
        let endpoint = &self.endpoints[index];
        if !endpoint.listed || endpoint.leaving {
            return Err(format!(
                "endpoint {index} is not listed or is leaving, and got a request"
            ));
        }
        let now = self.now;
        self.runs
            .retain(|run| run.until.is_none_or(|until| now < until));
        self.runs.push(Run {
            endpoint: index,
            until: None,
        });
        self.granted.push((grant, index, service));
        let running = self.runs.iter().filter(|run| run.endpoint == index).count();
        if running > SLOTS as usize {
            return Err(format!("{running} requests run on endpoint {index}"));
        }
        let (_, profile, ceiling_permille) = SERVICES[service];
        let running = self.scheduler.running(&ProfileName::new(profile));
        let capacity = (ENDPOINTS as u32) * SLOTS;
        if running > 1 && running * 1_000 > ceiling_permille * capacity + 1_000 * SLOTS {
            return Err(format!(
                "{profile} is beyond its ceiling with {running} slots"
            ));
        }
        Ok(())
    }

    fn end(&mut self, index: usize, end: GrantEnd) {
        if self.granted.is_empty() {
            return;
        }
        let (grant, endpoint, _) = self.granted.remove(index % self.granted.len());
        let run = self
            .runs
            .iter()
            .position(|run| run.endpoint == endpoint && run.until.is_none());
        let may_still_run = matches!(end, GrantEnd::Failed | GrantEnd::Abandoned { .. });
        if let Some(run) = run {
            if may_still_run {
                self.runs[run].until = Some(self.now + MAX_RUN_MS);
            } else {
                self.runs.remove(run);
            }
        }
        let end = match end {
            _ if may_still_run && self.broken == Some(BrokenRule::FreeAbandoned) => {
                GrantEnd::Unsent
            }
            end => end,
        };
        self.scheduler.end(self.now, grant, end);
    }

    fn withdraw(&mut self, index: usize) -> Checked {
        if self.tickets.is_empty() {
            return Ok(());
        }
        let ticket = self.tickets[index % self.tickets.len()];
        let waited = self.waiting.remove(&ticket).is_some();
        if self.scheduler.withdraw(ticket) != waited {
            return Err(format!(
                "the scheduler and the oracle differ on a withdrawn request; it waited: {waited}"
            ));
        }
        Ok(())
    }

    fn advance(&mut self) -> Checked {
        if self.broken == Some(BrokenRule::SkipAdvance) {
            return Ok(());
        }
        let mut loses_next = self.broken == Some(BrokenRule::LoseDecision);
        for decision in self.scheduler.advance(self.now) {
            match decision {
                Decision::Granted { ticket, grant } => {
                    if std::mem::take(&mut loses_next) {
                        continue;
                    }
                    let waiting = self.waiting.remove(&ticket);
                    let waiting = waiting.ok_or("a request that was not waiting was granted")?;
                    if self.now >= waiting.deadline {
                        return Err("a request was granted past its deadline".into());
                    }
                    self.start(grant, waiting.service)?;
                }
                Decision::Expired(expired) => {
                    if self.broken == Some(BrokenRule::IgnoreDeadline) {
                        continue;
                    }
                    let waiting = self.waiting.remove(&expired.ticket);
                    let waiting = waiting.ok_or("a request that was not waiting expired")?;
                    if self.now < waiting.deadline {
                        return Err("a request expired before its deadline".into());
                    }
                }
            }
        }
        Ok(())
    }

    fn check(&mut self) -> Checked {
        if self
            .waiting
            .values()
            .any(|waiting| self.now >= waiting.deadline)
        {
            return Err("a request waits past its deadline".into());
        }
        let waiting = u32::try_from(self.waiting.len()).unwrap();
        if waiting != self.scheduler.admission().queued() {
            return Err(format!(
                "the oracle counts {waiting} waiting requests, the scheduler another number"
            ));
        }
        let bound_divisor = u32::from(self.broken == Some(BrokenRule::HalveBounds)) + 1;
        for (service, (name, _, _)) in SERVICES.iter().enumerate() {
            let queued = || self.waiting.values().filter(|w| w.service == service);
            let requests = u32::try_from(queued().count()).unwrap();
            let bytes: u64 = queued().map(|waiting| waiting.bytes).sum();
            let usage = self
                .scheduler
                .admission()
                .queue_usage(&ServiceName::new(*name));
            if (usage.requests, usage.bytes) != (requests, bytes) {
                return Err(format!(
                    "the queue of {name} has {usage:?}, not {requests} requests and {bytes} bytes"
                ));
            }
            if requests > QUEUE_REQUESTS / bound_divisor || bytes > QUEUE_BYTES {
                return Err(format!(
                    "{requests} requests of {name} wait with {bytes} bytes"
                ));
            }
        }
        self.check_used()
    }

    /// Checks that no request waits while there is a free slot that its profile may take.
    fn check_used(&self) -> Checked {
        let load = self.scheduler.load(self.now);
        for waiting in self.waiting.values() {
            let (_, profile, ceiling_permille) = SERVICES[waiting.service];
            let running = self.scheduler.running(&ProfileName::new(profile));
            let is_below_ceiling =
                running == 0 || (running + 1) * 1_000 <= ceiling_permille * load.slots;
            if is_below_ceiling && load.taken < load.slots {
                return Err(format!("a request of {profile} waits while a slot is free"));
            }
        }
        Ok(())
    }
}

fn name(index: usize) -> InstanceName {
    InstanceName::new(ecow::eco_format!("endpoint-{index}"))
}

/// The reference holds no state: the oracle is in the harness.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        steps().boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct SchedulerTest;

impl StateMachineTest for SchedulerTest {
    type SystemUnderTest = Harness;
    type Reference = Steps;

    fn init_test((): &()) -> Harness {
        Harness::new(None)
    }

    fn apply(mut harness: Harness, (): &(), step: Step) -> Harness {
        harness.step(step).unwrap();
        harness
    }
}

fn config(seed: u64, cases: u32) -> Config {
    Config {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        cases,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(5, 160))]
    #[test]
    fn scheduler_holds(sequential 1..300 => SchedulerTest);
}

#[rstest]
#[case::free_abandoned(BrokenRule::FreeAbandoned)]
#[case::skip_block(BrokenRule::SkipBlock)]
#[case::lose_decision(BrokenRule::LoseDecision)]
#[case::skip_advance(BrokenRule::SkipAdvance)]
#[case::ignore_deadline(BrokenRule::IgnoreDeadline)]
#[case::halve_bounds(BrokenRule::HalveBounds)]
fn broken_caught(#[case] broken: BrokenRule) {
    let config = Config {
        max_shrink_iters: 0,
        ..config(6, 256)
    };
    let mut runner = TestRunner::new(config);
    let result = runner.run(&prop::collection::vec(steps(), 1..300), |steps| {
        let mut harness = Harness::new(Some(broken));
        for step in steps {
            harness.step(step).map_err(TestCaseError::fail)?;
        }
        Ok(())
    });
    assert!(result.is_err(), "{broken:?} was not detected");
}
