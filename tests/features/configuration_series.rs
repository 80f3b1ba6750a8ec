//! Configurations that are stored faster than a slow link can carry them.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;
use turmericfold::fleet::{PlatformDecoder, Watches};
use turmericfold_fleet::{Configuration, Event};
use turmericfold_platform::{
    KeyChange, PlatformError, Store, StoreCall, StoreReply, StoreVersion, StoredKey, StoredValue,
    WorkerEntry,
};
use turmericfold_tests::fleet_world::configuration;
use turmericfold_types::InstanceName;

/// The key of the configuration.
const KEY: &str = "op/config";

/// The number of versions that are stored after the first one.
const VERSIONS: u64 = 40;

/// The time between two versions, in milliseconds.
const INTERVAL_MS: u64 = 80;

/// The time that the link takes for one version, in milliseconds.
const TRANSFER_MS: u64 = 280;

/// The longest time until a process has a configuration that was stored, in milliseconds.
const MAX_APPLY_MS: u64 = 2_000;

/// A store that holds a new version of the configuration after each interval.
#[derive(Debug, Clone)]
struct SeriesStore {
    started_at: Instant,
}

impl SeriesStore {
    fn current(&self) -> u64 {
        let elapsed_ms = u64::try_from(self.started_at.elapsed().as_millis()).unwrap();
        1 + (elapsed_ms / INTERVAL_MS).min(VERSIONS)
    }

    async fn range(&self) -> StoreReply {
        let current = self.current();
        transfer(1).await;
        let stored = StoredValue {
            version: StoreVersion(current),
            value: current.to_string(),
        };
        StoreReply::Page {
            keys: vec![StoredKey {
                key: KEY.into(),
                stored,
            }],
            more: false,
            version: StoreVersion(current),
        }
    }

    async fn watch(&self, after: u64, wait_ms: u64) -> StoreReply {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        while self.current() <= after && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let current = self.current();
        transfer(current - after).await;
        let change = |version: u64| KeyChange {
            key: KEY.into(),
            version: StoreVersion(version),
            value: Some(version.to_string()),
        };
        StoreReply::Changes {
            changes: (after + 1..=current).map(change).collect(),
            version: StoreVersion(current),
        }
    }
}

impl Store for SeriesStore {
    async fn call(&self, call: StoreCall) -> Result<StoreReply, PlatformError> {
        match call {
            StoreCall::Range { prefix, .. } if prefix == KEY => Ok(self.range().await),
            StoreCall::Watch {
                prefix,
                after,
                wait_ms,
            } if prefix == KEY => Ok(self.watch(after.0, wait_ms).await),
            _ => std::future::pending().await,
        }
    }
}

async fn transfer(versions: u64) {
    tokio::time::sleep(Duration::from_millis(versions * TRANSFER_MS)).await;
}

#[derive(Debug, Clone)]
struct VersionDecoder;

impl PlatformDecoder for VersionDecoder {
    fn configuration_key(&self) -> &'static str {
        KEY
    }

    fn worker_prefix(&self) -> &'static str {
        "servers/"
    }

    fn configuration(&self, value: &str) -> Option<Configuration> {
        Some(Configuration {
            version: value.parse().ok()?,
            ..configuration()
        })
    }

    fn worker(&self, _key: &str, _value: &str) -> Option<WorkerEntry> {
        None
    }

    fn worker_id_from_key(&self, _key: &str) -> Option<InstanceName> {
        None
    }
}

/// Guards against reads of all versions, which fall further behind with each read.
#[tokio::test(start_paused = true)]
async fn newest_arrives_in_time() {
    let started_at = Instant::now();
    let (event_sender, mut events) = mpsc::channel(16);
    let watches = Watches::start(SeriesStore { started_at }, VersionDecoder, event_sender);
    let mut applied = 0;
    while applied <= VERSIONS {
        let configuration = match events.recv().await {
            Some(Event::Configuration(configuration)) => configuration,
            Some(Event::ConfigurationConfirmed { .. }) => continue,
            other => panic!("not a configuration: {other:?}"),
        };
        let elapsed_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap();
        let stored_after_ms = applied * INTERVAL_MS;
        assert!(
            elapsed_ms <= stored_after_ms + MAX_APPLY_MS,
            "version {} was stored after {stored_after_ms} ms, but version {} came after {elapsed_ms} ms",
            applied + 1,
            configuration.version
        );
        applied = configuration.version;
    }
    watches.stop().await;
}
