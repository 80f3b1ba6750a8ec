//! An endpoint that misbehaves on its sockets as a script says.

use std::collections::VecDeque;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ecow::EcoString;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The largest request that is read, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// What the endpoint does with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// Answers whole and keeps the connection.
    Answer,
    /// Answers whole, announces the close, and closes.
    AnswerAndClose,
    /// Answers status 503.
    Refuse,
    /// Closes once the header was read.
    CloseAfterHeader,
    /// Closes once the whole request was read.
    CloseAfterRequest,
    /// Reads the request and never answers; the connection stays open.
    Stall,
    /// Answers with bytes that are not HTTP.
    Garbage,
    /// Announces a longer body than it sends, then closes.
    Truncate,
    /// Answers with a body of this many bytes.
    Oversize {
        /// The size.
        body_bytes: usize,
    },
    /// Answers twice on one request.
    AnswerTwice,
    /// Repeats the identifier of another request.
    WrongId,
}

/// A request as the endpoint saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// The first line.
    pub request_line: EcoString,
    /// The body.
    pub body: EcoString,
}

/// An endpoint that follows a script; clones share it.
#[derive(Debug, Clone)]
pub struct ScriptedEndpoint {
    inner: Arc<Mutex<Inner>>,
    seen: watch::Sender<usize>,
}

#[derive(Debug, Default)]
struct Inner {
    script: VecDeque<Reaction>,
    requests: Vec<ReceivedRequest>,
    connections: usize,
}

struct RawRequest {
    seen: ReceivedRequest,
    id: EcoString,
}

impl Default for ScriptedEndpoint {
    fn default() -> Self {
        Self::new()
    }
}

impl ScriptedEndpoint {
    /// Creates an endpoint that answers whole once its script has ended.
    pub fn new() -> Self {
        Self {
            inner: Arc::default(),
            seen: watch::Sender::new(0),
        }
    }

    /// Adds reactions to the next requests.
    pub fn push_reactions<Reactions>(&self, reactions: Reactions)
    where
        Reactions: IntoIterator<Item = Reaction>,
    {
        self.lock().script.extend(reactions);
    }

    /// Returns the requests read whole, in order.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.lock().requests.clone()
    }

    /// Returns how many connections were accepted.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// Waits until `count` requests were read whole.
    pub async fn wait_for_requests(&self, count: usize) {
        let mut seen = self.seen.subscribe();
        let _ = seen.wait_for(|seen| *seen >= count).await;
    }

    /// Serves until `stop` completes.
    pub async fn serve<Stop>(self, listener: TcpListener, stop: Stop)
    where
        Stop: Future<Output = ()>,
    {
        let mut connections = JoinSet::new();
        tokio::pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => break,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    self.lock().connections += 1;
                    connections.spawn(self.clone().connection(stream));
                }
                Some(_) = connections.join_next() => {}
            }
        }
        connections.shutdown().await;
    }

    async fn connection(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(head_bytes) = read_head(&mut stream, &mut buffer).await {
            let reaction = self.lock().script.pop_front().unwrap_or(Reaction::Answer);
            if reaction == Reaction::CloseAfterHeader {
                return;
            }
            let Some(request) = read_request(&mut stream, &mut buffer, head_bytes).await else {
                return;
            };
            self.lock().requests.push(request.seen.clone());
            self.seen.send_modify(|seen| *seen += 1);
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

/// Reads until the end of a header and returns its size, or `None` at the end.
async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            return Some(end + 4);
        }
        read_more(stream, buffer).await?;
    }
}

async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    head_bytes: usize,
) -> Option<RawRequest> {
    let head = String::from_utf8_lossy(&buffer[..head_bytes]).into_owned();
    let header = |wanted: &str| {
        head.lines()
            .filter_map(|line| line.split_once(':'))
            .find(|(name, _)| name.eq_ignore_ascii_case(wanted))
            .map(|(_, value)| EcoString::from(value.trim()))
    };
    let body_bytes: usize = header("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    while buffer.len() < head_bytes + body_bytes {
        read_more(stream, buffer).await?;
    }
    let body = String::from_utf8_lossy(&buffer[head_bytes..head_bytes + body_bytes]);
    let request = RawRequest {
        seen: ReceivedRequest {
            request_line: head.lines().next().unwrap_or_default().into(),
            body: body.as_ref().into(),
        },
        id: header("turmericfold-request-id").unwrap_or_default(),
    };
    buffer.drain(..head_bytes + body_bytes);
    Some(request)
}

async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 4_096];
    let read = stream.read(&mut part).await.ok()?;
    if read == 0 || buffer.len() + read > MAX_REQUEST_BYTES {
        return None;
    }
    buffer.extend_from_slice(&part[..read]);
    Some(())
}

/// Returns the bytes of the answer, or `None` if there is none.
fn answer(reaction: Reaction, request: &RawRequest) -> Option<Vec<u8>> {
    let body = format!("{} {}", request.seen.request_line, request.seen.body);
    let whole = |status: &str, extra: &str, body: &str| {
        let length = body.len();
        format!("HTTP/1.1 {status}\r\n{extra}content-length: {length}\r\n\r\n{body}").into_bytes()
    };
    match reaction {
        Reaction::Answer => {
            let id = format!("turmericfold-request-id: {}\r\n", request.id);
            Some(whole("200 OK", &id, &body))
        }
        Reaction::AnswerAndClose => Some(whole("200 OK", "connection: close\r\n", &body)),
        Reaction::Refuse => Some(whole("503 Service Unavailable", "", "busy")),
        Reaction::Garbage => Some(b"\x16\x03\x01 this is no answer\r\n\r\n".to_vec()),
        Reaction::Truncate => {
            let mut bytes = whole("200 OK", "", &body);
            bytes.truncate(bytes.len() - body.len() / 2);
            Some(bytes)
        }
        Reaction::Oversize { body_bytes } => Some(whole("200 OK", "", &"x".repeat(body_bytes))),
        Reaction::AnswerTwice => {
            let mut bytes = whole("200 OK", "", &body);
            bytes.extend(whole("200 OK", "", "the answer to another request"));
            Some(bytes)
        }
        Reaction::WrongId => {
            let id = "turmericfold-request-id: another\r\n";
            Some(whole("200 OK", id, "the answer to another request"))
        }
        Reaction::CloseAfterHeader | Reaction::CloseAfterRequest | Reaction::Stall => None,
    }
}
