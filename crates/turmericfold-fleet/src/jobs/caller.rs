//! The callers that wait for answers.

use turmericfold_types::ProcessId;

use crate::{CallId, CallerAnswer, Outbox, PeerMessage};

/// A caller that waits for an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Caller {
    /// A caller connected to this process.
    Local(CallId),
    /// A caller connected to a peer, which has forwarded the request.
    Peer {
        /// The peer.
        process: ProcessId,
        /// The identifier of the request at the peer.
        call: u64,
    },
}

impl Caller {
    /// Sends the answer to the caller.
    pub(crate) fn answer(&self, answer: CallerAnswer, out: &mut Outbox) {
        match self {
            Self::Local(call) => out.reply(*call, answer),
            Self::Peer { process, call } => {
                out.send(
                    process,
                    PeerMessage::Answer {
                        call: *call,
                        answer,
                    },
                );
            }
        }
    }
}
