//! The promises under each class of faults, as listed in the table of
//! `docs/PROMISES.md`.

mod fault_class;

use rstest::rstest;
use turmericfold_standin::WorkerViolation;
use turmericfold_tests::fuzz::HistoryViolation;
use turmericfold_tests::world::Violation;

use fault_class::{FaultClass, broken_under};

fn assert_none(class: FaultClass, concerns: fn(&HistoryViolation) -> bool) {
    let broken: Vec<_> = broken_under(class).into_iter().filter(concerns).collect();
    assert_eq!(broken, []);
}

#[rstest]
#[case::instance_loss(FaultClass::InstanceLoss)]
#[case::process_death(FaultClass::ProcessDeath)]
#[case::process_pause(FaultClass::ProcessPause)]
#[case::store_outage(FaultClass::StoreOutage)]
#[case::store_slow(FaultClass::StoreSlow)]
#[case::answer_lost(FaultClass::AnswerLost)]
#[case::lease_lapse(FaultClass::LeaseLapse)]
#[case::operator_race(FaultClass::OperatorRace)]
#[case::cancel_burst(FaultClass::CancelBurst)]
#[case::broken_worker(FaultClass::BrokenWorker)]
#[case::link_trouble(FaultClass::LinkTrouble)]
#[case::combined(FaultClass::Combined)]
fn no_overload(#[case] class: FaultClass) {
    assert_none(class, |broken| {
        matches!(
            broken,
            HistoryViolation::Endpoint(_)
                | HistoryViolation::World(Violation::Worker(WorkerViolation::Overload { .. }))
        )
    });
}

#[rstest]
#[case::instance_loss(FaultClass::InstanceLoss)]
#[case::process_death(FaultClass::ProcessDeath)]
#[case::process_pause(FaultClass::ProcessPause)]
#[case::store_outage(FaultClass::StoreOutage)]
#[case::store_slow(FaultClass::StoreSlow)]
#[case::answer_lost(FaultClass::AnswerLost)]
#[case::lease_lapse(FaultClass::LeaseLapse)]
#[case::operator_race(FaultClass::OperatorRace)]
#[case::cancel_burst(FaultClass::CancelBurst)]
#[case::broken_worker(FaultClass::BrokenWorker)]
#[case::combined(FaultClass::Combined)]
fn one_place(#[case] class: FaultClass) {
    assert_none(class, breaks_one_place);
}

#[test]
fn one_place_link_trouble() {
    assert_none(FaultClass::LinkTrouble, breaks_one_place);
}

fn breaks_one_place(broken: &HistoryViolation) -> bool {
    matches!(
        broken,
        HistoryViolation::World(
            Violation::TwoOwners { .. }
                | Violation::TwoRuns { .. }
                | Violation::Worker(WorkerViolation::DoubleRun { .. })
        )
    )
}

#[rstest]
#[case::process_death(FaultClass::ProcessDeath)]
#[case::process_pause(FaultClass::ProcessPause)]
#[case::store_outage(FaultClass::StoreOutage)]
#[case::store_slow(FaultClass::StoreSlow)]
#[case::answer_lost(FaultClass::AnswerLost)]
#[case::lease_lapse(FaultClass::LeaseLapse)]
#[case::operator_race(FaultClass::OperatorRace)]
#[case::cancel_burst(FaultClass::CancelBurst)]
#[case::link_trouble(FaultClass::LinkTrouble)]
#[case::combined(FaultClass::Combined)]
fn runs_once(#[case] class: FaultClass) {
    assert_none(class, |broken| {
        matches!(
            broken,
            HistoryViolation::World(
                Violation::ResumedTwice { .. }
                    | Violation::RunAfterEnd { .. }
                    | Violation::TaskLost { .. }
            )
        )
    });
}

#[rstest]
#[case::instance_loss(FaultClass::InstanceLoss)]
#[case::process_death(FaultClass::ProcessDeath)]
#[case::process_pause(FaultClass::ProcessPause)]
#[case::store_outage(FaultClass::StoreOutage)]
#[case::store_slow(FaultClass::StoreSlow)]
#[case::answer_lost(FaultClass::AnswerLost)]
#[case::lease_lapse(FaultClass::LeaseLapse)]
#[case::cancel_burst(FaultClass::CancelBurst)]
#[case::broken_worker(FaultClass::BrokenWorker)]
#[case::link_trouble(FaultClass::LinkTrouble)]
#[case::combined(FaultClass::Combined)]
fn at_most_once(#[case] class: FaultClass) {
    assert_none(class, |broken| {
        matches!(
            broken,
            HistoryViolation::World(Violation::StartedAgain { .. })
        )
    });
}

#[rstest]
#[case::process_death(FaultClass::ProcessDeath)]
#[case::process_pause(FaultClass::ProcessPause)]
#[case::store_outage(FaultClass::StoreOutage)]
#[case::store_slow(FaultClass::StoreSlow)]
#[case::answer_lost(FaultClass::AnswerLost)]
#[case::lease_lapse(FaultClass::LeaseLapse)]
#[case::operator_race(FaultClass::OperatorRace)]
#[case::link_trouble(FaultClass::LinkTrouble)]
#[case::combined(FaultClass::Combined)]
fn configuration_stays(#[case] class: FaultClass) {
    assert_none(class, |broken| {
        matches!(
            broken,
            HistoryViolation::Revision(_) | HistoryViolation::World(Violation::RevisionFell { .. })
        )
    });
}
