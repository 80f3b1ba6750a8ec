//! Decisions about tasks, without a network.

use rstest::rstest;
use turmericfold_fleet::policy::evacuation::{EvacuationCandidate, should_stop_now};
use turmericfold_fleet::policy::interference::{FillerUse, InterferenceModel};
use turmericfold_fleet::policy::pacing::{FillerTask, ServingTask, filler_paces};

fn uses(image: &str, share: f64) -> Vec<FillerUse> {
    vec![FillerUse {
        image: image.into(),
        share,
    }]
}

/// Lets `heavy` take 8 and `light` 1 slack for a whole worker.
fn learned() -> InterferenceModel {
    let mut interference = InterferenceModel::default();
    for round in 0..60 {
        let share = if round % 2 == 0 { 0.2 } else { -0.2 };
        interference.observe(&"desk".into(), 8.0 * share, &uses("heavy", share));
        interference.observe(&"desk".into(), 1.0 * share, &uses("light", share));
    }
    interference
}

#[test]
fn effects_are_learned() {
    let interference = learned();
    let heavy = interference.effect(&"desk".into(), &"heavy".into());
    let light = interference.effect(&"desk".into(), &"light".into());
    assert!((7.0..9.0).contains(&heavy), "{heavy}");
    assert!((0.8..1.3).contains(&light), "{light}");
}

fn filler(image: &str, is_late: bool) -> FillerTask {
    FillerTask {
        image: image.into(),
        pace_percent: 100.0,
        is_late,
        progress_percent: 0,
        full_pace_share: 0.25,
    }
}

fn desk(slack: f64) -> Vec<ServingTask> {
    vec![ServingTask {
        image: "desk".into(),
        slack,
    }]
}

#[test]
fn light_goes_before_heavy() {
    let fillers = [filler("heavy", false), filler("light", false)];
    let paces = filler_paces(&learned(), &desk(2.0), &fillers);
    assert_eq!(paces[1], 100.0, "the light filler disturbs little");
    assert!((10.0..60.0).contains(&paces[0]), "{}", paces[0]);
}

#[test]
fn no_slack_halts_fillers() {
    let paces = filler_paces(&learned(), &desk(0.9), &[filler("heavy", false)]);
    assert_eq!(paces, [0.0]);
}

#[test]
fn late_jobs_go_last() {
    let fillers = [filler("heavy", true), filler("heavy", false)];
    let paces = filler_paces(&learned(), &desk(2.5), &fillers);
    assert!(paces[1] > paces[0], "{paces:?}");
}

fn leaving() -> EvacuationCandidate {
    EvacuationCandidate {
        worker_remaining_ms: 4_000,
        ran_ms: 1_000,
        progress_percent: 50,
        long_running: false,
        checkpointing: true,
        fits_elsewhere: true,
    }
}

#[rstest]
#[case("ends in time", leaving(), false)]
#[case("lasts, and has room elsewhere", EvacuationCandidate { long_running: true, ..leaving() }, true)]
#[case("lasts, and has none", EvacuationCandidate { long_running: true, fits_elsewhere: false, ..leaving() }, false)]
#[case("saves as late as it can", EvacuationCandidate { progress_percent: 10, ..leaving() }, false)]
#[case("saves at the last moment", EvacuationCandidate { progress_percent: 10, worker_remaining_ms: 800, ..leaving() }, true)]
#[case("would lose its work anyway", EvacuationCandidate { progress_percent: 10, checkpointing: false, ..leaving() }, true)]
fn leaving_runs_move(#[case] what: &str, #[case] run: EvacuationCandidate, #[case] stopped: bool) {
    assert_eq!(should_stop_now(run), stopped, "{what}");
}
