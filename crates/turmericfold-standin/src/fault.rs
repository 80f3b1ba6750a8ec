//! Faults injected into calls.

use serde::{Deserialize, Serialize};

/// The faults injected into all calls to one stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallFaults {
    /// Whether every call is refused before it takes effect.
    pub outage: bool,
    /// The delay of every call before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// The share of calls that are dropped before they take effect, in thousandths.
    pub drop_permille: u32,
    /// The share of calls whose answer is lost after they took effect, in thousandths.
    pub lose_answer_permille: u32,
}

/// The fault injected into one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// The call takes effect and is answered.
    None,
    /// The call is refused before it takes effect.
    Refused,
    /// The call is dropped before it takes effect and is never answered.
    Dropped,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
}

impl CallFaults {
    /// Returns the fault of a call, given a random number from 0 to 999.
    pub fn decide(&self, drawn: u32) -> CallFault {
        if self.outage {
            CallFault::Refused
        } else if drawn < self.drop_permille {
            CallFault::Dropped
        } else if drawn < self.drop_permille + self.lose_answer_permille {
            CallFault::AnswerLost
        } else {
            CallFault::None
        }
    }
}
