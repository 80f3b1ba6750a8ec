//! Stores that leave calls unanswered for a while, and connections that stay silent.

use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use turmericfold::fleet::Watches;
use turmericfold_adapter::{CONFIGURATION_KEY, HttpPool, SiteStore, WORKER_PREFIX};
use turmericfold_fleet::{Event, WorkerChange, keys};
use turmericfold_platform::{Store, StoreCall, StoreVersion};
use turmericfold_tests::SiteDecoder;
use turmericfold_tests::site_store::{SiteFault, SiteStoreStandIn};

/// The longest time until a process has learned of a change that was stored, in milliseconds.
const MAX_LATE_MS: u64 = 2_000;

/// The times after the start of the watches at which the store falls silent, in milliseconds.
const SILENT_FROM_MS: [u64; 5] = [150, 450, 800, 1_200, 1_450];

/// The times after the end of the silence at which a change is stored, in milliseconds.
const CHANGED_AFTER_MS: [u64; 3] = [0, 150, 600];

/// The number of other calls of a process, more than connections to one address.
const CALLS: usize = 20;

/// The part of the store that changes.
#[derive(Debug, Clone, Copy)]
enum Watched {
    Configuration,
    Members,
    Workers,
}

impl Watched {
    /// Writes a change, as the operators, a peer or a worker would.
    fn change(self, store: &SiteStoreStandIn) {
        match self {
            Self::Configuration => store.write(CONFIGURATION_KEY, r#"{"version":2}"#),
            Self::Members => store.write(&member_key(), "{}"),
            Self::Workers => {
                let entry = json!({
                    "service": "s", "address": "10.0.0.1:80", "zone": "west", "version": "v1",
                    "slots": 8, "state": "ready", "sequence": 1, "labels": ["a", "r1"],
                    "capacity": { "cpu": 16_000, "mem_mb": 2, "gpu": 0 },
                });
                store.write(&format!("{WORKER_PREFIX}i-1"), &entry.to_string());
            }
        }
    }

    /// Returns whether an event reports the change.
    fn is_reported_by(self, event: &Event) -> bool {
        match (self, event) {
            (Self::Configuration, Event::Configuration(known)) => known.version == 2,
            (Self::Members, Event::KeysReloaded { keys, .. }) => {
                keys.iter().any(|stored| stored.key == member_key())
            }
            (Self::Members, Event::KeysChanged(changes)) => {
                changes.iter().any(|change| change.key == member_key())
            }
            (Self::Workers, Event::WorkersReloaded { entries, .. }) => !entries.is_empty(),
            (Self::Workers, Event::WorkersChanged { changes, .. }) => changes
                .iter()
                .any(|change| matches!(change, WorkerChange::Registered(_))),
            _ => false,
        }
    }
}

fn member_key() -> String {
    format!("{}members/entry-1", keys::FLEET_PREFIX)
}

/// The watches of a process, and the store that they watch.
struct WatchedStore {
    store: SiteStoreStandIn,
    /// The client for the other calls of the process.
    client: SiteStore,
    watches: Watches,
    events: mpsc::Receiver<Event>,
}

impl WatchedStore {
    async fn start() -> Self {
        let store = SiteStoreStandIn::start().await;
        store.write(CONFIGURATION_KEY, r#"{"version":1}"#);
        let client = SiteStore::new(HttpPool::new(), store.address().into());
        let (event_sender, events) = mpsc::channel(1_024);
        let watches = Watches::start(client.with_own_connections(), SiteDecoder, event_sender);
        Self {
            store,
            client,
            watches,
            events,
        }
    }

    /// Stores a change, and returns the time until an event reports it.
    async fn report_time(&mut self, watched: Watched) -> Duration {
        let changed_at = Instant::now();
        watched.change(&self.store);
        loop {
            let event = self.events.recv().await.unwrap();
            if watched.is_reported_by(&event) {
                return changed_at.elapsed();
            }
        }
    }

    async fn stop(self) {
        self.watches.stop().await;
        self.store.stop().await;
    }
}

async fn sleep_ms(duration_ms: u64) {
    tokio::time::sleep(Duration::from_millis(duration_ms)).await;
}

/// Guards against a watch that waits for an answer which the store lost in an outage.
#[rstest]
#[tokio::test(start_paused = true)]
async fn change_after_silence_is_reported(
    #[values(Watched::Configuration, Watched::Members, Watched::Workers)] watched: Watched,
    #[values(200, 700, 1_400, 2_500, 3_700, 5_000, 7_500, 8_500, 12_000)] silent_ms: u64,
) {
    for silent_from_ms in SILENT_FROM_MS {
        for changed_after_ms in CHANGED_AFTER_MS {
            let mut watched_store = WatchedStore::start().await;
            sleep_ms(silent_from_ms).await;
            watched_store.store.set_fault(SiteFault::Silent);
            sleep_ms(silent_ms).await;
            watched_store.store.set_fault(SiteFault::None);
            sleep_ms(changed_after_ms).await;
            let taken = watched_store.report_time(watched).await;
            assert!(
                taken <= Duration::from_millis(MAX_LATE_MS),
                "silent from {silent_from_ms} ms, change {changed_after_ms} ms after the end: {taken:?}"
            );
            watched_store.stop().await;
        }
    }
}

/// Guards against a watch that waits for an answer on a connection that is silent for good.
#[rstest]
#[tokio::test(start_paused = true)]
async fn silent_connection_is_replaced(
    #[values(Watched::Configuration, Watched::Members, Watched::Workers)] watched: Watched,
) {
    for silent_from_ms in SILENT_FROM_MS {
        let mut watched_store = WatchedStore::start().await;
        sleep_ms(silent_from_ms).await;
        watched_store.store.silence_connections();
        let taken = watched_store.report_time(watched).await;
        assert!(
            taken <= Duration::from_millis(MAX_LATE_MS),
            "silent from {silent_from_ms} ms: {taken:?}"
        );
        watched_store.stop().await;
    }
}

/// Guards against a watch that waits for a connection which other calls of the process hold.
#[rstest]
#[tokio::test(start_paused = true)]
async fn held_connections_delay_no_watch(
    #[values(Watched::Configuration, Watched::Members, Watched::Workers)] watched: Watched,
) {
    let mut watched_store = WatchedStore::start().await;
    let mut calls = JoinSet::new();
    for _ in 0..CALLS {
        let client = watched_store.client.clone();
        let call = StoreCall::Watch {
            prefix: "other/".into(),
            after: StoreVersion(1),
            wait_ms: 10 * MAX_LATE_MS,
        };
        calls.spawn(async move { client.call(call).await });
    }
    sleep_ms(SILENT_FROM_MS[0]).await;
    let taken = watched_store.report_time(watched).await;
    assert!(taken <= Duration::from_millis(MAX_LATE_MS), "{taken:?}");
    calls.shutdown().await;
    watched_store.stop().await;
}
