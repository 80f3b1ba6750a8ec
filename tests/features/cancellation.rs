//! Every cancelled task that has not finished ends as cancelled, also in bursts and after
//! a restart of the owner, and cancellations take precedence over starts.

use turmericfold_tests::batch_world::BatchWorld;
use turmericfold_types::{Resources, TaskState};

use crate::batch_life::{configuration, spec, worker_size};

fn world() -> BatchWorld {
    BatchWorld::new(
        configuration(Resources::new(1 << 40, 1 << 60)),
        4,
        worker_size(),
    )
}

#[test]
fn burst_wins() {
    let mut world = world();
    let tasks: Vec<_> = (0..10_000)
        .map(|number| {
            let spec = spec("reports", "small", 1, 30_000);
            world.submit(&format!("task-{number}"), spec).unwrap()
        })
        .collect();
    world.run_for(2_000);
    for task in tasks.iter().chain(&tasks) {
        world.cancel(task);
    }
    world.run_for(2_000);
    let is_cancelled = |task| world.state(task) == Some(TaskState::Cancelled);
    assert!(tasks.iter().all(is_cancelled));
    assert_eq!(world.first_violation(), None);
}

#[test]
fn running_stops() {
    let mut world = world();
    let task = world
        .submit("task", spec("reports", "small", 1, 30_000))
        .unwrap();
    world.run_for(1_000);
    assert_eq!(world.state(&task), Some(TaskState::Running));
    world.cancel(&task);
    world.run_for(1_000);
    assert_eq!(world.state(&task), Some(TaskState::Cancelled));
}

#[test]
fn survives_restart() {
    let mut world = world();
    let task = world
        .submit("task", spec("reports", "small", 1, 30_000))
        .unwrap();
    world.run_for(1_000);
    let worker = world.scheduler.status(&task).unwrap().worker.unwrap();
    world.cut_off(&worker, 5_000);
    world.cancel(&task);
    world.restart_owner();
    world.run_for(20_000);
    assert_eq!(world.state(&task), Some(TaskState::Cancelled));
    assert_eq!(world.first_violation(), None);
}

#[test]
fn finished_stays() {
    let mut world = world();
    let task = world
        .submit("task", spec("reports", "small", 1, 1_000))
        .unwrap();
    world.run_for(3_000);
    world.cancel(&task);
    assert_eq!(world.state(&task), Some(TaskState::Finished));
}
