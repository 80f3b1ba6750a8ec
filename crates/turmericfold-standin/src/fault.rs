//! Faults of calls.

use serde::{Deserialize, Serialize};

/// Faults injected into calls to one stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallFaults {
    /// Whether every call is refused before it takes effect.
    pub outage: bool,
    /// How long every answer is delayed, in milliseconds.
    pub delay_ms: u64,
    /// Thousandths of calls that are dropped before they take effect.
    pub drop_permille: u32,
    /// Thousandths of calls whose answer is lost after they took effect.
    pub lose_answer_permille: u32,
}

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// Nothing.
    None,
    /// It is refused before it takes effect.
    Refused,
    /// It vanishes before it takes effect.
    Dropped,
    /// Its answer is lost after it took effect.
    AnswerLost,
}

impl CallFaults {
    /// Returns what happens to a call, given a number drawn from 0 to 999.
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
