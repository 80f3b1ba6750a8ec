//! Jobs of fillers whose orders are refused again and again.

use turmericfold_fleet::PeerMessage;
use turmericfold_tests::job_owner::JobOwnerHarness;

/// The time between two summaries of the worker, in milliseconds: longer than a refusal keeps it
/// from being offered.
const SUMMARY_MS: u64 = 600;

/// The time for which each order is refused, in milliseconds: longer than a job may have no run.
const REFUSED_MS: u64 = 9_000;

/// The processor time that makes the worker worth it, by its owner's summary, in millicores.
const WORTHWHILE_MILLICORES: u64 = 2_000;

fn has_starved_order(harness: &JobOwnerHarness) -> bool {
    let mut messages = harness.driven.out.messages.values().flatten();
    messages.any(|message| matches!(message, PeerMessage::StartStarved(_)))
}

/// Guards against a bound on the wait that begins anew with each order that is refused.
#[test]
fn refused_orders_end_no_starvation() {
    let mut harness = JobOwnerHarness::new();
    harness.submit_filler();
    let mut refused = 0;
    for _ in 0..REFUSED_MS / SUMMARY_MS {
        harness.driven.now_ms += SUMMARY_MS;
        harness.report_spare(WORTHWHILE_MILLICORES);
        for run in harness.ordered_runs() {
            harness.refuse(run);
            refused += 1;
        }
    }
    assert!(refused > 1, "{refused} orders");
    harness.driven.out.messages.clear();
    harness.driven.now_ms += SUMMARY_MS;
    harness.report_spare(0);
    harness.driven.now_ms += SUMMARY_MS;
    harness.report_spare(0);
    assert!(has_starved_order(&harness), "the job waits on");
}
