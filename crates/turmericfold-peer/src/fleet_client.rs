//! Sends messages to another process of the fleet.

use ecow::EcoString;
use tarpc::client::NewClient;
use tokio::task::JoinSet;
use turmericfold_fleet::PeerMessage;
use turmericfold_types::ProcessId;

use crate::PeerCallError;
use crate::client::{context, open_transport};
use crate::fleet_server::FleetServiceClient;

/// A connection to another process of the fleet, made when first needed.
#[derive(Debug)]
pub struct FleetClient {
    address: EcoString,
    client: Option<FleetServiceClient>,
    drivers: JoinSet<()>,
}

impl FleetClient {
    /// Creates a connection to the process at `address`, IP and port.
    pub fn new(address: EcoString) -> Self {
        Self {
            address,
            client: None,
            drivers: JoinSet::new(),
        }
    }

    /// Delivers messages; a failed delivery may have arrived.
    ///
    /// # Errors
    /// Says whether the messages were sent. The next call connects anew.
    pub async fn deliver(
        &mut self,
        from: &ProcessId,
        messages: Vec<PeerMessage>,
        timeout_ms: u64,
    ) -> Result<(), PeerCallError> {
        let client = match self.client.take() {
            Some(client) => client,
            None => self.connect().await?,
        };
        let delivered = client
            .deliver(context(timeout_ms), from.clone(), messages)
            .await;
        delivered.map_err(|error| PeerCallError::NoAnswer {
            address: self.address.clone(),
            cause: ecow::eco_format!("{error}"),
        })?;
        self.client = Some(client);
        Ok(())
    }

    async fn connect(&mut self) -> Result<FleetServiceClient, PeerCallError> {
        let transport = open_transport(&self.address, None).await?;
        let NewClient { client, dispatch } =
            FleetServiceClient::new(tarpc::client::Config::default(), transport);
        // Ends with the connection, or once its client is dropped.
        self.drivers.spawn(async move {
            if let Err(error) = dispatch.await {
                log::debug!(error:% = error; "a connection to a peer has ended");
            }
        });
        while self.drivers.try_join_next().is_some() {}
        Ok(client)
    }
}
