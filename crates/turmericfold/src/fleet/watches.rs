//! Watches the store and turns its changes into events.

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::task::JoinSet;
use turmericfold_fleet::{Configuration, Event, WorkerChange, keys};
use turmericfold_platform::{BootClock, Clock, KeyChange, Store, StoredKey, WorkerEntry};
use turmericfold_types::InstanceName;

use super::watch::{Watch, WatchContent, WatchUpdate};

/// Delay in which changes of workers are collected into one batch, in milliseconds;
/// each worker keeps rewriting its registration.
const WORKER_BATCH_DELAY_MS: u64 = 250;

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
        Self::with_clock(store, decoder, BootClock, events)
    }

    /// Starts the same with another clock, which dates the events.
    pub fn with_clock<StoreClient, Decoder, CallClock>(
        store: StoreClient,
        decoder: Decoder,
        clock: CallClock,
        events: mpsc::Sender<Event>,
    ) -> Self
    where
        StoreClient: Store,
        Decoder: PlatformDecoder,
        CallClock: Clock,
    {
        let mut tasks = JoinSet::new();
        let fleet = Watch::new(store.clone(), clock.clone(), keys::FLEET_PREFIX.into(), 0);
        tasks.spawn(watch_fleet(fleet, events.clone()));
        let key = decoder.configuration_key();
        let configuration = Watch::new(store.clone(), clock.clone(), key.into(), 0);
        let configuration_decoder = decoder.clone();
        tasks.spawn(watch_configuration(
            configuration,
            configuration_decoder,
            events.clone(),
        ));
        let worker_prefix = decoder.worker_prefix().into();
        let workers = Watch::new(store, clock, worker_prefix, WORKER_BATCH_DELAY_MS);
        tasks.spawn(watch_workers(workers, decoder, events));
        Self { tasks }
    }

    /// Aborts the watches and waits until they have ended.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

async fn watch_fleet<StoreClient, CallClock>(
    mut watch: Watch<StoreClient, CallClock>,
    events: mpsc::Sender<Event>,
) where
    StoreClient: Store,
    CallClock: Clock,
{
    loop {
        let event = match watch.next().await.content {
            WatchContent::All { keys, version } => Event::KeysReloaded { keys, version },
            WatchContent::Changes(changes) if changes.is_empty() => continue,
            WatchContent::Changes(changes) => Event::KeysChanged(changes),
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
async fn watch_configuration<StoreClient, Decoder, CallClock>(
    mut watch: Watch<StoreClient, CallClock>,
    decoder: Decoder,
    events: mpsc::Sender<Event>,
) where
    StoreClient: Store,
    Decoder: PlatformDecoder,
    CallClock: Clock,
{
    let key = decoder.configuration_key();
    let mut newest = None;
    let mut is_in_series = false;
    // A configuration that can't be decoded may be newer than the one in force.
    let mut is_decoded = false;
    loop {
        let WatchUpdate { content, as_of } = watch.next().await;
        if let Some(values) = stored_values(content, key) {
            let is_new = values.last() != newest.as_ref();
            is_in_series = values.len() > 1 || (is_in_series && is_new);
            newest = values.into_iter().next_back();
            if is_new {
                // Only the last value is in force.
                let value = newest.as_ref();
                let configuration = value.and_then(|value| decoder.configuration(value));
                is_decoded = configuration.is_some();
                let event = configuration.map(|known| Event::Configuration(Arc::new(known)));
                if let Some(event) = event
                    && events.send(event).await.is_err()
                {
                    return;
                }
            }
        }
        let confirmed = Event::ConfigurationConfirmed { as_of };
        if is_decoded && events.send(confirmed).await.is_err() {
            return;
        }
        if is_in_series {
            watch.read_again().await;
        }
    }
}

/// Returns the values of a key in an update, in their order, or `None` if the watch has ended
/// without a change.
fn stored_values(content: WatchContent, key: &str) -> Option<Vec<String>> {
    match content {
        WatchContent::All { keys, .. } => {
            let stored = keys.into_iter().filter(|stored| stored.key == key);
            Some(stored.map(|stored| stored.stored.value).collect())
        }
        WatchContent::Changes(changes) if changes.is_empty() => None,
        WatchContent::Changes(changes) => {
            let changed = changes.into_iter().filter(|change| change.key == key);
            Some(changed.filter_map(|change| change.value).collect())
        }
    }
}

async fn watch_workers<StoreClient, Decoder, CallClock>(
    mut watch: Watch<StoreClient, CallClock>,
    decoder: Decoder,
    events: mpsc::Sender<Event>,
) where
    StoreClient: Store,
    Decoder: PlatformDecoder,
    CallClock: Clock,
{
    loop {
        let WatchUpdate { content, as_of } = watch.next().await;
        let event = match content {
            WatchContent::All { keys, .. } => {
                let decode = |key: &StoredKey| decoder.worker(&key.key, &key.stored.value);
                let entries = keys.iter().filter_map(decode).collect();
                Event::WorkersReloaded { entries, as_of }
            }
            WatchContent::Changes(changes) => {
                let decode = |change: &KeyChange| worker_change(&decoder, change);
                let changes = changes.iter().filter_map(decode).collect();
                Event::WorkersChanged { changes, as_of }
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
