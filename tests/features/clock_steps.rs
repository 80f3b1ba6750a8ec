//! The time of day jumps, and jumps back.

use rstest::rstest;
use turmericfold::fleet::WallClock;
use turmericfold_types::MonotonicMs;

/// The time of day at the start of the monotonic clock, in milliseconds since 1970.
const BASE_MS: u64 = 1_700_000_000_000;

/// The time for which a jump lasts that is a mistake, in milliseconds.
const MISTAKE_MS: u64 = 20_000;

/// The time after which a jump that lasts is followed, in milliseconds.
const FOLLOWED_MS: u64 = 31_000;

/// Reads a clock each 100 ms while the time of day is off by `step_ms`; returns the last
/// reading less the time that went by.
fn read(clock: &mut WallClock, from_ms: u64, for_ms: u64, step_ms: i64) -> u64 {
    let mut base_ms = 0;
    for now_ms in (from_ms..from_ms + for_ms).step_by(100) {
        let unix_ms = (BASE_MS + now_ms).saturating_add_signed(step_ms);
        base_ms = clock.unix_ms(MonotonicMs(now_ms), unix_ms) - now_ms;
    }
    base_ms
}

/// Guards against jobs that a jump makes late, and occurrences that it makes due.
#[rstest]
#[case::ahead(4_000)]
#[case::back(-4_000)]
fn mistakes_are_ignored(#[case] step_ms: i64) {
    let mut clock = WallClock::default();
    assert_eq!(read(&mut clock, 0, 1_000, 0), BASE_MS);
    assert_eq!(read(&mut clock, 1_000, MISTAKE_MS, step_ms), BASE_MS);
    assert_eq!(read(&mut clock, 1_000 + MISTAKE_MS, 1_000, 0), BASE_MS);
    // The next jump is judged anew.
    let later = 2_000 + MISTAKE_MS;
    assert_eq!(read(&mut clock, later, MISTAKE_MS, step_ms), BASE_MS);
}

#[rstest]
#[case::ahead(4_000)]
#[case::back(-4_000)]
fn lasting_jumps_are_followed(#[case] step_ms: i64) {
    let mut clock = WallClock::default();
    read(&mut clock, 0, 1_000, 0);
    let base_ms = read(&mut clock, 1_000, FOLLOWED_MS, step_ms);
    assert_eq!(base_ms, BASE_MS.saturating_add_signed(step_ms));
}

#[test]
fn corrections_are_followed() {
    let mut clock = WallClock::default();
    read(&mut clock, 0, 1_000, 0);
    assert_eq!(read(&mut clock, 1_000, 200, 40), BASE_MS + 40);
}
