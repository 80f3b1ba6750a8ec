//! The sockets that a process of the fleet listens on.

use anyhow::{Context, Result};
use tokio::net::TcpListener;
use turmericfold_adapter::SiteSettings;

/// The sockets that a process of the fleet listens on.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For the platform's probes.
    pub ready: TcpListener,
    /// For peers.
    pub peers: TcpListener,
}

impl Listeners {
    /// Binds all sockets.
    ///
    /// # Errors
    /// Names the address that can't be bound.
    pub async fn bind(settings: &SiteSettings) -> Result<Self> {
        Ok(Self {
            callers: bind(&settings.front_address).await?,
            ready: bind(&settings.ready_address).await?,
            peers: bind(&settings.peer_address).await?,
        })
    }
}

async fn bind(address: &str) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("can't listen on {address}"))
}
