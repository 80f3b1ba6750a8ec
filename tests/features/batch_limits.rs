//! Limits on workers, teams, failures and automatic changes.

use turmericfold_config::Configuration;
use turmericfold_policy::batch::BatchEvent;
use turmericfold_standin::{KindBehaviour, KindBehaviours};
use turmericfold_tests::batch_world::BatchWorld;
use turmericfold_types::{Group, Reason, Resources, TaskState};

use crate::batch_life::{GIB, configuration, spec, worker_size};

fn ample_configuration() -> Configuration {
    configuration(Resources::new(1 << 40, 1 << 60))
}

fn world(workers: u32) -> BatchWorld {
    let behaviours = [
        ("filler", 4, 600),
        ("quick", 4, 10),
        ("flood", 8, 4),
        ("low", 8, 2),
    ]
    .map(|(kind, cores, run_s)| (kind.into(), behaviour(cores, run_s)));
    BatchWorld::new(ample_configuration(), workers, worker_size())
        .with_behaviours(KindBehaviours::from(behaviours))
}

fn behaviour(cores: u64, run_s: u64) -> KindBehaviour {
    KindBehaviour {
        cpu_millicores: cores * 1_000,
        memory_bytes: cores * GIB,
        min_run_ms: run_s * 1_000,
        ..KindBehaviour::default()
    }
}

#[test]
fn too_large() {
    let mut world = world(2);
    world.run_for(400);
    let error = world
        .scheduler
        .check(&spec("reports", "small", 64, 1_000))
        .unwrap_err();
    assert_eq!(error.reason, Reason::Infeasible);
    assert_eq!(error.message, "needs 64 cores; the largest worker has 16");
}

#[test]
fn no_workers() {
    let mut world = world(0);
    let task = world
        .submit("task", spec("reports", "small", 1, 1_000))
        .unwrap();
    world.run_for(400);
    let detail = world.scheduler.status(&task).unwrap().detail;
    assert_eq!(detail, "the shard has no workers now");
    world.add_worker();
    world.run_for(4_000);
    assert_eq!(world.state(&task), Some(TaskState::Finished));
}

#[test]
fn urgent_first() {
    let mut world = world(4);
    for number in 0..40 {
        world.submit(
            &format!("low-{number}"),
            spec("reports", "filler", 4, 600_000),
        );
    }
    world.run_for(60_000);
    let tasks: Vec<_> = (0..4)
        .map(|number| {
            let spec = spec("visits", "quick", 4, 10_000);
            world.submit(&format!("high-{number}"), spec).unwrap()
        })
        .collect();
    world.run_for(1_400);
    let is_running = |task| world.state(task) == Some(TaskState::Running);
    assert!(tasks.iter().all(is_running));
    assert_eq!(world.first_violation(), None);
}

#[test]
fn least_urgent() {
    let mut world = world(1);
    world.submit("first", spec("visits", "flood", 8, 4_000));
    let low = world
        .submit("low", spec("reports", "low", 8, 2_000))
        .unwrap();
    for number in 0..150 {
        world.submit(&format!("high-{number}"), spec("visits", "flood", 8, 4_000));
        world.run_for(1_000);
    }
    assert_eq!(world.state(&low), Some(TaskState::Finished));
}

#[test]
fn team_returns() {
    let mut world = world(2);
    for number in 0..16 {
        let spec = spec("reports", "filler", 4, 600_000);
        world.submit(&format!("low-{number}"), spec);
    }
    world.run_for(60_000);
    let mut other = spec("reports", "filler", 4, 600_000);
    other.team = "orchards".into();
    let task = world.submit("other", other).unwrap();
    world.run_for(30_000);
    assert_eq!(world.state(&task), Some(TaskState::Running));
    assert_eq!(world.oracle.evictions(), 1);
    assert_eq!(world.first_violation(), None);
}

#[test]
fn leaving_worker() {
    let mut world = world(2);
    let task = world
        .submit("task", spec("reports", "filler", 4, 600_000))
        .unwrap();
    world.run_for(2_000);
    let worker = world.scheduler.status(&task).unwrap().worker.unwrap();
    world.handle_event(BatchEvent::WorkerDraining {
        worker: worker.clone(),
    });
    world.run_for(2_000);
    let status = world.scheduler.status(&task).unwrap();
    assert_eq!(status.state, TaskState::Running);
    assert_ne!(status.worker, Some(worker));
    assert_eq!(world.first_violation(), None);
}

#[test]
fn group_together() {
    let mut world = world(2);
    world.run_for(400);
    let member = |size| {
        let mut member = spec("reports", "small", 4, 5_000);
        let name = "trace".into();
        member.group = Some(Group { name, size });
        member
    };
    let first = world.submit("one", member(2)).unwrap();
    world.run_for(2_000);
    assert_eq!(world.state(&first), Some(TaskState::Queued));
    let second = world.submit("two", member(2)).unwrap();
    world.run_for(600);
    assert_eq!(world.state(&first), Some(TaskState::Running));
    assert_eq!(world.state(&second), Some(TaskState::Running));
    assert!(world.scheduler.check(&member(65)).is_err());
}

#[test]
fn bad_job() {
    let bad = KindBehaviour {
        always_fails: true,
        ..behaviour(1, 1)
    };
    let behaviours = KindBehaviours::from([("bad".into(), bad), ("good".into(), behaviour(1, 1))]);
    let mut world = world(8).with_behaviours(behaviours);
    let task = world
        .submit("bad", spec("reports", "bad", 1, 1_000))
        .unwrap();
    for number in 0..30 {
        world.submit(&format!("good-{number}"), spec("reports", "good", 1, 1_000));
    }
    world.run_for(30_000);
    assert_eq!(world.state(&task), Some(TaskState::Quarantined));
    let ejected = world
        .changes
        .iter()
        .filter(|change| format!("{change:?}").contains("ejected"));
    assert_eq!(ejected.count(), 0);
    assert_eq!(world.unfinished(), vec![]);
}

#[test]
fn bad_worker() {
    let mut world = world(10);
    let broken = world.worker(3).unwrap();
    world.break_worker(&broken, true);
    let mut tasks = Vec::new();
    for number in 0..200 {
        let spec = spec("reports", "flood", 8, 4_000);
        tasks.extend(world.submit(&format!("task-{number}"), spec));
        world.run_for(200);
    }
    world.run_for(60_000);
    let is_finished = |task: &&_| world.state(task) == Some(TaskState::Finished);
    assert_eq!(tasks.iter().filter(is_finished).count(), 200);
    let ejected = format!("{:?}", world.changes);
    assert!(ejected.contains(&format!("worker {broken}")));
    world.break_worker(&broken, false);
    for number in 200..400 {
        world.submit(
            &format!("task-{number}"),
            spec("reports", "flood", 8, 4_000),
        );
        world.run_for(2_000);
    }
    assert!(format!("{:?}", world.changes).contains("brought back"));
}

#[test]
fn frozen_changes() {
    let mut configuration = ample_configuration();
    configuration.fleet.freeze_automatic_changes = true;
    let behaviour = KindBehaviour {
        cpu_millicores: 200,
        memory_bytes: GIB / 4,
        min_run_ms: 5_000,
        ..KindBehaviour::default()
    };
    let behaviours = KindBehaviours::from([("small".into(), behaviour)]);
    let mut frozen =
        BatchWorld::new(configuration, 2, worker_size()).with_behaviours(behaviours.clone());
    let mut not_frozen = world(2).with_behaviours(behaviours);
    for world in [&mut frozen, &mut not_frozen] {
        let before = world.changes.len();
        for number in 0..40 {
            world.submit(
                &format!("task-{number}"),
                spec("reports", "small", 2, 5_000),
            );
        }
        world.run_for(120_000);
        world.changes.drain(..before);
    }
    assert!(frozen.changes.is_empty());
    assert!(!not_frozen.changes.is_empty());
}
