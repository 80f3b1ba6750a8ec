//! An endpoint that follows a script of correct answers and protocol faults.

use std::collections::VecDeque;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ecow::EcoString;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::accept::accept_until;

/// The size above which a request is not read and its connection is closed.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// The reaction of the endpoint to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// Sends a complete answer and keeps the connection open.
    Answer,
    /// Sends a complete answer with `connection: close` and closes the connection.
    AnswerAndClose,
    /// Answers with status 503.
    Refuse,
    /// Closes the connection after reading the header.
    CloseAfterHeader,
    /// Closes the connection after reading the whole request.
    CloseAfterRequest,
    /// Reads the request, never answers and keeps the connection open.
    Stall,
    /// Sends bytes that are not HTTP.
    Garbage,
    /// Sends only half of the announced body, then closes the connection.
    Truncate,
    /// Answers with a body of the given size.
    Oversize {
        /// The size of the body.
        body_bytes: usize,
    },
    /// Sends two answers to one request.
    AnswerTwice,
    /// Answers with the identifier of another request.
    WrongId,
}

/// A request that the endpoint has read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// The first line, with the method, the path and the HTTP version.
    pub request_line: EcoString,
    /// The body.
    pub body: EcoString,
}

/// An endpoint that follows a script; clones share its state.
#[derive(Debug, Clone)]
pub struct ScriptedEndpoint {
    inner: Arc<Mutex<Inner>>,
    /// The number of requests read.
    request_count: watch::Sender<usize>,
}

#[derive(Debug, Default)]
struct Inner {
    script: VecDeque<Reaction>,
    requests: Vec<ReceivedRequest>,
    connections: usize,
}

/// A request with its `turmericfold-request-id`, which is empty if there was none.
struct IdentifiedRequest {
    received: ReceivedRequest,
    id: EcoString,
}

impl Default for ScriptedEndpoint {
    fn default() -> Self {
        Self::new()
    }
}

impl ScriptedEndpoint {
    /// Creates an endpoint with an empty script.
    ///
    /// Without a scripted reaction it reacts with [`Reaction::Answer`].
    pub fn new() -> Self {
        Self {
            inner: Arc::default(),
            request_count: watch::Sender::new(0),
        }
    }

    /// Appends reactions to the script, one for each request.
    pub fn push_reactions<Reactions>(&self, reactions: Reactions)
    where
        Reactions: IntoIterator<Item = Reaction>,
    {
        self.lock().script.extend(reactions);
    }

    /// Returns the completely read requests, in order.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.lock().requests.clone()
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// Waits until at least `count` requests were read completely.
    pub async fn wait_for_requests(&self, count: usize) {
        let mut request_count = self.request_count.subscribe();
        let _ = request_count
            .wait_for(|request_count| *request_count >= count)
            .await;
    }

    /// Accepts connections until `stop` completes, then closes them.
    pub async fn serve<Stop>(self, listener: TcpListener, stop: Stop)
    where
        Stop: Future<Output = ()>,
    {
        accept_until(listener, stop, |stream| {
            self.lock().connections += 1;
            self.clone().serve_connection(stream)
        })
        .await;
    }

    async fn serve_connection(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(header_bytes) = read_header(&mut stream, &mut buffer).await {
            let reaction = self.lock().script.pop_front().unwrap_or(Reaction::Answer);
            if reaction == Reaction::CloseAfterHeader {
                return;
            }
            let Some(request) = read_request(&mut stream, &mut buffer, header_bytes).await else {
                return;
            };
            self.lock().requests.push(request.received.clone());
            self.request_count
                .send_modify(|request_count| *request_count += 1);
            let Some(answer) = answer(reaction, &request) else {
                if reaction == Reaction::Stall {
                    std::future::pending::<()>().await;
                }
                return;
            };
            if stream.write_all(&answer).await.is_err() {
                return;
            }
            if matches!(reaction, Reaction::AnswerAndClose | Reaction::Truncate) {
                return;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads up to the end of a header and returns its size, or `None` if the connection
/// ended or the header is too large.
async fn read_header(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            return Some(end + 4);
        }
        read_more(stream, buffer).await?;
    }
}

/// Reads the body of the request whose header is in `buffer`, and removes the request
/// from `buffer`.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    header_bytes: usize,
) -> Option<IdentifiedRequest> {
    let header = String::from_utf8_lossy(&buffer[..header_bytes]).into_owned();
    let value_of = |wanted: &str| {
        header
            .lines()
            .filter_map(|line| line.split_once(':'))
            .find(|(name, _)| name.eq_ignore_ascii_case(wanted))
            .map(|(_, value)| EcoString::from(value.trim()))
    };
    let body_bytes: usize = value_of("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    while buffer.len() < header_bytes + body_bytes {
        read_more(stream, buffer).await?;
    }
    let body = String::from_utf8_lossy(&buffer[header_bytes..header_bytes + body_bytes]);
    let request = IdentifiedRequest {
        received: ReceivedRequest {
            request_line: header.lines().next().unwrap_or_default().into(),
            body: body.as_ref().into(),
        },
        id: value_of("turmericfold-request-id").unwrap_or_default(),
    };
    buffer.drain(..header_bytes + body_bytes);
    Some(request)
}

/// Appends received bytes to `buffer`; returns `None` if the connection ended or
/// `buffer` would become too large.
async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 4_096];
    let read = stream.read(&mut chunk).await.ok()?;
    if read == 0 || buffer.len() + read > MAX_REQUEST_BYTES {
        return None;
    }
    buffer.extend_from_slice(&chunk[..read]);
    Some(())
}

/// Returns the bytes of the answer, or `None` if the reaction sends none.
fn answer(reaction: Reaction, request: &IdentifiedRequest) -> Option<Vec<u8>> {
    let body = format!(
        "{} {}",
        request.received.request_line, request.received.body
    );
    let response = |status: &str, headers: &str, body: &str| {
        let length = body.len();
        format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}").into_bytes()
    };
    match reaction {
        Reaction::Answer => {
            let id = format!("turmericfold-request-id: {}\r\n", request.id);
            Some(response("200 OK", &id, &body))
        }
        Reaction::AnswerAndClose => Some(response("200 OK", "connection: close\r\n", &body)),
        Reaction::Refuse => Some(response("503 Service Unavailable", "", "busy")),
        Reaction::Garbage => Some(b"\x16\x03\x01 this is no answer\r\n\r\n".to_vec()),
        Reaction::Truncate => {
            let mut bytes = response("200 OK", "", &body);
            bytes.truncate(bytes.len() - body.len() / 2);
            Some(bytes)
        }
        Reaction::Oversize { body_bytes } => Some(response("200 OK", "", &"x".repeat(body_bytes))),
        Reaction::AnswerTwice => {
            let mut bytes = response("200 OK", "", &body);
            bytes.extend(response("200 OK", "", "the answer to another request"));
            Some(bytes)
        }
        Reaction::WrongId => {
            let id = "turmericfold-request-id: another\r\n";
            Some(response("200 OK", id, "the answer to another request"))
        }
        Reaction::CloseAfterHeader | Reaction::CloseAfterRequest | Reaction::Stall => None,
    }
}
