//! A watch of the keys of the store with one prefix.

use std::time::Duration;

use ecow::EcoString;
use tokio::time::Instant;
use turmericfold_platform::{
    Clock, KeyChange, PlatformError, Store, StoreCall, StoreReply, StoreVersion, StoredKey,
};
use turmericfold_types::MonotonicMs;

/// How long one watch call waits for a change, in milliseconds. A call whose answer is lost
/// hides all changes until its timeout, so the wait is part of the longest such delay.
const WATCH_WAIT_MS: u64 = 800;

/// Delay before a failed watch or read is repeated, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;

/// Delay before all keys are read again while several versions follow each other, in
/// milliseconds.
const SERIES_DELAY_MS: u64 = 250;

/// Maximum number of keys read by one call.
const PAGE_LIMIT: u32 = 500;

/// Number of consecutive failures after which all keys are read again.
const MAX_WATCH_FAILURES: u32 = 3;

/// What a watch reports, and when the store knew it.
pub(super) struct WatchUpdate {
    /// What the watch reports.
    pub(super) content: WatchContent,
    /// A time before which the store certainly did not make the answer. The answer itself may
    /// have been on its way for long, or have waited while this process was paused.
    pub(super) as_of: MonotonicMs,
}

/// What a watch reports.
pub(super) enum WatchContent {
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
pub(super) struct Watch<StoreClient, CallClock> {
    store: StoreClient,
    clock: CallClock,
    prefix: EcoString,
    batch_delay_ms: u64,
    version: Option<StoreVersion>,
    failures: u32,
    /// The time of the last answer, or of the start.
    answered_at: Instant,
}

impl<StoreClient, CallClock> Watch<StoreClient, CallClock>
where
    StoreClient: Store,
    CallClock: Clock,
{
    pub(super) fn new(
        store: StoreClient,
        clock: CallClock,
        prefix: EcoString,
        batch_delay_ms: u64,
    ) -> Self {
        Self {
            store,
            clock,
            prefix,
            batch_delay_ms,
            version: None,
            failures: 0,
            answered_at: Instant::now(),
        }
    }

    /// Waits for the next update; retries failed calls.
    pub(super) async fn next(&mut self) -> WatchUpdate {
        loop {
            match self.version {
                None => {
                    let as_of = self.clock.now();
                    match self.read_all().await {
                        Ok((keys, version)) => {
                            self.version = Some(version);
                            self.on_success();
                            let content = WatchContent::All { keys, version };
                            return WatchUpdate { content, as_of };
                        }
                        Err(error) => self.on_failure(&error).await,
                    }
                }
                Some(version) => {
                    if let Some(update) = self.wait(version).await {
                        return update;
                    }
                }
            }
        }
    }

    /// Waits for changes after `version`; returns `None` if the call fails.
    async fn wait(&mut self, version: StoreVersion) -> Option<WatchUpdate> {
        // What has changed while the store did not answer is overdue.
        if self.failures == 0 {
            tokio::time::sleep(Duration::from_millis(self.batch_delay_ms)).await;
        }
        let wait_ms = self.wait_ms();
        let call = StoreCall::Watch {
            prefix: self.prefix.clone(),
            after: version,
            wait_ms,
        };
        let asked_at = self.clock.now();
        match self.store.call(call).await {
            Ok(StoreReply::Changes { changes, version }) => {
                self.version = Some(version);
                self.on_success();
                // The store makes an answer without a change when the wait is over.
                let as_of = match changes.is_empty() {
                    true => self.clock.now().min(asked_at + wait_ms),
                    false => asked_at,
                };
                let content = WatchContent::Changes(changes);
                Some(WatchUpdate { content, as_of })
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

    /// Returns how long the next watch call waits for a change, in milliseconds.
    ///
    /// After a failure it does not wait, so that its answer shows at once whether the store
    /// answers again.
    fn wait_ms(&self) -> u64 {
        match self.failures {
            0 => WATCH_WAIT_MS,
            _ => 0,
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
    pub(super) async fn read_again(&mut self) {
        tokio::time::sleep(Duration::from_millis(SERIES_DELAY_MS)).await;
        self.version = None;
    }

    fn on_success(&mut self) {
        if self.failures > 0 {
            log::info!(
                prefix = self.prefix.as_str(),
                failures = self.failures,
                silent_ms = self.silent_ms();
                "store answers again"
            );
        }
        self.failures = 0;
        self.answered_at = Instant::now();
    }

    async fn on_failure(&mut self, error: &PlatformError) {
        self.failures += 1;
        let level = match self.failures {
            MAX_WATCH_FAILURES => log::Level::Warn,
            _ => log::Level::Info,
        };
        if self.failures <= MAX_WATCH_FAILURES {
            log::log!(
                level,
                prefix = self.prefix.as_str(),
                failures = self.failures,
                silent_ms = self.silent_ms(),
                error:% = error;
                "store does not answer; retrying"
            );
        }
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }

    /// Returns the time since the last answer, in milliseconds.
    fn silent_ms(&self) -> u64 {
        self.answered_at.elapsed().as_millis() as u64
    }
}
