//! Calls to a worker that it carries out late, or whose answers are lost.

use std::ops::Range;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The share of the calls that a fault concerns.
const AFFECTED_SHARE: f64 = 0.4;

/// The share of unanswered calls whose connection closes at once; the others stay silent.
const CLOSED_SHARE: f64 = 0.5;

/// How late calls are carried out, in milliseconds.
const LATE_MS: Range<u64> = 300..12_000;

/// What happens to calls to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFaultKind {
    /// They are not answered, and carried out later.
    Late,
    /// They are carried out, and not answered.
    AnswerLost,
}

/// How the sender of an unanswered call learns of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Silence {
    /// The connection closes.
    Closed,
    /// Nothing happens.
    Lasting,
}

/// How a worker treats a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Treatment {
    /// It carries the call out, and answers.
    Prompt,
    /// It carries the call out after a time in milliseconds, and does not answer.
    Late(u64, Silence),
    /// It carries the call out, and does not answer.
    AnswerLost(Silence),
}

/// Draws what happens to the calls to one worker.
#[derive(Debug)]
pub(super) struct CallFaults {
    kind: CallFaultKind,
    rng: StdRng,
}

impl CallFaults {
    /// Creates faults that vary with a seed.
    pub(super) fn new(kind: CallFaultKind, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { kind, rng }
    }

    /// Returns how the next call is treated.
    pub(super) fn draw(&mut self) -> Treatment {
        if !self.rng.random_bool(AFFECTED_SHARE) {
            return Treatment::Prompt;
        }
        let silence = match self.rng.random_bool(CLOSED_SHARE) {
            true => Silence::Closed,
            false => Silence::Lasting,
        };
        match self.kind {
            CallFaultKind::Late => Treatment::Late(self.rng.random_range(LATE_MS), silence),
            CallFaultKind::AnswerLost => Treatment::AnswerLost(silence),
        }
    }
}
