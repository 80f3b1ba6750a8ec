//! Runs that later owners of workers have found shortly before an outage of the store.

use turmericfold_fleet::PeerMessage;
use turmericfold_tests::job_owner::{JOB, JobOwnerHarness, WORKER};
use turmericfold_tests::node_parts::{process, run};
use turmericfold_types::InstanceName;

/// The duration of the outage, in milliseconds: the watch reports nothing, and no lease is renewed.
const OUTAGE_MS: u64 = 6_000;

/// The time within which the watch reports the changes before the outage once the store is back,
/// in milliseconds.
const WATCH_MS: u64 = 2_000;

/// Guards against a second run beside one that a later owner has found: after an outage, leases are
/// renewed before the watch has reported the later owner.
#[test]
fn former_owner_is_not_asked_before_the_watch() {
    let mut harness = JobOwnerHarness::new();
    harness.register();
    harness.submit();
    harness.report_usable(false);
    let found = PeerMessage::RunsFound {
        worker: InstanceName::new(WORKER),
        runs: vec![run(JOB, 1)],
    };
    harness.receive_from(process(2, 1), found);
    harness.driven.now_ms += OUTAGE_MS;
    let back_at_ms = harness.driven.now_ms;
    while harness.driven.now_ms < back_at_ms + WATCH_MS {
        let query = harness.next_query();
        let since_ms = harness.driven.now_ms - back_at_ms;
        assert_eq!(
            query, None,
            "a former owner is asked {since_ms} ms after the outage"
        );
    }
}
