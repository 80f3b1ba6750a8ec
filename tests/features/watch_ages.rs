//! How the watches of a process date the answers of the store.

use std::time::Duration;

use rstest::rstest;
use tokio::sync::mpsc;
use tokio::time::Instant;
use turmericfold::fleet::Watches;
use turmericfold_adapter::{CONFIGURATION_KEY, WORKER_PREFIX};
use turmericfold_fleet::Event;
use turmericfold_platform::{
    Clock, KeyChange, PlatformError, Store, StoreCall, StoreReply, StoreVersion, StoredKey,
    StoredValue,
};
use turmericfold_tests::SiteDecoder;
use turmericfold_types::MonotonicMs;

/// How long each answer is on its way, in milliseconds: longer than any of the times for which an
/// answer is relied on.
const HELD_MS: u64 = 10_000;

/// The number of answers that are checked.
const ANSWERS: usize = 3;

/// A store of which one prefix is watched and each answer is held on its way.
#[derive(Debug, Clone)]
struct HeldStore {
    watched: &'static str,
    /// Whether each watch reports a change, at once, or none, when its wait is over.
    has_changes: bool,
}

impl Store for HeldStore {
    async fn call(&self, call: StoreCall) -> Result<StoreReply, PlatformError> {
        let reply = match call {
            StoreCall::Range { prefix, .. } if prefix == self.watched => self.page(),
            StoreCall::Watch {
                prefix,
                after,
                wait_ms,
            } if prefix == self.watched => self.watch(after, wait_ms).await,
            _ => std::future::pending().await,
        };
        sleep_ms(HELD_MS).await;
        Ok(reply)
    }
}

impl HeldStore {
    fn page(&self) -> StoreReply {
        let version = StoreVersion(1);
        let stored = StoredValue {
            version,
            value: value(version),
        };
        let key = StoredKey {
            key: self.watched.into(),
            stored,
        };
        StoreReply::Page {
            keys: vec![key],
            more: false,
            version,
        }
    }

    async fn watch(&self, after: StoreVersion, wait_ms: u64) -> StoreReply {
        let version = StoreVersion(after.0 + 1);
        let mut changes = Vec::new();
        if self.has_changes {
            changes.push(KeyChange {
                key: self.watched.into(),
                version,
                value: Some(value(version)),
            });
        } else {
            sleep_ms(wait_ms).await;
        }
        StoreReply::Changes { changes, version }
    }
}

fn value(version: StoreVersion) -> String {
    format!(r#"{{"version":{}}}"#, version.0)
}

/// The paused time of the test.
#[derive(Debug, Clone, Copy)]
struct TestClock(Instant);

impl Clock for TestClock {
    fn now(&self) -> MonotonicMs {
        MonotonicMs(u64::try_from(self.0.elapsed().as_millis()).unwrap())
    }
}

async fn sleep_ms(duration_ms: u64) {
    tokio::time::sleep(Duration::from_millis(duration_ms)).await;
}

/// Returns the time as of which an event says that nothing else is known, if it does.
fn as_of(event: &Event) -> Option<MonotonicMs> {
    match event {
        Event::WorkersReloaded { as_of, .. } | Event::WorkersChanged { as_of, .. } => Some(*as_of),
        Event::ConfigurationConfirmed { as_of } => Some(*as_of),
        _ => None,
    }
}

/// Guards against an answer that was held on its way and counts as one of the time of its receipt.
#[rstest]
#[tokio::test(start_paused = true)]
async fn held_answers_keep_their_age(
    #[values(WORKER_PREFIX, CONFIGURATION_KEY)] watched: &'static str,
    #[values(false, true)] has_changes: bool,
) {
    let clock = TestClock(Instant::now());
    let store = HeldStore {
        watched,
        has_changes,
    };
    let (event_sender, mut events) = mpsc::channel(16);
    let watches = Watches::with_clock(store, SiteDecoder, clock, event_sender);
    let mut checked = 0;
    while checked < ANSWERS {
        let event = events.recv().await.unwrap();
        let made_at_ms = clock.now().0 - HELD_MS;
        if let Some(as_of) = as_of(&event) {
            assert!(as_of.0 <= made_at_ms, "{as_of:?}, made at {made_at_ms} ms");
            checked += 1;
        }
    }
    watches.stop().await;
}
