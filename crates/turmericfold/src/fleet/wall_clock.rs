//! The time of day without its jumps.

use turmericfold_types::MonotonicMs;

/// The largest step of the time of day that is followed at once, in milliseconds: the clock is
/// being corrected.
const MAX_CORRECTION_MS: u64 = 250;

/// The time for which a jump must last until it is followed, in milliseconds; a clock that has
/// jumped by mistake is set back before.
const JUMP_CONFIRMATION_MS: u64 = 30_000;

/// The time of day without its jumps.
///
/// It advances with the monotonic clock, so that a jump of the time of day makes no job late
/// and no occurrence due. A jump is followed once it has lasted.
#[derive(Debug, Default)]
pub struct WallClock {
    /// The time of day at the start of the monotonic clock, in milliseconds since 1970.
    base_ms: Option<u64>,
    jumped_at: Option<MonotonicMs>,
}

impl WallClock {
    /// Returns the time of day, in milliseconds since 1970; `unix_ms` is what the operating
    /// system takes for it at `now`.
    pub fn unix_ms(&mut self, now: MonotonicMs, unix_ms: u64) -> u64 {
        let read_base_ms = unix_ms.saturating_sub(now.0);
        let base_ms = *self.base_ms.get_or_insert(read_base_ms);
        if read_base_ms.abs_diff(base_ms) <= MAX_CORRECTION_MS {
            self.follow(read_base_ms);
        } else {
            let jumped_at = *self.jumped_at.get_or_insert_with(|| {
                log::warn!(jump_ms = read_base_ms as i64 - base_ms as i64; "time of day has jumped; it is followed only if it stays so");
                now
            });
            if now.since_ms(jumped_at) >= JUMP_CONFIRMATION_MS {
                log::warn!(jump_ms = read_base_ms as i64 - base_ms as i64; "jump of the time of day has lasted; following it");
                self.follow(read_base_ms);
            }
        }
        self.base_ms.unwrap_or_default().saturating_add(now.0)
    }

    fn follow(&mut self, base_ms: u64) {
        self.base_ms = Some(base_ms);
        self.jumped_at = None;
    }
}
