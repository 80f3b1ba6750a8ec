//! Watches the store and turns its changes into events.

use std::sync::Arc;
use std::time::Duration;

use ecow::EcoString;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use turmericfold_fleet::{Configuration, Event, WorkerChange, keys};
use turmericfold_platform::{
    KeyChange, PlatformError, Store, StoreCall, StoreReply, StoreVersion, StoredKey, WorkerEntry,
};
use turmericfold_types::InstanceName;

/// Maximum duration of one watch call, in milliseconds; short, so that a watch that
/// is no longer answered is soon replaced.
const MAX_WATCH_MS: u64 = 1_500;

/// Delay before a failed watch or read is repeated, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;

/// Delay in which changes of workers are collected into one batch, in milliseconds;
/// each worker keeps rewriting its registration.
const WORKER_BATCH_DELAY_MS: u64 = 250;

/// Delay before the configuration is read again while several versions follow each other,
/// in milliseconds.
const SERIES_DELAY_MS: u64 = 250;

/// Maximum number of keys read by one call.
const PAGE_LIMIT: u32 = 500;

/// Number of consecutive failures after which all keys are read again.
const MAX_WATCH_FAILURES: u32 = 3;

/// The keys that operators and workers write, and how their values are decoded.
pub trait PlatformDecoder: Clone + Send + Sync + 'static {
    /// Returns the key of the configuration.
    fn configuration_key(&self) -> &'static str;

    /// Returns the prefix of the keys under which workers are registered.
    fn worker_prefix(&self) -> &'static str;

    /// Decodes a configuration; logs the error and returns `None` if it is faulty.
    fn configuration(&self, value: &str) -> Option<Configuration>;

    /// Decodes a worker's registration; logs the error and returns `None` if it is
    /// faulty.
    fn worker(&self, key: &str, value: &str) -> Option<WorkerEntry>;

    /// Returns the worker whose registration is stored under `key`.
    fn worker_id_from_key(&self, key: &str) -> Option<InstanceName>;
}

/// The watches of a process.
#[derive(Debug)]
pub struct Watches {
    tasks: JoinSet<()>,
}

impl Watches {
    /// Starts to watch the fleet's own keys, the configuration and the workers.
    pub fn start<StoreClient, Decoder>(
        store: StoreClient,
        decoder: Decoder,
        events: mpsc::Sender<Event>,
    ) -> Self
    where
        StoreClient: Store,
        Decoder: PlatformDecoder,
    {
        let mut tasks = JoinSet::new();
        let fleet = Watch::new(store.clone(), keys::FLEET_PREFIX.into(), 0);
        tasks.spawn(watch_fleet(fleet, events.clone()));
        let key = decoder.configuration_key();
        let configuration = Watch::new(store.clone(), key.into(), 0);
        let configuration_decoder = decoder.clone();
        tasks.spawn(watch_configuration(
            configuration,
            configuration_decoder,
            events.clone(),
        ));
        let workers = Watch::new(store, decoder.worker_prefix().into(), WORKER_BATCH_DELAY_MS);
        tasks.spawn(watch_workers(workers, decoder, events));
        Self { tasks }
    }

    /// Aborts the watches and waits until they have ended.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

/// The result of a watch.
enum WatchUpdate {
    /// All keys under the prefix, read at `version`.
    All {
        keys: Vec<StoredKey>,
        version: StoreVersion,
    },
    /// The changes since the last update; none if a watch has ended without any.
    Changes(Vec<KeyChange>),
}

/// A watch of one prefix. Reads all keys at first, and again after repeated failures,
/// an unexpected reply or a compaction of the store's history.
struct Watch<StoreClient> {
    store: StoreClient,
    prefix: EcoString,
    batch_delay_ms: u64,
    version: Option<StoreVersion>,
    failures: u32,
}

impl<StoreClient> Watch<StoreClient>
where
    StoreClient: Store,
{
    fn new(store: StoreClient, prefix: EcoString, batch_delay_ms: u64) -> Self {
        Self {
            store,
            prefix,
            batch_delay_ms,
            version: None,
            failures: 0,
        }
    }

    /// Waits for the next update; retries failed calls.
    async fn next(&mut self) -> WatchUpdate {
        loop {
            match self.version {
                None => match self.read_all().await {
                    Ok((keys, version)) => {
                        self.version = Some(version);
                        self.on_success();
                        return WatchUpdate::All { keys, version };
                    }
                    Err(error) => self.on_failure(&error).await,
                },
                Some(version) => {
                    if let Some(changes) = self.wait(version).await {
                        return WatchUpdate::Changes(changes);
                    }
                }
            }
        }
    }

    /// Waits for changes after `version`; returns `None` if the call fails.
    async fn wait(&mut self, version: StoreVersion) -> Option<Vec<KeyChange>> {
        tokio::time::sleep(Duration::from_millis(self.batch_delay_ms)).await;
        let call = StoreCall::Watch {
            prefix: self.prefix.clone(),
            after: version,
            wait_ms: MAX_WATCH_MS,
        };
        match self.store.call(call).await {
            Ok(StoreReply::Changes { changes, version }) => {
                self.version = Some(version);
                self.on_success();
                Some(changes)
            }
            Ok(StoreReply::Compacted) => {
                log::info!(prefix = self.prefix.as_str(); "history of the store is compacted; reading all keys again");
                self.version = None;
                None
            }
            Ok(reply) => {
                log::warn!(reply:? = reply; "unexpected reply to a watch; reading all keys again");
                self.version = None;
                None
            }
            Err(error) => {
                self.on_failure(&error).await;
                if self.failures >= MAX_WATCH_FAILURES {
                    self.version = None;
                }
                None
            }
        }
    }

    /// Reads all pages; returns the version of the first, as later pages may be newer.
    async fn read_all(&self) -> Result<(Vec<StoredKey>, StoreVersion), PlatformError> {
        let mut all = Vec::new();
        let mut first_version = None;
        loop {
            let call = StoreCall::Range {
                prefix: self.prefix.clone(),
                after: all.last().map(|key: &StoredKey| key.key.clone()),
                limit: PAGE_LIMIT,
            };
            let StoreReply::Page {
                keys,
                more,
                version,
            } = self.store.call(call).await?
            else {
                return Err(PlatformError::no_effect("unexpected reply to a range"));
            };
            let version = *first_version.get_or_insert(version);
            let ended = !more || keys.is_empty();
            all.extend(keys);
            if ended {
                return Ok((all, version));
            }
        }
    }

    /// Makes the next update a read of all keys, after a delay.
    async fn read_again(&mut self) {
        tokio::time::sleep(Duration::from_millis(SERIES_DELAY_MS)).await;
        self.version = None;
    }

    fn on_success(&mut self) {
        if self.failures >= MAX_WATCH_FAILURES {
            log::info!(prefix = self.prefix.as_str(); "store answers again");
        }
        self.failures = 0;
    }

    async fn on_failure(&mut self, error: &PlatformError) {
        self.failures += 1;
        if self.failures == MAX_WATCH_FAILURES {
            log::warn!(prefix = self.prefix.as_str(), error:% = error; "store does not answer; retrying");
        }
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}

async fn watch_fleet<StoreClient>(mut watch: Watch<StoreClient>, events: mpsc::Sender<Event>)
where
    StoreClient: Store,
{
    loop {
        let event = match watch.next().await {
            WatchUpdate::All { keys, version } => Event::KeysReloaded { keys, version },
            WatchUpdate::Changes(changes) if changes.is_empty() => continue,
            WatchUpdate::Changes(changes) => Event::KeysChanged(changes),
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
}

/// Watches the configuration.
///
/// A watch returns every version in full. While several versions follow each other, the
/// newest one is read instead, so that this process does not fall behind.
async fn watch_configuration<StoreClient, Decoder>(
    mut watch: Watch<StoreClient>,
    decoder: Decoder,
    events: mpsc::Sender<Event>,
) where
    StoreClient: Store,
    Decoder: PlatformDecoder,
{
    let key = decoder.configuration_key();
    let mut newest = None;
    let mut is_in_series = false;
    loop {
        let values: Vec<String> = match watch.next().await {
            WatchUpdate::All { keys, .. } => keys
                .into_iter()
                .filter(|stored| stored.key == key)
                .map(|stored| stored.stored.value)
                .collect(),
            WatchUpdate::Changes(changes) if changes.is_empty() => continue,
            WatchUpdate::Changes(changes) => changes
                .into_iter()
                .filter(|change| change.key == key)
                .filter_map(|change| change.value)
                .collect(),
        };
        let is_new = values.last() != newest.as_ref();
        is_in_series = values.len() > 1 || (is_in_series && is_new);
        newest = values.into_iter().next_back();
        // Only the last value is in force.
        let configuration = newest
            .as_ref()
            .filter(|_| is_new)
            .and_then(|value| decoder.configuration(value));
        if let Some(configuration) = configuration {
            let event = Event::Configuration(Arc::new(configuration));
            if events.send(event).await.is_err() {
                return;
            }
        }
        if is_in_series {
            watch.read_again().await;
        }
    }
}

async fn watch_workers<StoreClient, Decoder>(
    mut watch: Watch<StoreClient>,
    decoder: Decoder,
    events: mpsc::Sender<Event>,
) where
    StoreClient: Store,
    Decoder: PlatformDecoder,
{
    loop {
        let event = match watch.next().await {
            WatchUpdate::All { keys, .. } => {
                let decode = |key: &StoredKey| decoder.worker(&key.key, &key.stored.value);
                Event::WorkersReloaded(keys.iter().filter_map(decode).collect())
            }
            WatchUpdate::Changes(changes) => {
                let decode = |change: &KeyChange| worker_change(&decoder, change);
                Event::WorkersChanged(changes.iter().filter_map(decode).collect())
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
}

fn worker_change<Decoder>(decoder: &Decoder, change: &KeyChange) -> Option<WorkerChange>
where
    Decoder: PlatformDecoder,
{
    let present = change
        .value
        .as_ref()
        .and_then(|value| decoder.worker(&change.key, value));
    match present {
        Some(entry) => Some(WorkerChange::Registered(entry)),
        None => decoder
            .worker_id_from_key(&change.key)
            .map(WorkerChange::Unregistered),
    }
}
