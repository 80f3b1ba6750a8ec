//! The peers to which a request may be forwarded, with their load.

use ecow::EcoString;
use turmericfold_control::{ControlSnapshot, PeerView};
use turmericfold_policy::requests::PeerLoad;
use turmericfold_types::{FailureDomain, ServiceName};

/// A peer and its load for one group of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PeerTarget {
    pub(crate) address: EcoString,
    pub(crate) load: PeerLoad,
}

/// Returns the peers that own endpoints of `group`, as their load reports show.
pub(crate) fn peer_targets(
    snapshot: &ControlSnapshot,
    group: &ServiceName,
    own_domain: &FailureDomain,
) -> Vec<PeerTarget> {
    let target = |peer: &PeerView| {
        let services = &peer.load.services;
        let load = services.iter().find(|load| load.service == *group)?;
        Some(PeerTarget {
            address: peer.address.clone(),
            load: PeerLoad {
                peer: peer.process.instance.clone(),
                is_same_failure_domain: peer.failure_domain == *own_domain,
                is_suspected: peer.suspected,
                slots: load.slots,
                taken: load.taken,
                queued: load.queued,
            },
        })
    };
    snapshot.peers.iter().filter_map(target).collect()
}
