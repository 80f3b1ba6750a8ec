//! The pace of fillers beside tasks with a latency target: no task is over its target for long
//! because of fillers, also if the learned effects are wrong or calls are lost.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use turmericfold_fleet::policy::interference::{FillerUse, InterferenceModel};
use turmericfold_fleet::policy::pacing::{FillerTask, MIN_SLACK, ServingTask, filler_paces};
use turmericfold_fleet::{StartOutcome, StartRefusal};
use turmericfold_tests::captured_logs::{self, LogLine};
use turmericfold_tests::shared_worker::{
    Conditions, LOST_CALL_MS, SharedWorker, filler_details, filler_key, serving_details,
    serving_key,
};
use turmericfold_types::MonotonicMs;

/// The longest time for which fillers may keep a task over its target, in milliseconds: clearly
/// less than the shortest bound of a site, 4 s.
const MAX_HARM_MS: u64 = 3_000;

/// The duration of a simulation, in milliseconds.
const SIMULATED_MS: u64 = 60_000;

/// The interval of the orders of further fillers, in milliseconds.
const ORDER_INTERVAL_MS: u64 = 1_500;

/// The most fillers that are ordered.
const MAX_FILLERS: u64 = 14;

/// Returns a worker on which the load of the tasks rises again and again; without fillers they
/// stay below their target.
fn swinging_worker(
    rng: &mut StdRng,
    effect: f64,
    learned: f64,
    (min_slack, noise): (f64, f64),
) -> SharedWorker {
    let conditions = Conditions {
        effect,
        learned_effect: Some(learned),
        slacks: (rng.random_range(3.0..5.0), rng.random_range(1.05..1.6)),
        period_ms: rng.random_range(8..24) * 1_000,
        min_slack,
        noise,
    };
    let mut worker = SharedWorker::new(conditions);
    worker.start_all(rng.random_range(1..7), rng.random_range(3..7), 1_000);
    worker
}

#[rstest]
#[case("right estimates", 3.0, 3.0, 0.02)]
#[case("the effect is a tenth of the learned one", 1.2, 12.0, 0.02)]
#[case("the effect is ten times the learned one", 12.0, 1.2, 0.02)]
#[case("the effect is a twentieth of the learned one", 2.0, 40.0, 0.02)]
#[case("tails rise no further in saturation", 4.0, 8.0, 0.3)]
#[case(
    "tails rise no further, and the effect is learned as nil",
    6.0,
    0.0,
    0.5
)]
fn harm_is_bounded(
    #[case] scenario: &str,
    #[case] effect: f64,
    #[case] learned: f64,
    #[case] min_slack: f64,
    #[values(0.0, 0.2)] noise: f64,
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut worker = swinging_worker(&mut rng, effect, learned, (min_slack, noise));
    let mut ordered = 7;
    let until_ms = worker.now_ms() + SIMULATED_MS;
    while worker.now_ms() < until_ms {
        worker.run_for(ORDER_INTERVAL_MS);
        if ordered < MAX_FILLERS {
            ordered += 1;
            worker.order(filler_key(ordered), filler_details(500));
        }
    }
    assert!(
        worker.longest_harm_ms <= MAX_HARM_MS,
        "{scenario}: {} ms, {:?}",
        worker.longest_harm_ms,
        worker.conditions
    );
}

/// Pace calls that get no answer, and take no effect or a late one, do not prolong it much.
#[rstest]
fn lost_calls_do_no_harm(
    #[values(None, Some(0), Some(1_500))] delay_ms: Option<u64>,
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut worker = swinging_worker(&mut rng, 4.0, 4.0, (0.02, 0.0));
    worker.lost_paces_delay_ms = delay_ms;
    let until_ms = worker.now_ms() + SIMULATED_MS;
    while worker.now_ms() < until_ms {
        worker.run_for(ORDER_INTERVAL_MS);
        worker.lost_paces = u32::from(rng.random_bool(0.3));
    }
    assert!(
        worker.longest_harm_ms <= MAX_HARM_MS,
        "{} ms, {:?}",
        worker.longest_harm_ms,
        worker.conditions
    );
}

/// With right estimates and in calm, fillers use the slack that the tasks have to spare.
#[rstest]
#[case("all run at full pace", 4.0, 2.0, 0.75)]
#[case("they share what is left", 2.0, 3.0, (2.0 - MIN_SLACK) / 3.0)]
fn calm_fillers_use_the_slack(
    #[case] scenario: &str,
    #[case] slack: f64,
    #[case] effect: f64,
    #[case] expected_share: f64,
) {
    let mut worker = SharedWorker::new(Conditions {
        effect,
        learned_effect: Some(effect),
        slacks: (slack, slack),
        ..Conditions::default()
    });
    worker.start_all(3, 6, 1_000);
    worker.run_for(10_000);
    worker.paced_share_sum = 0.0;
    let started_ms = worker.now_ms();
    worker.run_for(SIMULATED_MS);
    let steps = (worker.now_ms() - started_ms) as f64 / 10.0;
    let mean_share = worker.paced_share_sum / steps;
    assert!(
        mean_share >= expected_share * 0.93,
        "{scenario}: {mean_share} of {expected_share}"
    );
}

/// A filler that a former owner has slowed down gets its full pace back.
#[test]
fn found_fillers_are_paced() {
    let mut worker = SharedWorker::new(Conditions::default());
    worker.add_found(filler_key(1), filler_details(1_000), 0);
    worker.run_for(4_000);
    assert_eq!(worker.pace_percent(filler_key(1)), Some(100));
    assert_eq!(worker.pace_calls.len(), 1, "{:?}", worker.pace_calls);
}

fn set_load(worker: &mut SharedWorker, slack: f64, duration_ms: u64) {
    worker.conditions.slacks = (slack, slack);
    worker.run_for(duration_ms);
}

/// A filler whose pace call got no answer is slowed down, or gets its full pace back, in spite
/// of that.
#[rstest]
fn lost_paces_are_set_again(
    #[values(None, Some(0))] delay_ms: Option<u64>,
    #[values(true, false)] is_raise_lost: bool,
) {
    let mut worker = SharedWorker::new(Conditions::default());
    worker.lost_paces_delay_ms = delay_ms;
    worker.start_all(1, 1, 1_000);
    worker.run_for(5_000);
    worker.lost_paces = u32::from(!is_raise_lost);
    set_load(&mut worker, 1.1, 5_000);
    assert_eq!(worker.pace_percent(filler_key(1)), Some(0), "under load");
    worker.lost_paces = u32::from(is_raise_lost);
    set_load(&mut worker, 4.0, 10_000);
    assert_eq!(worker.pace_percent(filler_key(1)), Some(100), "in calm");
}

/// A pace call beside a late task that gets no answer is repeated once that is known, not only at
/// the next poll.
#[test]
fn lost_paces_are_set_again_at_once() {
    let mut worker = SharedWorker::new(Conditions::default());
    worker.start_all(1, 1, 1_000);
    worker.run_for(3_000);
    worker.lost_paces = 1;
    set_load(&mut worker, 0.9, 3_000);
    let (first, second) = (&worker.pace_calls[0], &worker.pace_calls[1]);
    assert_eq!((first.1.percent, second.1.percent), (0, 0));
    let steps_ms = 20;
    assert!(second.0 - first.0 <= LOST_CALL_MS + steps_ms);
}

/// A pace call without an answer that takes effect after a later call is undone.
#[test]
fn late_paces_are_undone() {
    let mut worker = SharedWorker::new(Conditions {
        effect: 8.0,
        ..Conditions::default()
    });
    worker.lost_paces_delay_ms = Some(1_800);
    worker.start_all(1, 1, 1_000);
    set_load(&mut worker, 1.1, 5_000);
    assert_eq!(worker.pace_percent(filler_key(1)), Some(0), "under load");
    worker.lost_paces = 1;
    set_load(&mut worker, 4.0, 1_200);
    set_load(&mut worker, 1.1, 10_000);
    assert_eq!(worker.lost_paces, 0, "no call was lost");
    assert_eq!(
        worker.pace_percent(filler_key(1)),
        Some(0),
        "under load again"
    );
}

/// No filler begins on a worker on which a task has just come over its target.
#[test]
fn none_begins_beside_a_late_task() {
    let mut worker = SharedWorker::new(Conditions {
        slacks: (4.0, 0.9),
        ..Conditions::default()
    });
    worker.start_all(2, 1, 1_000);
    let start_ms = worker.now_ms();
    worker.run_for(12_500 - start_ms % 20_000);
    worker.order(filler_key(2), filler_details(1_000));
    worker.run_for(100);
    let refused = StartOutcome::Refused(StartRefusal::NoRoom);
    assert_eq!(worker.outcomes.get(&filler_key(2)), Some(&refused));
    // A run with a latency target may begin.
    worker.order(serving_key(3), serving_details());
    worker.run_for(100);
    let outcome = worker.outcomes.get(&serving_key(3));
    assert_eq!(outcome, Some(&StartOutcome::Started));
}

/// The time after which a measurement shows the effect of a pace call, in milliseconds: it spans
/// half a second, and the call takes effect after a tenth.
const MEASURED_AFTER_MS: u64 = 600;

/// While fillers work beside a task over its target, polls come as often as measurements change.
#[test]
fn late_tasks_are_polled_more_often() {
    let mut worker = SharedWorker::new(Conditions {
        effect: 1.2,
        learned_effect: Some(40.0),
        slacks: (4.0, 1.2),
        ..Conditions::default()
    });
    worker.start_all(3, 6, 1_000);
    worker.run_for(40_000);
    let waits: Vec<u64> = worker
        .poll_waits
        .iter()
        .map(|(_, wait_ms)| *wait_ms)
        .collect();
    let short = waits
        .iter()
        .filter(|wait_ms| **wait_ms <= MEASURED_AFTER_MS)
        .count();
    assert!(short > 0, "{waits:?}");
    assert!(short * 4 < waits.len(), "{waits:?}");
}

/// Fillers that each keep a little too much do not together push a task below its slack.
#[test]
fn small_reductions_add_up() {
    let mut interference = InterferenceModel::default();
    for round in 0..200 {
        let share = if round % 2 == 0 { 0.2 } else { -0.2 };
        let uses = [FillerUse {
            image: "scan".into(),
            share,
        }];
        interference.observe(&"desk".into(), 8.0 * share, &uses);
    }
    let effect = interference.effect(&"desk".into(), &"scan".into());
    let share = 0.05;
    let filler = |pace_percent| FillerTask {
        image: "scan".into(),
        pace_percent,
        is_pace_fixed: false,
        is_late: false,
        known_since: MonotonicMs::default(),
        progress_percent: 0,
        full_pace_share: share,
    };
    let fillers: Vec<FillerTask> = [55.0, 5.0, 5.0, 5.0, 5.0, 5.0].map(filler).to_vec();
    let slack = MIN_SLACK + 0.5 * share * effect;
    let serving = [ServingTask {
        image: "desk".into(),
        slack,
    }];
    let paces = filler_paces(&interference, &serving, &fillers, f64::INFINITY);
    let loss: f64 = paces.iter().map(|pace| pace / 100.0 * share * effect).sum();
    assert!(slack - loss >= MIN_SLACK - 1e-6, "{paces:?}");
}

/// A task over its target beside fillers that work is logged, at most once for each decision.
#[test]
fn late_tasks_are_logged() {
    let mut worker = SharedWorker::new(Conditions {
        effect: 1.2,
        learned_effect: Some(40.0),
        ..Conditions::default()
    });
    worker.start_all(2, 6, 1_000);
    captured_logs::capture();
    worker.run_for(8_000);
    let is_late = |line: &LogLine| line.message.contains("over its latency target");
    assert!(!captured_logs::take().iter().any(is_late), "in calm");
    set_load(&mut worker, 1.2, 2_500);
    let lines: Vec<LogLine> = captured_logs::take().into_iter().filter(is_late).collect();
    assert!((1..=5).contains(&lines.len()), "{lines:?}");
    let fields = &lines[0].fields;
    let number = |name: &str| fields[name].parse::<f64>().unwrap();
    assert!(fields.contains_key("worker") && fields.contains_key("run"));
    assert_eq!(number("target_ms"), 150.0);
    assert!(number("tail_ms") > 150.0, "{fields:?}");
    assert_eq!(number("over_ms"), 0.0);
    assert!(number("predicted_slack") > 0.0, "{fields:?}");
    assert_eq!(number("fillers"), 6.0);
    assert!((0.0..0.8).contains(&number("filler_share")), "{fields:?}");
    assert_eq!(number("unpaced"), 0.0);
}

/// A filler whose pace call is not answered yet keeps the slack that it was given: a filler that
/// starts meanwhile does not get it too.
#[test]
fn slack_is_given_once() {
    let mut worker = SharedWorker::new(Conditions {
        effect: 8.0,
        learned_effect: Some(8.0),
        slacks: (6.0, 6.0),
        ..Conditions::default()
    });
    worker.start_all(1, 0, 0);
    worker.run_for(3_000);
    for number in 1..=8 {
        worker.add_found(filler_key(number), filler_details(250), 0);
    }
    worker.lost_paces = 8;
    worker.lost_paces_delay_ms = Some(0);
    worker.conditions.slacks = (3.2, 3.2);
    while worker.pace_calls.is_empty() {
        worker.run_for(10);
    }
    worker.order_starved(filler_key(9), filler_details(250));
    worker.run_for(300);
    let outcome = worker.outcomes.get(&filler_key(9));
    assert_eq!(outcome, Some(&StartOutcome::Started));
    let pace_percent = worker.pace_percent(filler_key(9)).unwrap();
    assert!(pace_percent < 50, "{pace_percent}, {:?}", worker.pace_calls);
}

/// A new owner paces the fillers that it finds beside late tasks, though it learns what they are
/// only from the owner of their jobs.
#[test]
fn found_fillers_do_no_harm() {
    let mut worker = SharedWorker::new(Conditions {
        effect: 1.2,
        learned_effect: Some(40.0),
        slacks: (1.2, 1.2),
        ..Conditions::default()
    });
    worker.run_for(3_000);
    for number in 1..=6 {
        worker.add_found(filler_key(number), filler_details(1_000), 100);
        worker.add_found(serving_key(number), serving_details(), 100);
    }
    worker.run_for(10_000);
    assert!(worker.longest_harm_ms > 0, "the fillers harm");
    assert!(
        worker.longest_harm_ms <= MAX_HARM_MS,
        "{} ms",
        worker.longest_harm_ms
    );
}

/// Fillers slow down at the first measurement over a target, also if a pace has just been set on
/// the worker for another reason.
#[test]
fn late_tasks_are_not_kept_waiting() {
    let mut worker = SharedWorker::new(Conditions {
        effect: 1.2,
        learned_effect: Some(40.0),
        ..Conditions::default()
    });
    worker.start_all(1, 6, 1_000);
    worker.run_for(20_000);
    // The lost call is repeated after 700 ms, just before the next poll is answered.
    worker.lost_paces = 1;
    worker.conditions.slacks = (2.0, 2.0);
    let calls = worker.pace_calls.len();
    while worker.pace_calls.len() == calls {
        worker.run_for(10);
    }
    let share = worker.paced_share();
    set_load(&mut worker, 1.25, 1_100);
    assert!(
        worker.paced_share() < 0.6 * share,
        "{share}, {:?}",
        worker.pace_calls
    );
}
