//! Decodes the platform's keys with the functions of the adapter.

use turmericfold::fleet::PlatformDecoder;
use turmericfold_adapter::{
    CONFIGURATION_KEY, WORKER_PREFIX, decode_configuration, decode_worker, worker_id_from_key,
};
use turmericfold_fleet::Configuration;
use turmericfold_platform::WorkerEntry;
use turmericfold_types::InstanceName;

/// Decodes the platform's keys with the functions of the adapter; ignores faulty ones.
#[derive(Debug, Clone, Copy)]
pub struct SiteDecoder;

impl PlatformDecoder for SiteDecoder {
    fn configuration_key(&self) -> &'static str {
        CONFIGURATION_KEY
    }

    fn worker_prefix(&self) -> &'static str {
        WORKER_PREFIX
    }

    fn configuration(&self, value: &str) -> Option<Configuration> {
        decode_configuration(value).ok()
    }

    fn worker(&self, key: &str, value: &str) -> Option<WorkerEntry> {
        decode_worker(key, value)
    }

    fn worker_id_from_key(&self, key: &str) -> Option<InstanceName> {
        worker_id_from_key(key)
    }
}
