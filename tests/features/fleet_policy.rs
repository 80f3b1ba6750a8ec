//! Policy decisions about tasks, tested without a network.

use rstest::rstest;
use turmericfold_fleet::policy::evacuation::{EvacuationCandidate, should_stop_now};
use turmericfold_fleet::policy::interference::{FillerUse, InterferenceModel};
use turmericfold_fleet::policy::pacing::{FillerTask, ServingTask, filler_paces};
use turmericfold_types::MonotonicMs;

fn uses(image: &str, share: f64) -> Vec<FillerUse> {
    vec![FillerUse {
        image: image.into(),
        share,
    }]
}

/// Returns a model trained with fillers that would reduce the slack by 8 (`heavy`) or by
/// 1 (`light`) if they used a whole worker.
fn learned_interference() -> InterferenceModel {
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
    let interference = learned_interference();
    let heavy = interference.effect(&"desk".into(), &"heavy".into());
    let light = interference.effect(&"desk".into(), &"light".into());
    assert!((7.0..9.0).contains(&heavy), "{heavy}");
    assert!((0.8..1.3).contains(&light), "{light}");
}

fn filler(image: &str, is_late: bool) -> FillerTask {
    FillerTask {
        image: image.into(),
        pace_percent: 100.0,
        is_pace_fixed: false,
        is_late,
        known_since: MonotonicMs::default(),
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
    let paces = filler_paces(&learned_interference(), &desk(2.0), &fillers, f64::INFINITY);
    assert_eq!(paces[1], 100.0, "the light filler interferes little");
    assert!((10.0..60.0).contains(&paces[0]), "{}", paces[0]);
}

#[test]
fn no_slack_halts_fillers() {
    let paces = filler_paces(
        &learned_interference(),
        &desk(0.9),
        &[filler("heavy", false)],
        f64::INFINITY,
    );
    assert_eq!(paces, [0.0]);
}

#[test]
fn late_jobs_go_last() {
    let fillers = [filler("heavy", true), filler("heavy", false)];
    let paces = filler_paces(&learned_interference(), &desk(2.5), &fillers, f64::INFINITY);
    assert!(paces[1] > paces[0], "{paces:?}");
}

/// Guards against a filler that is slowed down when others begin beside it, though its step ends
/// with its last task.
#[test]
fn begun_fillers_keep_pace() {
    let begun = FillerTask {
        known_since: MonotonicMs(1_000),
        ..filler("heavy", false)
    };
    let newer = FillerTask {
        known_since: MonotonicMs(2_000),
        ..filler("light", false)
    };
    let paces = filler_paces(
        &learned_interference(),
        &desk(3.2),
        &[newer, begun],
        f64::INFINITY,
    );
    assert_eq!(paces[1], 100.0, "{paces:?}");
    assert!(paces[0] < 50.0, "{paces:?}");
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
#[case("ends before the worker leaves", leaving(), false)]
#[case("long-running, fits on another worker", EvacuationCandidate { long_running: true, ..leaving() }, true)]
#[case("long-running, fits on no other worker", EvacuationCandidate { long_running: true, fits_elsewhere: false, ..leaving() }, false)]
#[case("takes its checkpoint as late as possible", EvacuationCandidate { progress_percent: 10, ..leaving() }, false)]
#[case("takes its checkpoint just before the worker leaves", EvacuationCandidate { progress_percent: 10, worker_remaining_ms: 800, ..leaving() }, true)]
#[case("cannot take a checkpoint and loses its progress in any case", EvacuationCandidate { progress_percent: 10, checkpointing: false, ..leaving() }, true)]
fn leaving_runs_move(
    #[case] scenario: &str,
    #[case] run: EvacuationCandidate,
    #[case] should_stop: bool,
) {
    assert_eq!(should_stop_now(run), should_stop, "{scenario}");
}
