//! Connections to peers, made when first needed and kept.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ecow::EcoString;
use tarpc::client::{NewClient, RpcError};
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;
use turmericfold_types::{Reason, RequestError};

use crate::auth::{PeerKey, Side, authenticate};
use crate::server::MAX_FRAME_BYTES;
use crate::{
    ControlAnswer, ControlCall, ForwardedAnswer, ForwardedRequest, Heartbeat, PeerServiceClient,
    TaskAnswer, TaskCall,
};

/// How long a connection attempt may take, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// How long after a request's deadline the owner's answer may come, in milliseconds.
const ANSWER_GRACE_MS: u64 = 250;

/// A connection to a peer, as the service's client uses it.
pub(crate) type PeerTransport<Item, SinkItem> =
    tarpc::serde_transport::Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Why a call to a peer failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerCallError {
    /// The peer's address refused the connection: no process listens there.
    #[error("peer {address} refused the connection")]
    Refused {
        /// The peer's address.
        address: EcoString,
    },
    /// The call was never sent.
    #[error("peer {address} can't be reached: {cause}")]
    NotSent {
        /// The peer's address.
        address: EcoString,
        /// The cause, for people.
        cause: EcoString,
    },
    /// The call was sent but no answer came.
    #[error("peer {address} gave no answer: {cause}")]
    NoAnswer {
        /// The peer's address.
        address: EcoString,
        /// The cause, for people.
        cause: EcoString,
    },
}

impl From<PeerCallError> for RequestError {
    fn from(error: PeerCallError) -> Self {
        let message = ecow::eco_format!("{error}");
        match error {
            PeerCallError::Refused { .. } | PeerCallError::NotSent { .. } => {
                Self::not_run(Reason::Unavailable, message)
            }
            PeerCallError::NoAnswer { .. } => Self::may_have_run(Reason::Unavailable, message),
        }
    }
}

/// A pool with one connection a peer; clones share it.
#[derive(Debug, Clone, Default)]
pub struct PeerClients {
    connections: Arc<Mutex<HashMap<EcoString, PeerConnection>>>,
    key: Option<PeerKey>,
}

/// A connection to a peer.
#[derive(Debug, Clone)]
struct PeerConnection {
    client: PeerServiceClient,
    /// Whether the connection has ended; nothing can be sent on it any more.
    ended: Arc<AtomicBool>,
}

impl PeerClients {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the key that this process and its peers prove to hold.
    #[must_use]
    pub fn with_key(mut self, key: Option<PeerKey>) -> Self {
        self.key = key;
        self
    }

    /// Sends a heartbeat to the peer at `address` and returns its own.
    pub async fn heartbeat(
        &self,
        address: &EcoString,
        beat: Heartbeat,
        timeout_ms: u64,
    ) -> Result<Heartbeat, PeerCallError> {
        let client = self.connect(address).await?;
        let result = client.heartbeat(context(timeout_ms), beat).await;
        self.check(address, result)
    }

    /// Sends a call to the control thread of the peer at `address`.
    pub async fn control(
        &self,
        address: &EcoString,
        call: ControlCall,
        timeout_ms: u64,
    ) -> Result<ControlAnswer, PeerCallError> {
        let client = self.connect(address).await?;
        let result = client.control(context(timeout_ms), call).await;
        self.check(address, result)
    }

    /// Sends a task call to the peer at `address`.
    pub async fn task(
        &self,
        address: &EcoString,
        call: TaskCall,
        timeout_ms: u64,
    ) -> Result<TaskAnswer, PeerCallError> {
        let client = self.connect(address).await?;
        let result = client.task(context(timeout_ms), call).await;
        self.check(address, result)
    }

    /// Sends a request on to the peer at `address`.
    pub async fn forward(
        &self,
        address: &EcoString,
        request: ForwardedRequest,
    ) -> Result<Result<ForwardedAnswer, RequestError>, PeerCallError> {
        let client = self.connect(address).await?;
        // The owner keeps the deadline and says what became of the request; only
        // if it does not answer is the verdict left open.
        let timeout_ms = request.deadline_ms + ANSWER_GRACE_MS;
        let result = client.forward(context(timeout_ms), request).await;
        self.check(address, result)
    }

    async fn connect(&self, address: &EcoString) -> Result<PeerServiceClient, PeerCallError> {
        let known = self.lock().get(address).cloned();
        if let Some(known) = known.filter(|known| !known.ended.load(Ordering::Acquire)) {
            return Ok(known.client);
        }
        let transport = open_transport(address, self.key.as_ref()).await?;
        let NewClient { client, dispatch } =
            PeerServiceClient::new(tarpc::client::Config::default(), transport);
        let ended = Arc::new(AtomicBool::new(false));
        let connection = PeerConnection {
            client: client.clone(),
            ended: ended.clone(),
        };
        // Ends with the connection, or once every client of it is dropped.
        tokio::spawn(async move {
            let _ = dispatch.await;
            ended.store(true, Ordering::Release);
        });
        self.lock().insert(address.clone(), connection);
        Ok(client)
    }

    fn check<Answer>(
        &self,
        address: &EcoString,
        result: Result<Answer, RpcError>,
    ) -> Result<Answer, PeerCallError> {
        result.map_err(|error| {
            // A call that timed out leaves the connection to the others.
            if !matches!(error, RpcError::DeadlineExceeded) {
                self.lock().remove(address);
            }
            PeerCallError::NoAnswer {
                address: address.clone(),
                cause: ecow::eco_format!("{error}"),
            }
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<EcoString, PeerConnection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection to the peer at `address`, authenticated if there is a key.
pub(crate) async fn open_transport<Item, SinkItem>(
    address: &EcoString,
    key: Option<&PeerKey>,
) -> Result<PeerTransport<Item, SinkItem>, PeerCallError>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let not_sent = |cause: EcoString| PeerCallError::NotSent {
        address: address.clone(),
        cause,
    };
    let attempt = TcpStream::connect(address.as_str());
    let mut stream = tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), attempt)
        .await
        .map_err(|_| not_sent("connection timed out".into()))?
        .map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => PeerCallError::Refused {
                address: address.clone(),
            },
            _ => not_sent(ecow::eco_format!("{error}")),
        })?;
    let _ = stream.set_nodelay(true);
    if let Some(key) = key {
        authenticate(&mut stream, Side::Client, key, rand::random())
            .await
            .map_err(|error| not_sent(ecow::eco_format!("not authenticated: {error}")))?;
    }
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream);
    Ok(tarpc::serde_transport::new(framed, Bincode::default()))
}

pub(crate) fn context(timeout_ms: u64) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + Duration::from_millis(timeout_ms);
    context
}
