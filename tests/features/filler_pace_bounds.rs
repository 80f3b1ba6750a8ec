//! Bounds on the harm of fillers, and on their wait, in states that last.

use rstest::rstest;
use turmericfold_tests::shared_worker::{Conditions, SharedWorker, filler_details, filler_key};

/// The longest time for which fillers may keep a task over its target, in milliseconds: the
/// shortest bound of a site.
const MAX_HARM_MS: u64 = 4_000;

/// The time for which load that leaves no slack lasts, in milliseconds.
const LOAD_MS: u64 = 30_000;

fn set_load(worker: &mut SharedWorker, slack: f64, duration_ms: u64) {
    worker.conditions.slacks = (slack, slack);
    worker.run_for(duration_ms);
}

fn assert_bounded(worker: &SharedWorker) {
    assert!(
        worker.longest_harm_ms <= MAX_HARM_MS,
        "{} ms, {:?}",
        worker.longest_harm_ms,
        worker.conditions
    );
}

/// A pace call without an answer is undone however late the worker carries it out.
#[rstest]
fn late_paces_do_no_harm(
    #[values(1_800, 2_200, 2_400, 2_600, 2_800, 2_900, 3_500, 6_000)] delay_ms: u64,
) {
    let mut worker = SharedWorker::new(Conditions {
        effect: 8.0,
        ..Conditions::default()
    });
    worker.lost_paces_delay_ms = Some(delay_ms);
    worker.start_all(1, 1, 1_000);
    set_load(&mut worker, 1.1, 5_000);
    assert_eq!(worker.pace_percent(filler_key(1)), Some(0), "under load");
    worker.lost_paces = 1;
    set_load(&mut worker, 4.0, 1_200);
    assert_eq!(worker.lost_paces, 0, "no call was lost");
    set_load(&mut worker, 1.1, LOAD_MS);
    assert_bounded(&worker);
    assert_eq!(
        worker.pace_percent(filler_key(1)),
        Some(0),
        "under load again"
    );
}

/// Runs of starved jobs that start one after the other do not keep a task over its target.
#[rstest]
fn starved_starts_do_no_harm(#[values(100, 150, 200, 400)] interval_ms: u64) {
    let mut worker = SharedWorker::new(Conditions {
        effect: 8.0,
        slacks: (1.3, 1.3),
        ..Conditions::default()
    });
    worker.start_all(1, 0, 0);
    worker.run_for(3_000);
    for number in 1..=60 {
        worker.order_starved(filler_key(number), filler_details(1_000));
        worker.run_for(interval_ms);
    }
    assert_bounded(&worker);
}

/// A filler that was slowed to nothing works again once there is some slack, however little.
#[test]
fn little_slack_is_used() {
    let mut worker = SharedWorker::new(Conditions {
        effect: 8.0,
        learned_effect: Some(8.0),
        slacks: (1.1, 1.1),
        ..Conditions::default()
    });
    worker.start_all(1, 0, 0);
    worker.run_for(3_000);
    worker.order_starved(filler_key(1), filler_details(4_000));
    worker.run_for(5_000);
    assert_eq!(worker.pace_percent(filler_key(1)), Some(0), "under load");
    set_load(&mut worker, 1.4, LOAD_MS);
    let pace_percent = worker.pace_percent(filler_key(1)).unwrap();
    assert!(pace_percent > 0, "the run never ends");
}
