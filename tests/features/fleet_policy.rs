//! Decisions about tasks, without a network.

use rstest::rstest;
use turmericfold_fleet::policy::disturbance::{Disturbance, FillerUse};
use turmericfold_fleet::policy::evacuation::{LeavingRun, is_stopped_now};
use turmericfold_fleet::policy::pacing::{FillerTask, ServingTask, paces};

fn uses(image: &str, share: f64) -> Vec<FillerUse> {
    vec![FillerUse {
        image: image.into(),
        share,
    }]
}

/// Lets `heavy` take 8 and `light` 1 slack for a whole worker.
fn learned() -> Disturbance {
    let mut disturbance = Disturbance::default();
    for round in 0..60 {
        let share = if round % 2 == 0 { 0.2 } else { -0.2 };
        disturbance.observe(&"desk".into(), 8.0 * share, &uses("heavy", share));
        disturbance.observe(&"desk".into(), 1.0 * share, &uses("light", share));
    }
    disturbance
}

#[test]
fn effects_are_learned() {
    let disturbance = learned();
    let heavy = disturbance.effect(&"desk".into(), &"heavy".into());
    let light = disturbance.effect(&"desk".into(), &"light".into());
    assert!((7.0..9.0).contains(&heavy), "{heavy}");
    assert!((0.8..1.3).contains(&light), "{light}");
}

fn filler(image: &str, late: bool) -> FillerTask {
    FillerTask {
        image: image.into(),
        percent: 100.0,
        late,
        progress_percent: 0,
        full_share: 0.25,
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
    let paces = paces(&learned(), &desk(2.0), &fillers);
    assert_eq!(paces[1], 100.0, "the light filler disturbs little");
    assert!((10.0..60.0).contains(&paces[0]), "{}", paces[0]);
}

#[test]
fn no_slack_halts_fillers() {
    let paces = paces(&learned(), &desk(0.9), &[filler("heavy", false)]);
    assert_eq!(paces, [0.0]);
}

#[test]
fn late_jobs_go_last() {
    let fillers = [filler("heavy", true), filler("heavy", false)];
    let paces = paces(&learned(), &desk(2.5), &fillers);
    assert!(paces[1] > paces[0], "{paces:?}");
}

fn leaving() -> LeavingRun {
    LeavingRun {
        stays_ms: 4_000,
        ran_ms: 1_000,
        percent: 50,
        long_running: false,
        checkpointing: true,
        room_elsewhere: true,
    }
}

#[rstest]
#[case("ends in time", leaving(), false)]
#[case("lasts, and has room elsewhere", LeavingRun { long_running: true, ..leaving() }, true)]
#[case("lasts, and has none", LeavingRun { long_running: true, room_elsewhere: false, ..leaving() }, false)]
#[case("saves as late as it can", LeavingRun { percent: 10, ..leaving() }, false)]
#[case("saves at the last moment", LeavingRun { percent: 10, stays_ms: 800, ..leaving() }, true)]
#[case("would lose its work anyway", LeavingRun { percent: 10, checkpointing: false, ..leaving() }, true)]
fn leaving_runs_move(#[case] what: &str, #[case] run: LeavingRun, #[case] stopped: bool) {
    assert_eq!(is_stopped_now(run), stopped, "{what}");
}
