//! Who waits for an answer.

use turmericfold_types::ProcessId;

use crate::{CallId, CallerAnswer, Outbox, PeerMessage};

/// Who waits for an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Caller {
    /// A caller connected to this process.
    Local(CallId),
    /// A caller connected to a peer, which has handed the request on.
    Peer {
        /// The peer.
        process: ProcessId,
        /// The number of the request there.
        call: u64,
    },
}

impl Caller {
    /// Answers the caller.
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
