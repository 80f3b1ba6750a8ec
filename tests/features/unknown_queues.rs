//! Submissions to queues that the configuration of the job's owner lacks.

use std::collections::BTreeMap;

use turmericfold_fleet::{CallerAnswer, Configuration, Event, RefusalReason};
use turmericfold_tests::fleet_world::configuration;
use turmericfold_tests::shard_owner::{JOB, ShardOwner};

/// The number of ticks of the harness in which a request times out.
const TIMEOUT_TICKS: u32 = 20;

/// Returns an owner without the queue, to which a job was submitted.
fn asked_owner() -> ShardOwner {
    let mut owner = ShardOwner::new();
    owner.acquire(5);
    owner.driven.deliver(configuration_event(
        2,
        Configuration {
            queues: BTreeMap::new(),
            ..configuration()
        },
    ));
    // What the store said before the submission tells nothing of the queue.
    owner.confirm_configuration();
    owner.submit(1, JOB);
    owner.driven.deliver(Event::Tick);
    owner
}

fn configuration_event(version: u64, content: Configuration) -> Event {
    let configuration = Configuration { version, ..content };
    Event::Configuration(configuration.into())
}

fn take_answer(owner: &mut ShardOwner) -> Option<CallerAnswer> {
    let reply = owner.driven.out.replies.pop()?;
    Some(reply.answer)
}

/// Guards against 404 for a queue that only the process which the caller asked knows yet.
#[test]
fn newer_queue_is_awaited() {
    let mut owner = asked_owner();
    assert_eq!(take_answer(&mut owner), None);
    owner
        .driven
        .deliver(configuration_event(3, configuration()));
    owner.driven.deliver(Event::Tick);
    assert_eq!(take_answer(&mut owner), None);
    assert!(owner.take_accept().is_some(), "the job is not stored");
}

#[test]
fn confirmed_owner_refuses() {
    let mut owner = asked_owner();
    owner.confirm_configuration();
    let answer = take_answer(&mut owner);
    assert_eq!(answer, Some(CallerAnswer::NoSuchQueue));
}

/// Guards against a caller that is told nothing while the store is out.
#[test]
fn unconfirmed_owner_refuses_later() {
    let mut owner = asked_owner();
    for _ in 0..TIMEOUT_TICKS {
        owner.driven.deliver(Event::Tick);
    }
    let answer = take_answer(&mut owner);
    let Some(CallerAnswer::Refused { reason, .. }) = answer else {
        panic!("not refused: {answer:?}");
    };
    assert_eq!(reason, RefusalReason::ConfigurationUnconfirmed);
    assert!(owner.take_accept().is_none(), "a refused job is stored");
}
