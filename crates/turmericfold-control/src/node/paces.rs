//! Assigns the pace of endpoints to the workers on the same hosts.

use std::collections::HashMap;

use turmericfold_platform::ListedInstance;
use turmericfold_types::{EndpointPace, InstanceName, MonotonicMs};

use super::Node;
use crate::shard::is_worker;

impl Node {
    /// Reports to each owned shard the pace of the endpoints on the hosts of its
    /// workers.
    ///
    /// An endpoint and a worker on one host belong to one shard, so the owner of
    /// the endpoint schedules the worker too.
    pub(super) fn on_paces_reported(&mut self, now: MonotonicMs, paces: &[EndpointPace]) {
        let workers_by_host: HashMap<&str, &ListedInstance> = self
            .listing
            .instances
            .iter()
            .filter(|instance| is_worker(instance) && !instance.host.is_empty())
            .map(|worker| (worker.host.as_str(), worker))
            .collect();
        let endpoints: HashMap<&InstanceName, &ListedInstance> = self
            .listing
            .instances
            .iter()
            .filter(|instance| !is_worker(instance))
            .map(|endpoint| (&endpoint.name, endpoint))
            .collect();
        let busy_shards = paces
            .iter()
            .filter_map(|pace| self.shard_of(endpoints.get(&pace.endpoint)?))
            .collect();
        self.busy_shards = Some((now, busy_shards));
        for pace in paces {
            let endpoint = endpoints.get(&pace.endpoint);
            let Some(worker) =
                endpoint.and_then(|endpoint| workers_by_host.get(endpoint.host.as_str()))
            else {
                continue;
            };
            let Some(shard) = self.shard_of(worker) else {
                continue;
            };
            if let Some(owned) = self.owned.get_mut(&shard) {
                owned.on_pace_reported(now, &worker.name, pace, &mut self.out);
            }
        }
    }
}
