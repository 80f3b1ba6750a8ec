//! Takes over the jobs of a shard: reads them from the store.

use std::collections::BTreeSet;
use std::sync::Arc;

use turmericfold_jobs::{Job, JobId, JobRecord};
use turmericfold_platform::{PlatformError, StoreCall, StoreReply, StoredKey};

use super::job_entry::JobEntry;
use super::owner::JobOwner;
use super::recovery_log::RECOVERY_LOG_INTERVAL_MS;
use super::shard::{HeldTasks, LoadedProgress, Loading, Phase, Recovering};
use crate::context::Context;
use crate::keys::JobKey;
use crate::{Authority, CallId, Moment, Outbox, keys};

/// The maximum number of keys read by one call.
const MAX_KEYS_PER_PAGE: u32 = 500;

/// The delay before a failed read is retried, in milliseconds.
const READ_RETRY_MS: u64 = 150;

impl JobOwner {
    /// Reads the jobs of newly acquired shards.
    pub(super) fn load_shards(&mut self, context: Context<'_>, out: &mut Outbox) {
        for (shard, state) in &mut self.shards {
            let Phase::Loading(loading) = &mut state.phase else {
                continue;
            };
            if loading.call.is_some() || !context.moment.has_reached(loading.next_call_at) {
                continue;
            }
            let call = StoreCall::Range {
                prefix: keys::jobs_prefix(*shard),
                after: loading.after.clone(),
                limit: MAX_KEYS_PER_PAGE,
            };
            loading.call = Some(out.call_store(call));
        }
    }

    /// Handles a page of jobs; returns false if the call was not made to load a shard.
    pub(crate) fn on_page(
        &mut self,
        moment: Moment,
        id: CallId,
        result: &Result<StoreReply, PlatformError>,
    ) -> bool {
        let found = self.shards.values_mut().find_map(|shard| {
            let authority = shard.authority;
            match &mut shard.phase {
                Phase::Loading(loading) if loading.call == Some(id) => Some((authority, loading)),
                _ => None,
            }
        });
        let Some((authority, loading)) = found else {
            return false;
        };
        loading.call = None;
        let Ok(StoreReply::Page { keys, more, .. }) = result else {
            loading.next_call_at = moment + READ_RETRY_MS;
            return true;
        };
        for key in keys {
            load_key(loading, key);
        }
        if *more {
            loading.after = keys.last().map(|key| key.key.clone());
            return true;
        }
        self.finish_loading(moment, authority);
        true
    }

    fn finish_loading(&mut self, moment: Moment, authority: Authority) {
        let Some(shard) = self.shards.get_mut(&authority.shard) else {
            return;
        };
        let Phase::Loading(loading) = &mut shard.phase else {
            return;
        };
        let records = std::mem::take(&mut loading.records);
        let mut progress = std::mem::take(&mut loading.progress);
        let mut open_jobs = 0_usize;
        let is_empty = records.is_empty();
        for (id, record) in records {
            let loaded = progress.remove(&id);
            let mut job = Job::new(id, Arc::new(record));
            let version = loaded.as_ref().map(|loaded| loaded.version);
            if let Some(loaded) = loaded {
                job = job.with_progress(&loaded.progress);
            }
            let entry = JobEntry::from_store(job, version, moment.now);
            if entry.stored_state.is_final() {
                self.finished_jobs.push_back(id);
            } else {
                open_jobs += 1;
            }
            self.jobs.insert(id, entry);
        }
        log::info!(
            shard:% = authority.shard,
            epoch = authority.epoch.0,
            term = shard.term,
            open_jobs = open_jobs;
            "loaded the jobs of a shard; recovering the runs of its open jobs"
        );
        if is_empty {
            shard.phase = Phase::Settled;
            return;
        }
        let held_tasks = match open_jobs {
            0 => HeldTasks::None,
            _ => HeldTasks::All,
        };
        shard.phase = Phase::Recovering(Recovering {
            query_id: self.query_numbers.next(),
            held_tasks,
            reported_workers: BTreeSet::new(),
            idle_workers: BTreeSet::new(),
            settled_workers: BTreeSet::new(),
            next_query_at: moment.now,
            since: moment.now,
            answering_owners: BTreeSet::new(),
            next_log_at: moment + RECOVERY_LOG_INTERVAL_MS,
        });
    }
}

fn load_key(loading: &mut Loading, key: &StoredKey) {
    let Some(job_key) = keys::parse_job(&key.key) else {
        log::warn!(key = key.key.as_str(); "stored key below the prefix of the jobs is unknown; ignoring it");
        return;
    };
    let decoded = match job_key {
        JobKey::Record(job) => serde_json::from_str(&key.stored.value)
            .map(|record| insert_record(loading, job, record)),
        JobKey::Progress(job) => serde_json::from_str(&key.stored.value).map(|progress| {
            let version = key.stored.version;
            loading
                .progress
                .insert(job, LoadedProgress { progress, version });
        }),
    };
    if let Err(error) = decoded {
        log::error!(key = key.key.as_str(), error:% = error; "stored job can't be decoded; ignoring it");
    }
}

fn insert_record(loading: &mut Loading, job: JobId, record: JobRecord) {
    loading.records.insert(job, record);
}
