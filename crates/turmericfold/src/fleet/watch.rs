//! Watches the store and turns what changes there into events.

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

/// How long a watch waits, in milliseconds: short, so that one that has gone silent
/// is soon replaced.
const WAIT_MS: u64 = 1_500;

/// How long a failed watch or read waits, in milliseconds.
const RETRY_MS: u64 = 150;

/// How long changes of workers are gathered, in milliseconds; each worker writes
/// its registration again and again.
const GATHER_MS: u64 = 250;

/// How many keys are read by one call.
const PAGE_LIMIT: u32 = 500;

/// How often a watch may fail before everything is read anew.
const MAX_FAILURES: u32 = 3;

/// Where operators and workers write, and how that is decoded.
pub trait PlatformDecoder: Clone + Send + Sync + 'static {
    /// Returns the key of the configuration.
    fn configuration_key(&self) -> &'static str;

    /// Returns under which prefix workers are registered.
    fn worker_prefix(&self) -> &'static str;

    /// Decodes a configuration, or says in the log why it can't be.
    fn configuration(&self, value: &str) -> Option<Configuration>;

    /// Decodes a worker's registration, or says in the log why it can't be.
    fn worker(&self, key: &str, value: &str) -> Option<WorkerEntry>;

    /// Returns the worker whose registration has this key.
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
        let workers = Watch::new(store, decoder.worker_prefix().into(), GATHER_MS);
        tasks.spawn(watch_workers(workers, decoder, events));
        Self { tasks }
    }

    /// Ends the watches.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

/// What a watch has seen.
enum WatchUpdate {
    All {
        keys: Vec<StoredKey>,
        version: StoreVersion,
    },
    Changes(Vec<KeyChange>),
}

/// A watch of one prefix that reads everything anew where it has to.
struct Watch<StoreClient> {
    store: StoreClient,
    prefix: EcoString,
    gather_ms: u64,
    version: Option<StoreVersion>,
    failures: u32,
}

impl<StoreClient> Watch<StoreClient>
where
    StoreClient: Store,
{
    fn new(store: StoreClient, prefix: EcoString, gather_ms: u64) -> Self {
        Self {
            store,
            prefix,
            gather_ms,
            version: None,
            failures: 0,
        }
    }

    async fn next(&mut self) -> WatchUpdate {
        loop {
            match self.version {
                None => match self.read_all().await {
                    Ok((keys, version)) => {
                        self.version = Some(version);
                        self.note_success();
                        return WatchUpdate::All { keys, version };
                    }
                    Err(error) => self.note_failure(&error).await,
                },
                Some(version) => {
                    if let Some(changes) = self.wait(version).await {
                        return WatchUpdate::Changes(changes);
                    }
                }
            }
        }
    }

    async fn wait(&mut self, version: StoreVersion) -> Option<Vec<KeyChange>> {
        tokio::time::sleep(Duration::from_millis(self.gather_ms)).await;
        let call = StoreCall::Watch {
            prefix: self.prefix.clone(),
            after: version,
            wait_ms: WAIT_MS,
        };
        match self.store.call(call).await {
            Ok(StoreReply::Changes { changes, version }) => {
                self.version = Some(version);
                self.note_success();
                (!changes.is_empty()).then_some(changes)
            }
            Ok(StoreReply::Compacted) => {
                log::info!(prefix = self.prefix.as_str(); "the history is gone; reads everything anew");
                self.version = None;
                None
            }
            Ok(reply) => {
                log::warn!(reply:? = reply; "unexpected reply to a watch");
                self.version = None;
                None
            }
            Err(error) => {
                self.note_failure(&error).await;
                if self.failures >= MAX_FAILURES {
                    self.version = None;
                }
                None
            }
        }
    }

    /// Reads all pages; the version is that of the first, as later ones may be newer.
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

    fn note_success(&mut self) {
        if self.failures >= MAX_FAILURES {
            log::info!(prefix = self.prefix.as_str(); "the store answers again");
        }
        self.failures = 0;
    }

    async fn note_failure(&mut self, error: &PlatformError) {
        self.failures += 1;
        if self.failures == MAX_FAILURES {
            log::warn!(prefix = self.prefix.as_str(), error:% = error; "the store does not answer");
        }
        tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

async fn watch_fleet<StoreClient>(mut watch: Watch<StoreClient>, events: mpsc::Sender<Event>)
where
    StoreClient: Store,
{
    loop {
        let event = match watch.next().await {
            WatchUpdate::All { keys, version } => Event::KeysReloaded { keys, version },
            WatchUpdate::Changes(changes) => Event::KeysChanged(changes),
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
}

async fn watch_configuration<StoreClient, Decoder>(
    mut watch: Watch<StoreClient>,
    decoder: Decoder,
    events: mpsc::Sender<Event>,
) where
    StoreClient: Store,
    Decoder: PlatformDecoder,
{
    let key = decoder.configuration_key();
    loop {
        let values: Vec<String> = match watch.next().await {
            WatchUpdate::All { keys, .. } => keys
                .into_iter()
                .filter(|stored| stored.key == key)
                .map(|stored| stored.stored.value)
                .collect(),
            WatchUpdate::Changes(changes) => changes
                .into_iter()
                .filter(|change| change.key == key)
                .filter_map(|change| change.value)
                .collect(),
        };
        // Only the last counts.
        let configuration = values.last().and_then(|value| decoder.configuration(value));
        if let Some(configuration) = configuration {
            let event = Event::Configuration(Arc::new(configuration));
            if events.send(event).await.is_err() {
                return;
            }
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
