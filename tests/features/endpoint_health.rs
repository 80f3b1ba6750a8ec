//! Slow and failing endpoints are distinguished from busy ones, get less load and are
//! probed.

use rstest::rstest;
use turmericfold_config::Configuration;
use turmericfold_policy::requests::{
    AdaptiveLimit, AdmissionRequest, EndpointDeclaration, EndpointHealth, FULL_WEIGHT_PERMILLE,
    Grant, GrantEnd, Offer, Outcome, RequestScheduler,
};
use turmericfold_types::{Epoch, InstanceName, MonotonicMs};

const CONFIGURATION: &str = "
profiles:
  counter: { room: { guaranteed_permille: 500, ceiling_permille: 1000 }, urgency: urgent }
services:
  visits: { profile: counter, deadline_ms: 1000, max_run_ms: 100, queue_requests: 1000 }
fleet: { failure_domains: [ahmedabad], shards_per_failure_domain: 1, store_calls_per_s: 10 }
";

const ENDPOINTS: usize = 10;

fn scheduler() -> RequestScheduler {
    let configuration: Configuration = Configuration::parse("test", CONFIGURATION).unwrap();
    let mut scheduler = RequestScheduler::new();
    scheduler.configure(&configuration, &"visits".into());
    let declarations: Vec<_> = (0..ENDPOINTS).map(declaration).collect();
    scheduler.set_endpoints(MonotonicMs(0), &declarations);
    scheduler
}

fn declaration(index: usize) -> EndpointDeclaration {
    EndpointDeclaration {
        name: name(index),
        epoch: Epoch(1),
        slots: 8,
        leaving: false,
        blocked_until: MonotonicMs(0),
    }
}

fn name(index: usize) -> InstanceName {
    InstanceName::new(ecow::eco_format!("endpoint-{index}"))
}

fn admission_request(now: MonotonicMs) -> AdmissionRequest {
    AdmissionRequest {
        service: "visits".into(),
        team: None,
        bytes: 1,
        deadline: now + 1_000,
        idempotent: true,
    }
}

fn answered(service_us: u64) -> GrantEnd {
    GrantEnd::Answered {
        service_us,
        unavailable: false,
        connection_reusable: true,
    }
}

/// Offers as many requests as there are endpoints in each millisecond, ends those that are
/// granted, and returns the grants per endpoint; `end` returns how a request ends on an
/// endpoint.
fn drive<Ends>(scheduler: &mut RequestScheduler, from_ms: u64, to_ms: u64, end: Ends) -> Vec<u32>
where
    Ends: Fn(usize) -> GrantEnd,
{
    let mut grants = vec![0; ENDPOINTS];
    for now_ms in from_ms..to_ms {
        let now = MonotonicMs(now_ms);
        let batch: Vec<Grant> = (0..ENDPOINTS)
            .filter_map(
                |_| match scheduler.offer(now, &admission_request(now), None) {
                    Ok(Offer::Granted(grant)) => Some(grant),
                    _ => None,
                },
            )
            .collect();
        for grant in batch {
            let index = (0..ENDPOINTS)
                .find(|index| scheduler.endpoint(&name(*index)) == Some(grant.endpoint))
                .unwrap();
            grants[index] += 1;
            scheduler.end(now, grant, end(index));
        }
        let _ = scheduler.advance(now);
    }
    grants
}

fn weight(scheduler: &RequestScheduler, index: usize) -> u32 {
    let key = scheduler.endpoint(&name(index)).unwrap();
    scheduler.weight_permille(key).unwrap()
}

#[rstest]
#[case::failing(GrantEnd::Answered { service_us: 1_000, unavailable: true, connection_reusable: true })]
#[case::slow(answered(200_000))]
fn unhealthy_endpoint_shed(#[case] unhealthy_end: GrantEnd) {
    let mut scheduler = scheduler();
    drive(&mut scheduler, 0, 500, |_| answered(10_000));
    let end = |index| {
        if index == 0 {
            unhealthy_end
        } else {
            answered(10_000)
        }
    };
    drive(&mut scheduler, 500, 1_000, end);
    // The load is reduced gradually: a step each quarter of a second may halve the weight,
    // and half a second has two steps.
    assert!(weight(&scheduler, 0) >= FULL_WEIGHT_PERMILLE / 4);
    drive(&mut scheduler, 1_000, 5_000, end);
    assert_eq!(weight(&scheduler, 0), 0);
    let grants = drive(&mut scheduler, 5_000, 9_000, end);
    // The endpoint gets only probes, each at least half a second after the previous one.
    assert!((1..=9).contains(&grants[0]), "{grants:?}");
    // After its recovery, the endpoint has its full weight again.
    drive(&mut scheduler, 9_000, 20_000, |_| answered(10_000));
    assert_eq!(weight(&scheduler, 0), FULL_WEIGHT_PERMILLE);
}

#[test]
fn busy_not_unhealthy() {
    let mut scheduler = scheduler();
    let now = MonotonicMs(0);
    let mut grants = Vec::new();
    while let Ok(Offer::Granted(grant)) = scheduler.offer(now, &admission_request(now), None) {
        grants.push(grant);
    }
    assert_eq!(grants.len(), ENDPOINTS * 8);
    for grant in grants {
        scheduler.end(MonotonicMs(20), grant, answered(20_000));
    }
    assert!((0..ENDPOINTS).all(|index| weight(&scheduler, index) == FULL_WEIGHT_PERMILLE));
}

#[test]
fn shedding_capped() {
    let mut scheduler = scheduler();
    drive(&mut scheduler, 0, 10_000, |_| GrantEnd::Answered {
        service_us: 1_000,
        unavailable: true,
        connection_reusable: true,
    });
    let weights: u32 = (0..ENDPOINTS).map(|index| weight(&scheduler, index)).sum();
    // At least three fifths of the fleet stay in use, however many endpoints fail.
    assert!(weights >= 6 * FULL_WEIGHT_PERMILLE, "{weights}");
}

#[test]
fn unknown_not_blamed() {
    let mut health = EndpointHealth::new();
    for now_ms in 0..10_000 {
        health.observe(MonotonicMs(now_ms), Outcome::Unknown, 1_000);
    }
    assert_eq!(health.weight_permille(), FULL_WEIGHT_PERMILLE);
}

#[test]
fn limit_follows() {
    let mut limit = AdaptiveLimit::new(8);
    for _ in 0..64 {
        limit.observe(3_000, 8);
    }
    assert!(limit.get() < 8);
    for _ in 0..2_000 {
        limit.observe(3_000, 8);
    }
    assert_eq!(limit.get(), 1);
    for _ in 0..2_000 {
        limit.observe(1_000, limit.get());
        assert!(limit.get() <= 8);
    }
    assert_eq!(limit.get(), 8);
}

#[test]
fn refused_left_alone() {
    let mut scheduler = scheduler();
    drive(&mut scheduler, 0, 100, |_| answered(10_000));
    let refused = |index| {
        if index == 3 {
            GrantEnd::Refused
        } else {
            answered(10_000)
        }
    };
    let grants = drive(&mut scheduler, 100, 10_100, refused);
    // There is one attempt after each backoff delay, and the delays grow.
    assert!(grants[3] <= 8, "{grants:?}");
}

#[test]
fn blocked_not_used() {
    let mut scheduler = scheduler();
    let declarations: Vec<_> = (0..ENDPOINTS)
        .map(|index| EndpointDeclaration {
            epoch: Epoch(2),
            blocked_until: MonotonicMs(500),
            ..declaration(index)
        })
        .collect();
    scheduler.set_endpoints(MonotonicMs(0), &declarations);
    let now = MonotonicMs(100);
    let long_deadline = AdmissionRequest {
        deadline: now + 600,
        ..admission_request(now)
    };
    let short_deadline = AdmissionRequest {
        deadline: now + 300,
        ..admission_request(now)
    };
    assert!(scheduler.offer(now, &short_deadline, None).is_err());
    assert!(matches!(
        scheduler.offer(now, &long_deadline, None),
        Ok(Offer::Queued(_))
    ));
    assert!(scheduler.advance(MonotonicMs(499)).is_empty());
    assert_eq!(scheduler.advance(MonotonicMs(500)).len(), 1);
}
