//! Tasks with a latency target that share workers, so that others are left to fillers.

use std::collections::BTreeMap;
use std::sync::Arc;

use rstest::rstest;
use turmericfold_fleet::policy::interference::InterferenceModel;
use turmericfold_fleet::policy::offer::Offer;
use turmericfold_fleet::policy::placement::{Demand, choose_offer};
use turmericfold_fleet::{ServingSlack, WorkerSummary};
use turmericfold_jobs::StepSpec;
use turmericfold_types::{Resources, ServiceName};

/// Returns a step that is too wide for any one worker.
fn step() -> StepSpec {
    StepSpec {
        long_running: true,
        image: "watch".into(),
        latency_target_ms: Some(150),
        ..StepSpec::new(24, Resources::new(2_000, 1 << 30), 500)
    }
}

fn offer(name: &str, is_own: bool, free_millicores: u64, is_serving: bool) -> Offer {
    let slack = ServingSlack {
        image: "watch".into(),
        slack_permille: 1_800,
        swing_permille: 900,
    };
    let summary = WorkerSummary {
        worker: name.into(),
        service: "rounds".into(),
        capacity: Resources::new(16_000, 64 << 30),
        free: Resources::new(free_millicores, 32 << 30),
        spare_millicores: 8_000,
        serving: is_serving.then_some(slack).into_iter().collect(),
        usable: true,
        ..WorkerSummary::default()
    };
    Offer::new(Arc::new(summary), is_own)
}

/// Guards against tasks with a latency target on nearly every worker, so that fillers are slowed
/// down wherever they run.
#[rstest]
#[case("not on an own worker without such tasks", &[offer("empty", true, 16_000, false), offer("used", false, 9_000, true)], 1)]
#[case("in the tightest gap, of whatever process", &[offer("own", true, 9_000, true), offer("tight", false, 2_500, true)], 1)]
#[case("on an own worker of those that fit as tightly", &[offer("other", false, 2_500, true), offer("own", true, 2_500, true)], 1)]
#[case("not where there is no room", &[offer("own", true, 9_000, true), offer("full", false, 1_500, true)], 0)]
fn gaps_are_filled_first(
    #[case] scenario: &str,
    #[case] offers: &[Offer],
    #[case] expected: usize,
) {
    let (step, service) = (step(), ServiceName::from("rounds"));
    let demand = Demand {
        step: &step,
        service: &service,
        siblings_by_worker: &BTreeMap::new(),
        failed_on: &[],
        is_starved: false,
    };
    let chosen = choose_offer(&InterferenceModel::default(), demand, offers);
    assert_eq!(chosen, Some(expected), "{scenario}");
}
