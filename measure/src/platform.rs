//! The command `platform`: serves stand-ins for the platform, so that entry processes
//! can be started by hand.

use anyhow::Result;
use ecow::EcoString;
use tokio::sync::watch;
use tokio::task::JoinSet;
use turmericfold_config::Configuration;
use turmericfold_standin::{InstanceListModel, PlatformServer};

use crate::layout::{FleetLayout, ServicePlan};
use crate::link::{LinkFaults, Links};
use crate::listing::{ListView, platform_state, start_endpoints};

/// The stand-ins to serve.
#[derive(Debug, Clone)]
pub struct PlatformPlan {
    /// The address of the store, the instance list and the workers, as `IP:port`.
    pub listen: EcoString,
    /// The configuration with the failure domains and services; it is not put in force.
    pub configuration: std::path::PathBuf,
    /// The number of endpoints of each service.
    pub endpoints: usize,
    /// The time that an endpoint takes for a request, in milliseconds.
    pub service_time_ms: u64,
    /// The number of workers.
    pub workers: usize,
}

/// Serves until the process is interrupted.
///
/// Fails if the address can't be bound or the configuration is invalid.
pub async fn serve(plan: PlatformPlan) -> Result<bool> {
    let configuration = Configuration::read(&plan.configuration)?;
    let domains = configuration.fleet.failure_domains.clone();
    let services: Vec<_> = configuration.services.keys().cloned().collect();
    let mut layout = FleetLayout::new(configuration, 0, plan.workers);
    for service in services {
        layout = layout.with_service(ServicePlan {
            service,
            endpoints: plan.endpoints,
            service_time_ms: plan.service_time_ms,
        });
    }
    let (stop, stopped) = watch::channel(false);
    let mut servers = JoinSet::new();
    let (_endpoints, listed) = start_endpoints(&layout, &mut servers, &stopped).await?;
    let state = platform_state(&layout);
    let links = Links::new(LinkFaults::default());
    let view = ListView {
        layout: &layout,
        own_domain: &domains[0],
        links: &links,
        platform_address: &plan.listen,
    };
    let listing = view.listing(&listed, &mut servers, &stopped).await?;
    *state.list() = InstanceListModel::new(listing);
    let listener = tokio::net::TcpListener::bind(plan.listen.as_str()).await?;
    println!("the platform answers at http://{}", plan.listen);
    let server = PlatformServer { listener, state };
    server
        .serve(async {
            let _ = tokio::signal::ctrl_c().await;
        })
        .await;
    let _ = stop.send(true);
    servers.shutdown().await;
    Ok(true)
}
