//! The placement of fillers and of tasks with a latency target, tested without a network.

use std::collections::BTreeMap;
use std::sync::Arc;

use rstest::rstest;
use turmericfold_fleet::policy::filler::Filler;
use turmericfold_fleet::policy::interference::InterferenceModel;
use turmericfold_fleet::policy::offer::Offer;
use turmericfold_fleet::policy::placement::{Demand, choose_offer};
use turmericfold_fleet::{ServingSlack, WorkerSummary};
use turmericfold_jobs::StepSpec;
use turmericfold_tests::shared_workers::{Placement, SharedWorkers};
use turmericfold_types::{InstanceName, Resources, ServiceName};

/// Returns the serving image of each worker: five workers for each of two images.
fn workers() -> Vec<Option<&'static str>> {
    [[Some("desk"); 5], [Some("watch"); 5]].concat()
}

/// Returns the effects of fillers on serving images: `scan` slows mainly `desk`, `index`
/// slows mainly `watch`, and `plain` slows both little.
fn effects() -> BTreeMap<(&'static str, &'static str), f64> {
    BTreeMap::from([
        (("desk", "scan"), 12.0),
        (("desk", "index"), 1.0),
        (("desk", "plain"), 1.0),
        (("watch", "scan"), 1.0),
        (("watch", "index"), 12.0),
        (("watch", "plain"), 1.0),
    ])
}

/// Fillers complete in time if they are placed by interference, but not by first fit. They
/// need three quarters of the 80 cores that the tasks with a latency target leave free, and
/// each filler has workers on which it hardly interferes.
#[test]
fn fillers_are_matched() {
    let run = |placement| {
        let shared = SharedWorkers::new(&workers(), effects());
        shared.run(&["scan", "index", "plain"], 200, 40_000, placement)
    };
    let chosen = run(Placement::Chosen);
    let first_fit = run(Placement::FirstFit);
    assert!(
        chosen.in_time_share >= 0.9,
        "{chosen:?}, first fit {first_fit:?}"
    );
    assert!(chosen.over_target_share <= 0.01, "{chosen:?}");
    assert!(
        first_fit.in_time_share < 0.8,
        "the baseline is {first_fit:?}"
    );
}

fn offer(name: &str, free_millicores: u64, serving: &[&str]) -> Offer {
    let slack = |image: &&str| ServingSlack {
        image: (*image).into(),
        slack_permille: 1_800,
        swing_permille: 900,
    };
    let cores = |cpu_millicores| Resources {
        cpu_millicores,
        ..Resources::default()
    };
    let summary = WorkerSummary {
        worker: name.into(),
        service: "rounds".into(),
        capacity: cores(16_000),
        free: cores(free_millicores),
        spare_millicores: 8_000,
        serving: serving.iter().map(slack).collect(),
        usable: true,
        ..WorkerSummary::default()
    };
    Offer::new(Arc::new(summary), true)
}

fn desk_step() -> StepSpec {
    StepSpec {
        long_running: true,
        image: "desk".into(),
        latency_target_ms: Some(24),
        ..StepSpec::new(
            4,
            Resources {
                cpu_millicores: 3_000,
                ..Resources::default()
            },
            1_000,
        )
    }
}

#[rstest]
#[case("beside a task of its own job", &[("w-1", 1)], "w-1")]
#[case("where the whole job fits, beside the same image", &[], "w-2")]
#[case("where the rest of the job fits, not on a full worker", &[("w-0", 3)], "w-0")]
fn jobs_stay_together(
    #[case] scenario: &str,
    #[case] placed: &[(&str, u32)],
    #[case] expected: &str,
) {
    let offers = [
        offer("w-0", 3_000, &["desk"]),
        offer("w-1", 9_000, &["watch"]),
        offer("w-2", 13_000, &["desk"]),
        offer("w-3", 16_000, &[]),
        offer("w-4", 13_000, &["watch"]),
    ];
    let step = desk_step();
    let service = ServiceName::from("rounds");
    let placed = placed.iter().map(|(name, count)| ((*name).into(), *count));
    let siblings: BTreeMap<InstanceName, u32> = placed.collect();
    let demand = Demand {
        step: &step,
        service: &service,
        siblings_by_worker: &siblings,
        failed_on: &[],
        is_starved: false,
    };
    let chosen =
        choose_offer(&InterferenceModel::default(), demand, &offers).map(|index| &offers[index]);
    let chosen = chosen.map(|offer| offer.worker.worker.clone());
    assert_eq!(chosen, Some(expected.into()), "{scenario}");
}

#[test]
fn slack_is_used_up() {
    let filler = StepSpec {
        filler: true,
        latency_target_ms: None,
        long_running: false,
        image: "scan".into(),
        ..desk_step()
    };
    let mut offer = offer("w-0", 16_000, &["desk"]);
    let interference = InterferenceModel::default();
    let before = offer.speed_permille(&interference, Filler::of_step(&filler));
    offer.reserve_step(&interference, &filler);
    offer.reserve_step(&interference, &filler);
    let after = offer.speed_permille(&interference, Filler::of_step(&filler));
    assert!(before > after, "{before} and then {after}");
}
