//! Calls to a worker that it carries out late, or whose answers are lost.

use std::ops::Range;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The share of the calls that a fault concerns.
const AFFECTED_SHARE: f64 = 0.4;

/// The share of unanswered calls whose connection closes at once; the others stay silent.
const CLOSED_SHARE: f64 = 0.5;

/// The share of the calls that are late, where calls are late or lose their answers.
const MIXED_LATE_SHARE: f64 = 0.3;

/// The share of the other calls that lose their answers there.
const MIXED_LOST_SHARE: f64 = 0.15;

/// How late calls are carried out soon, in milliseconds.
const SOON_MS: Range<u64> = 300..4_000;

/// How late a call is carried out at most, in milliseconds.
pub(super) const LATEST_MS: u64 = 12_000;

/// How late the other late calls are carried out, in milliseconds.
const LONG_AFTER_MS: Range<u64> = 2_000..LATEST_MS;

/// The share of the late calls that are carried out soon.
const SOON_SHARE: f64 = 0.4;

/// What happens to calls to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFaultKind {
    /// They are not answered, and carried out later.
    Late,
    /// They are carried out, and not answered.
    AnswerLost,
    /// Each is treated in one of these ways.
    LateOrLost,
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

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DrawnKind {
    Late,
    AnswerLost,
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
        let Some(kind) = self.draw_kind() else {
            return Treatment::Prompt;
        };
        let silence = match self.rng.random_bool(CLOSED_SHARE) {
            true => Silence::Closed,
            false => Silence::Lasting,
        };
        match kind {
            DrawnKind::Late => Treatment::Late(self.draw_delay_ms(), silence),
            DrawnKind::AnswerLost => Treatment::AnswerLost(silence),
        }
    }

    fn draw_kind(&mut self) -> Option<DrawnKind> {
        let (late_share, lost_share) = match self.kind {
            CallFaultKind::Late => (AFFECTED_SHARE, 0.0),
            CallFaultKind::AnswerLost => (0.0, AFFECTED_SHARE),
            CallFaultKind::LateOrLost => (MIXED_LATE_SHARE, MIXED_LOST_SHARE),
        };
        if self.rng.random_bool(late_share) {
            return Some(DrawnKind::Late);
        }
        let is_lost = self.rng.random_bool(lost_share);
        is_lost.then_some(DrawnKind::AnswerLost)
    }

    fn draw_delay_ms(&mut self) -> u64 {
        let range_ms = match self.rng.random_bool(SOON_SHARE) {
            true => SOON_MS,
            false => LONG_AFTER_MS,
        };
        self.rng.random_range(range_ms)
    }
}
