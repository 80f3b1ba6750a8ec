//! Counts the outcomes of callers' requests.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use turmericfold_types::{RequestError, RequestStats, ServiceName};

/// Maximum number of services with counts of their own; further ones are counted
/// together as `other`.
const MAX_SERVICES: usize = 256;

/// The counts of callers' requests by service; clones share them.
#[derive(Debug, Clone, Default)]
pub struct RequestCounters {
    services: Arc<Mutex<BTreeMap<ServiceName, RequestStats>>>,
}

impl RequestCounters {
    /// Counts one request that took `latency_ms` of its `deadline_ms`.
    pub fn count<Answer>(
        &self,
        service: &ServiceName,
        latency_ms: u64,
        deadline_ms: u64,
        result: &Result<Answer, RequestError>,
    ) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let service = if services.len() < MAX_SERVICES || services.contains_key(service) {
            service.clone()
        } else {
            ServiceName::new("other")
        };
        let stats = services.entry(service).or_default();
        match result {
            Ok(_) => stats.count_answer(latency_ms, latency_ms > deadline_ms),
            Err(_) => stats.refused += 1,
        }
    }

    /// Returns the counts by service.
    pub fn by_service(&self) -> BTreeMap<ServiceName, RequestStats> {
        self.services
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the counts of all services together.
    pub fn total(&self) -> RequestStats {
        let mut total = RequestStats::default();
        for stats in self.by_service().values() {
            total.add(stats);
        }
        total
    }
}
