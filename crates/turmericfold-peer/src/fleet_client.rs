//! Client for the fleet service: sends messages to another process of the fleet.

use ecow::EcoString;
use tarpc::client::NewClient;
use tokio::task::JoinSet;
use turmericfold_fleet::PeerMessage;
use turmericfold_types::ProcessId;

use crate::PeerCallError;
use crate::client::{context_with_timeout, open_transport};
use crate::fleet_server::FleetServiceClient;

/// A client for another process of the fleet, which connects on first use.
#[derive(Debug)]
pub struct FleetClient {
    address: EcoString,
    client: Option<FleetServiceClient>,
    connection_tasks: JoinSet<()>,
}

impl FleetClient {
    /// Creates a client for the process at `address`, given as IP and port.
    pub fn new(address: EcoString) -> Self {
        Self {
            address,
            client: None,
            connection_tasks: JoinSet::new(),
        }
    }

    /// Delivers messages in order.
    ///
    /// # Errors
    /// Returns [`PeerCallError::Refused`] or [`PeerCallError::NotSent`] if the messages
    /// were not sent, and [`PeerCallError::NoAnswer`] if they may have arrived. The next
    /// call opens a new connection.
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
            .deliver(context_with_timeout(timeout_ms), from.clone(), messages)
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
        // The task ends when the connection is closed or its client is dropped.
        self.connection_tasks.spawn(async move {
            if let Err(error) = dispatch.await {
                log::debug!(error:% = error; "a connection to a peer ended with an error");
            }
        });
        while self.connection_tasks.try_join_next().is_some() {}
        Ok(client)
    }
}
