//! The platform of a fleet: its endpoints, workers and instance lists.

use anyhow::Result;
use ecow::{EcoString, eco_format};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use turmericfold_platform::{InstanceKind, InstanceListing, InstanceState, ListedInstance};
use turmericfold_standin::{
    EndpointStandIn, InstanceListModel, PlatformServer, PlatformState, WorkerModel,
};
use turmericfold_types::{FailureDomain, InstanceName, Resources, ServiceName};

use crate::layout::FleetLayout;
use crate::link::Links;

/// The number of requests that an endpoint runs at the same time.
const ENDPOINT_SLOTS: u32 = 8;

/// The number of connections that an endpoint accepts at the same time.
const ENDPOINT_CONNECTIONS: u32 = 64;

/// The number of instances in a rack.
const RACK_SIZE: usize = 8;

/// Returns the capacity of a worker.
fn worker_capacity() -> Resources {
    Resources::new(16_000, 60 << 30)
}

fn worker_name(index: usize) -> InstanceName {
    InstanceName(eco_format!("worker-{index}"))
}

/// Returns the platform with an empty store and the workers of the layout.
pub(crate) fn platform_state(layout: &FleetLayout) -> PlatformState {
    let workers = (0..layout.workers)
        .map(|index| {
            let name = worker_name(index);
            (name.clone(), WorkerModel::new(name, worker_capacity()))
        })
        .collect();
    PlatformState::new(InstanceListModel::default(), workers)
}

/// Serves a platform stand-in on loopback until `stopped` is set; returns its address.
///
/// Fails if no port can be bound.
pub(crate) async fn serve_platform(
    state: PlatformState,
    servers: &mut JoinSet<()>,
    stopped: &watch::Receiver<bool>,
) -> Result<EcoString> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = eco_format!("{}", listener.local_addr()?);
    let server = PlatformServer { listener, state };
    servers.spawn(server.serve(wait_for_stop(stopped.clone())));
    Ok(address)
}

/// Starts the endpoints and returns them with their instances as their own failure
/// domain lists them.
///
/// Fails if no port can be bound.
pub(crate) async fn start_endpoints(
    layout: &FleetLayout,
    servers: &mut JoinSet<()>,
    stopped: &watch::Receiver<bool>,
) -> Result<(Vec<EndpointStandIn>, Vec<ListedInstance>)> {
    let domains = &layout.configuration.fleet.failure_domains;
    let mut endpoints = Vec::new();
    let mut listed = Vec::new();
    for plan in &layout.services {
        for _ in 0..plan.endpoints {
            let index = endpoints.len();
            let endpoint = EndpointStandIn::new(ENDPOINT_SLOTS, plan.service_time_ms);
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = eco_format!("{}", listener.local_addr()?);
            let domain = domains[index % domains.len()].clone();
            listed.push(listed_endpoint(index, domain, &plan.service, address));
            let server_endpoint = endpoint.clone();
            servers.spawn(server_endpoint.serve(listener, wait_for_stop(stopped.clone())));
            endpoints.push(endpoint);
        }
    }
    Ok((endpoints, listed))
}

/// Builds the instance list of one failure domain.
///
/// With link faults, the addresses of instances in other failure domains are those of
/// relays.
pub(crate) struct ListView<'fleet> {
    pub(crate) layout: &'fleet FleetLayout,
    pub(crate) own_domain: &'fleet FailureDomain,
    pub(crate) links: &'fleet Links,
    pub(crate) platform_address: &'fleet EcoString,
}

impl ListView<'_> {
    /// Returns the list and spawns the relays whose addresses it has.
    ///
    /// Fails if no port can be bound.
    pub(crate) async fn listing(
        &self,
        endpoints: &[ListedInstance],
        servers: &mut JoinSet<()>,
        stopped: &watch::Receiver<bool>,
    ) -> Result<InstanceListing> {
        let domains = &self.layout.configuration.fleet.failure_domains;
        let far_platform = match self.layout.link_faults {
            Some(_) => {
                let target = self.platform_address.clone();
                self.links.relay(target, servers, stopped.clone()).await?
            }
            None => self.platform_address.clone(),
        };
        let mut instances = Vec::new();
        for index in 0..self.layout.workers {
            let domain = &domains[index % domains.len()];
            let address = match domain == self.own_domain {
                true => self.platform_address,
                false => &far_platform,
            };
            instances.push(listed_worker(index, domain.clone(), address));
        }
        for endpoint in endpoints {
            let mut endpoint = endpoint.clone();
            if self.layout.link_faults.is_some() && endpoint.failure_domain != *self.own_domain {
                let target = endpoint.address;
                endpoint.address = self.links.relay(target, servers, stopped.clone()).await?;
            }
            instances.push(endpoint);
        }
        Ok(InstanceListing {
            version: 1,
            instances,
        })
    }
}

async fn wait_for_stop(mut stopped: watch::Receiver<bool>) {
    let _ = stopped.wait_for(|stopped| *stopped).await;
}

fn listed_worker(index: usize, failure_domain: FailureDomain, address: &str) -> ListedInstance {
    let name = worker_name(index);
    ListedInstance {
        address: eco_format!("http://{address}/workers/{name}"),
        name,
        failure_domain,
        host: eco_format!("host-{index}"),
        rack: eco_format!("rack-{}", index / RACK_SIZE),
        state: InstanceState::Live,
        kind: InstanceKind::Worker {
            capacity: worker_capacity(),
        },
    }
}

fn listed_endpoint(
    index: usize,
    failure_domain: FailureDomain,
    service: &ServiceName,
    address: EcoString,
) -> ListedInstance {
    ListedInstance {
        name: InstanceName(eco_format!("endpoint-{index}")),
        failure_domain,
        host: eco_format!("host-{index}"),
        rack: eco_format!("rack-{}", index / RACK_SIZE),
        address,
        state: InstanceState::Live,
        kind: InstanceKind::Endpoint {
            service: service.clone(),
            slots: ENDPOINT_SLOTS,
            connections: ENDPOINT_CONNECTIONS,
        },
    }
}
