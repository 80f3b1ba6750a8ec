//! A watch of the configuration that the store leaves unanswered, on our own interface.

use std::collections::BTreeMap;

use turmericfold_control::{Action, CONFIGURATION_KEY, Event, Node, NodeSettings, ShardLeases};
use turmericfold_platform::{PlatformError, StoreCall, StoreReply};
use turmericfold_standin::StoreModel;
use turmericfold_tests::desai_configuration;
use turmericfold_types::{FailureDomain, InstanceName, MonotonicMs, Revision};

/// The longest time until a revision that was stored is in force, in milliseconds.
const MAX_IN_FORCE_MS: u64 = 7_000;

/// The time that a call may take, and a watch in addition to its wait, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// The time between two ticks of the node, in milliseconds.
const TICK_INTERVAL_MS: u64 = 50;

/// The result of a call and the time that it takes.
struct DelayedReply {
    result: Result<StoreReply, PlatformError>,
    after_ms: u64,
}

/// A process whose first watch of the configuration is not answered.
struct Process {
    node: Node,
    store: StoreModel,
    now_ms: u64,
    replies: BTreeMap<u64, Vec<Event>>,
    /// When the first watch was sent.
    watched_at_ms: Option<u64>,
    in_force: Option<Revision>,
}

impl Process {
    fn new() -> Self {
        let instance = InstanceName::new("entry-0");
        let settings = NodeSettings::new(instance, FailureDomain::new("west"), 1);
        Self {
            node: Node::new(settings, ShardLeases::default()),
            store: StoreModel::new(),
            now_ms: 1_000,
            replies: BTreeMap::new(),
            watched_at_ms: None,
            in_force: None,
        }
    }

    fn publish(&mut self, revision: Revision) {
        let mut configuration = desai_configuration();
        configuration.revision = revision;
        let key = CONFIGURATION_KEY.into();
        let now = MonotonicMs(self.now_ms);
        let read = self.store.call(now, StoreCall::Get { key }).unwrap();
        let StoreReply::Value(stored) = read else {
            panic!("not a value: {read:?}");
        };
        let call = StoreCall::CompareAndSwap {
            key: CONFIGURATION_KEY.into(),
            expected: stored.map(|stored| stored.version),
            value: serde_json::to_string(&configuration).ok(),
            lease: None,
        };
        self.store.call(now, call).unwrap();
    }

    fn run_until<Reached>(&mut self, reached: Reached)
    where
        Reached: Fn(&Self) -> bool,
    {
        for _ in 0..1_000 {
            if reached(self) {
                return;
            }
            self.now_ms += TICK_INTERVAL_MS;
            let later = self.replies.split_off(&(self.now_ms + 1));
            let due = std::mem::replace(&mut self.replies, later);
            for event in due.into_values().flatten() {
                self.handle(event);
            }
            self.handle(Event::Tick);
        }
        panic!("not reached until {} ms", self.now_ms);
    }

    fn handle(&mut self, event: Event) {
        for action in self.node.handle(MonotonicMs(self.now_ms), event) {
            match action {
                Action::CallStore { call, operation } => {
                    let DelayedReply { result, after_ms } = self.call_store(operation);
                    let event = Event::StoreReplied { call, result };
                    let at_ms = self.now_ms + after_ms;
                    self.replies.entry(at_ms).or_default().push(event);
                }
                Action::Publish(snapshot) => {
                    self.in_force = Some(snapshot.configuration.revision);
                }
                _ => {}
            }
        }
    }

    fn call_store(&mut self, call: StoreCall) -> DelayedReply {
        if let StoreCall::Watch { wait_ms, .. } = call
            && self.watched_at_ms.is_none()
        {
            self.watched_at_ms = Some(self.now_ms);
            let error = PlatformError::unknown("the store did not answer");
            return DelayedReply {
                result: Err(error),
                after_ms: wait_ms + CALL_TIMEOUT_MS,
            };
        }
        DelayedReply {
            result: self.store.call(MonotonicMs(self.now_ms), call),
            after_ms: 1,
        }
    }
}

/// Guards against a revision that a process lacks while its watch waits for a lost answer.
#[test]
fn lost_answer_hides_no_revision() {
    let mut process = Process::new();
    process.publish(Revision(1));
    process.run_until(|process| process.watched_at_ms.is_some());
    process.publish(Revision(2));
    process.run_until(|process| process.in_force == Some(Revision(2)));
    let taken_ms = process.now_ms - process.watched_at_ms.unwrap();
    assert!(taken_ms <= MAX_IN_FORCE_MS, "{taken_ms} ms");
}
