//! Separate processes whose connections are cut and deliver afterwards what they held.

use std::path::Path;

use rstest::rstest;
use turmericfold_tests::process_fleet::{DomainSize, FleetLayout, Scenario, Script};

/// The program that the processes run.
const PROGRAM: &str = env!("CARGO_BIN_EXE_turmericfold-entry");

/// The folder for the settings and logs of the processes.
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");

fn layout() -> FleetLayout {
    let domain = |processes, workers| DomainSize { processes, workers };
    FleetLayout::new(vec![domain(3, 8), domain(2, 7), domain(2, 7)])
}

/// Runs a script, and checks that no task ran twice.
async fn check_runs(script: Script, seed: u64, faults_ms: u64) {
    let layout = layout();
    let scenario = Scenario {
        plan: script.plan(&layout, seed, faults_ms),
        load: script.load(),
        layout,
        seed,
    };
    let folder = Path::new(FOLDER).join(format!("{script:?}-{seed}-{}", std::process::id()));
    let outcome = scenario.run(Path::new(PROGRAM), &folder).await;
    assert!(outcome.accepted_jobs > 0, "no job was accepted");
    let cases: Vec<String> = outcome.cases.iter().map(ToString::to_string).collect();
    assert!(
        cases.is_empty(),
        "logs are in {}: {cases:#?}",
        folder.display()
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Guards against former owners that start runs, or keep them alive, beside the next ones.
#[rstest]
#[case::domain_cut(Script::DomainCut, 16)]
#[case::outage_at_heal(Script::OutageAtHeal, 5)]
#[case::two_cuts(Script::TwoCuts, 4)]
#[tokio::test]
async fn tasks_run_once(#[case] script: Script, #[case] seed: u64) {
    check_runs(script, seed, 0).await;
}

/// Guards against a second run of a task that a worker, which only some signs say has left, still
/// runs.
#[rstest]
#[case::draining(Script::DrainCut, 2)]
#[case::draining_too(Script::DrainCut, 3)]
#[case::misrouted(Script::Misroute, 1)]
#[tokio::test]
async fn workers_run_on(#[case] script: Script, #[case] seed: u64) {
    check_runs(script, seed, 6_000).await;
}

/// Guards against second runs that calls of former lives of workers start or prolong.
#[rstest]
#[case::first(Script::LongRecut, 1)]
#[case::second(Script::LongRecut, 3)]
#[ignore = "KNOWN-RED: 35"]
#[tokio::test]
async fn former_lives_start_nothing(#[case] script: Script, #[case] seed: u64) {
    check_runs(script, seed, 6_000).await;
}

/// Guards against second runs while workers leave and return, and calls to them are carried out
/// late.
#[rstest]
#[case::leave_return(Script::LeaveReturn, 1)]
#[case::late_calls(Script::LateCalls, 1)]
#[case::all(Script::All, 1)]
#[tokio::test]
async fn workers_change(#[case] script: Script, #[case] seed: u64) {
    check_runs(script, seed, 6_000).await;
}
