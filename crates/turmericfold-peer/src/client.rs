//! Connections to peers, which are opened on first use and then kept.

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

/// The timeout of a connection attempt, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// How long after the deadline of a forwarded request the client still waits for the
/// owner's answer, in milliseconds.
const ANSWER_GRACE_MS: u64 = 250;

/// The transport of a connection to a peer.
pub(crate) type PeerTransport<Item, SinkItem> =
    tarpc::serde_transport::Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Why a call to a peer failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerCallError {
    /// The connection was refused because no process listens at the address.
    #[error("peer {address} refused the connection")]
    Refused {
        /// The peer's address.
        address: EcoString,
    },
    /// The call was not sent.
    #[error("peer {address} can't be reached: {cause}")]
    NotSent {
        /// The peer's address.
        address: EcoString,
        /// A description of the cause, for callers and operators.
        cause: EcoString,
    },
    /// The call may have been sent, but no answer was received.
    #[error("peer {address} gave no answer: {cause}")]
    NoAnswer {
        /// The peer's address.
        address: EcoString,
        /// A description of the cause, for callers and operators.
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

/// A client for the peer service, with one connection per peer.
///
/// Clones share the connections.
#[derive(Debug, Clone, Default)]
pub struct PeerClients {
    connections: Arc<Mutex<HashMap<EcoString, PeerConnection>>>,
    key: Option<PeerKey>,
}

/// A connection to a peer.
#[derive(Debug, Clone)]
struct PeerConnection {
    client: PeerServiceClient,
    /// Whether the connection is closed, so that no further call can be sent on it.
    is_closed: Arc<AtomicBool>,
}

impl PeerClients {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the key with which connections are authenticated; `None` for no
    /// authentication.
    #[must_use]
    pub fn with_key(mut self, key: Option<PeerKey>) -> Self {
        self.key = key;
        self
    }

    /// Sends a heartbeat to the peer at `address` and returns the peer's heartbeat.
    pub async fn heartbeat(
        &self,
        address: &EcoString,
        beat: Heartbeat,
        timeout_ms: u64,
    ) -> Result<Heartbeat, PeerCallError> {
        let client = self.connect(address).await?;
        let result = client
            .heartbeat(context_with_timeout(timeout_ms), beat)
            .await;
        self.check_answer(address, result)
    }

    /// Calls the control thread of the peer at `address`.
    pub async fn control(
        &self,
        address: &EcoString,
        call: ControlCall,
        timeout_ms: u64,
    ) -> Result<ControlAnswer, PeerCallError> {
        let client = self.connect(address).await?;
        let result = client.control(context_with_timeout(timeout_ms), call).await;
        self.check_answer(address, result)
    }

    /// Sends a call about tasks to the peer at `address`.
    pub async fn task(
        &self,
        address: &EcoString,
        call: TaskCall,
        timeout_ms: u64,
    ) -> Result<TaskAnswer, PeerCallError> {
        let client = self.connect(address).await?;
        let result = client.task(context_with_timeout(timeout_ms), call).await;
        self.check_answer(address, result)
    }

    /// Forwards a request to the peer at `address`, which owns a suitable endpoint.
    pub async fn forward(
        &self,
        address: &EcoString,
        request: ForwardedRequest,
    ) -> Result<Result<ForwardedAnswer, RequestError>, PeerCallError> {
        let client = self.connect(address).await?;
        // The owner enforces the deadline and reports whether the request ran. The grace
        // period lets that report arrive, so that the outcome is unknown only if the
        // owner does not answer at all.
        let timeout_ms = request.deadline_ms + ANSWER_GRACE_MS;
        let result = client
            .forward(context_with_timeout(timeout_ms), request)
            .await;
        self.check_answer(address, result)
    }

    async fn connect(&self, address: &EcoString) -> Result<PeerServiceClient, PeerCallError> {
        let kept = self.lock().get(address).cloned();
        if let Some(kept) = kept.filter(|kept| !kept.is_closed.load(Ordering::Acquire)) {
            return Ok(kept.client);
        }
        let transport = open_transport(address, self.key.as_ref()).await?;
        let NewClient { client, dispatch } =
            PeerServiceClient::new(tarpc::client::Config::default(), transport);
        let is_closed = Arc::new(AtomicBool::new(false));
        let connection = PeerConnection {
            client: client.clone(),
            is_closed: is_closed.clone(),
        };
        // The task ends when the connection is closed or all of its clients are dropped.
        tokio::spawn(async move {
            let _ = dispatch.await;
            is_closed.store(true, Ordering::Release);
        });
        self.lock().insert(address.clone(), connection);
        Ok(client)
    }

    fn check_answer<Answer>(
        &self,
        address: &EcoString,
        result: Result<Answer, RpcError>,
    ) -> Result<Answer, PeerCallError> {
        result.map_err(|error| {
            // After a timeout, the connection remains usable for other calls.
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

/// Opens a connection to the peer at `address` and authenticates it if there is a key.
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

/// Returns a call context whose deadline is `timeout_ms` from now.
pub(crate) fn context_with_timeout(timeout_ms: u64) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + Duration::from_millis(timeout_ms);
    context
}
