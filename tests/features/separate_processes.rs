//! Separate processes whose connections are cut and deliver afterwards what they held.

use std::path::Path;

use rstest::rstest;
use turmericfold_tests::process_fleet::{
    DomainSize, FleetLayout, Scenario, Script, TwiceCase, scratch_folder,
};

/// The program that the processes run.
const PROGRAM: &str = env!("CARGO_BIN_EXE_turmericfold-entry");

fn layout() -> FleetLayout {
    let domain = |processes, workers| DomainSize { processes, workers };
    FleetLayout::new(vec![domain(3, 8), domain(2, 7), domain(2, 7)])
}

/// Guards against a former owner that starts runs on messages which a cut held back.
#[rstest]
#[case::domain_cut(Script::DomainCut, 9)]
#[case::outage_at_heal(Script::OutageAtHeal, 0)]
#[case::two_cuts(Script::TwoCuts, 0)]
#[tokio::test]
async fn tasks_run_once(#[case] script: Script, #[case] seed: u64) {
    let layout = layout();
    let scenario = Scenario {
        plan: script.plan(&layout, seed, 0),
        layout,
        seed,
    };
    let folder = scratch_folder(&format!("{script:?}"));
    let outcome = scenario.run(Path::new(PROGRAM), &folder).await;
    assert!(outcome.accepted_jobs > 0, "no job was accepted");
    let cases: &[TwiceCase] = &outcome.cases;
    assert!(
        cases.is_empty(),
        "logs are in {}: {cases:#?}",
        folder.display()
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
