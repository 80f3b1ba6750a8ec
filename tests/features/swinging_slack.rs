//! Fillers that are ordered on a worker whose tasks have a load that swings.

use rstest::rstest;
use turmericfold_fleet::{StartOutcome, StartRefusal};
use turmericfold_tests::shared_worker::{Conditions, SharedWorker, filler_details, filler_key};

/// The number of the swings before the order.
const SWINGS: u64 = 3;

/// The time from a change of the load to the order, in milliseconds: more than a measurement spans.
const SINCE_CHANGE_MS: u64 = 2_000;

/// The time in which an order is answered, in milliseconds.
const ANSWER_MS: u64 = 100;

/// Guards against fillers that begin where the load has just risen and wait where it has just fallen,
/// as the slack of earlier swings is taken for the present one.
#[rstest]
#[case(
    "the load has just risen",
    1,
    500,
    StartOutcome::Refused(StartRefusal::NoRoom)
)]
#[case("the load has just fallen", 2, 1_000, StartOutcome::Started)]
fn present_slack_counts(
    #[case] scenario: &str,
    #[case] half_swings: u64,
    #[case] wanted_millicores: u64,
    #[case] expected: StartOutcome,
) {
    let conditions = Conditions {
        learned_effect: Some(2.0),
        slacks: (4.0, 1.2),
        ..Conditions::default()
    };
    let half_ms = conditions.period_ms / 2;
    let mut worker = SharedWorker::new(conditions);
    worker.start_all(2, 0, 0);
    let order_at_ms = (SWINGS * 2 + half_swings) * half_ms + SINCE_CHANGE_MS;
    worker.run_for(order_at_ms - worker.now_ms());
    worker.order(filler_key(1), filler_details(wanted_millicores));
    worker.run_for(ANSWER_MS);
    let outcome = worker.outcomes.get(&filler_key(1));
    assert_eq!(outcome, Some(&expected), "{scenario}");
}
