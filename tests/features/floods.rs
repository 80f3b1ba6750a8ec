//! A flood of requests of one kind leaves the other kinds their guaranteed share and
//! their tail latency.

use rstest::rstest;
use turmericfold_measure::queueing::SimulationReport;
use turmericfold_measure::requests::{Scenario, TestedPolicy, simulate_policy, simulation_plan};

const DURATION_US: u64 = 800_000;

fn run(scenario: Scenario, tested: TestedPolicy) -> SimulationReport {
    simulate_policy(&simulation_plan(scenario, DURATION_US), tested).unwrap()
}

fn in_time_permille(report: &SimulationReport, kind: usize) -> u64 {
    let kind = &report.kinds[kind];
    kind.in_time * 1_000 / kind.arrived.max(1)
}

#[rstest]
#[case::least_urgent(2, [0, 1])]
#[case::most_urgent(0, [1, 2])]
fn others_keep_share(#[case] flooding: usize, #[case] others: [usize; 2]) {
    let report = run(Scenario::Flood { kind: flooding }, TestedPolicy::Own);
    for kind in others {
        // The other kinds need just their guaranteed share, so they have kept it if their
        // requests are answered in time.
        assert!(in_time_permille(&report, kind) >= 950, "{kind}: {report:?}");
    }
    assert!(report.kinds[flooding].refused > 0);
    assert_eq!(report.kinds[flooding].late, 0);
    assert!(report.max_running <= 8);
}

#[test]
fn fifo_loses_share() {
    // Shows that the check can fail: a single queue without admission control guarantees
    // no share.
    let report = run(Scenario::Flood { kind: 0 }, TestedPolicy::Fifo);
    assert!(in_time_permille(&report, 1) < 950);
}

#[test]
fn retries_bounded() {
    let report = run(Scenario::ThirdFails, TestedPolicy::Own);
    let starts: u64 = report.kinds.iter().map(|kind| kind.starts).sum();
    let retries: u64 = report.kinds.iter().map(|kind| kind.retries).sum();
    assert!(retries * 10 <= (starts - retries) + 10 * 30);
    let baseline = run(Scenario::ThirdFails, TestedPolicy::RoundRobin);
    let starts: u64 = baseline.kinds.iter().map(|kind| kind.starts).sum();
    let retries: u64 = baseline.kinds.iter().map(|kind| kind.retries).sum();
    assert!(retries * 10 > starts - retries);
}

#[test]
fn same_every_run() {
    let answered = |report: &SimulationReport| -> Vec<_> {
        report
            .kinds
            .iter()
            .map(|kind| (kind.in_time, kind.refused))
            .collect()
    };
    let first = run(Scenario::Mixed, TestedPolicy::Own);
    let second = run(Scenario::Mixed, TestedPolicy::Own);
    assert_eq!(answered(&first), answered(&second));
}
