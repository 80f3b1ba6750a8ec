//! Verdicts, slots and connections when endpoints close connections, stall or send faulty
//! answers.

use std::collections::BTreeMap;
use std::sync::Arc;

use ecow::EcoString;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use turmericfold_config::Configuration;
use turmericfold_control::{ControlSnapshot, OwnedEndpoint};
use turmericfold_peer::{ForwardedAnswer, ForwardedRequest};
use turmericfold_platform::{BootClock, Clock};
use turmericfold_policy::requests::AdmissionRequest;
use turmericfold_standin::{Reaction, ScriptedEndpoint};
use turmericfold_traffic::{EndpointPool, SlotGuard, SlotOffer, dispatch};
use turmericfold_types::{Epoch, MonotonicMs, Reason, RequestError, ServiceName, Verdict};

const ANSWER_BYTES: usize = 64 << 10;

const CONFIGURATION: &str = "
profiles:
  counter: { room: { guaranteed_permille: 400, ceiling_permille: 1000 }, urgency: urgent }
services:
  visits: { profile: counter, deadline_ms: 1000, max_run_ms: 60000, queue_requests: 100 }
fleet: { failure_domains: [ahmedabad], shards_per_failure_domain: 1, store_calls_per_s: 10 }
";

/// A pool with one scripted endpoint.
struct PoolFixture {
    endpoint: ScriptedEndpoint,
    address: EcoString,
    pool: EndpointPool,
    servers: JoinSet<()>,
}

impl PoolFixture {
    async fn start(slots: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = ecow::eco_format!("{}", listener.local_addr().unwrap());
        let endpoint = ScriptedEndpoint::new();
        let mut servers = JoinSet::new();
        servers.spawn(endpoint.clone().serve(listener, std::future::pending()));
        let fixture = Self {
            endpoint,
            address,
            pool: EndpointPool::new(),
            servers,
        };
        fixture.declare(slots, Epoch(1), false);
        fixture
    }

    fn declare(&self, slots: u32, epoch: Epoch, leaving: bool) {
        let configuration: Configuration = Configuration::parse("test", CONFIGURATION).unwrap();
        let owned = OwnedEndpoint {
            name: "endpoint-0".into(),
            service: "visits".into(),
            address: self.address.clone(),
            slots,
            connections: 64,
            leaving,
            blocked_until: MonotonicMs(0),
            shard: "ahmedabad-0".parse().unwrap(),
            epoch,
        };
        self.pool.update(&ControlSnapshot {
            ready: true,
            configuration: Arc::new(configuration),
            endpoints: vec![owned],
            owners: BTreeMap::new(),
            ..ControlSnapshot::default()
        });
    }

    fn slot(&self) -> Option<SlotGuard> {
        let request = admission_request(10_000);
        self.pool.try_slot(&service(), &request, None)
    }

    async fn send(&self, number: u32, deadline_ms: u64) -> Result<ForwardedAnswer, RequestError> {
        let slot = self.slot().unwrap();
        dispatch(slot, request(number, deadline_ms), ANSWER_BYTES, |_| true).await
    }

    fn taken_slots(&self) -> u32 {
        self.pool.group_load(&service()).taken
    }

    async fn stop(mut self) {
        self.servers.shutdown().await;
    }
}

fn service() -> ServiceName {
    ServiceName::new("visits")
}

fn admission_request(timeout_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        service: service(),
        team: None,
        bytes: 100,
        deadline: BootClock.now() + timeout_ms,
        idempotent: true,
    }
}

fn request(number: u32, deadline_ms: u64) -> ForwardedRequest {
    ForwardedRequest {
        id: ecow::eco_format!("request-{number}"),
        service: service(),
        method: "POST".into(),
        path: ecow::eco_format!("/item/{number}"),
        headers: Vec::new(),
        body: format!("body {number}").into_bytes(),
        deadline_ms,
        idempotent: false,
        may_queue: true,
    }
}

fn is_right_answer(number: u32, answer: &ForwardedAnswer) -> bool {
    let expected = format!("POST /item/{number} HTTP/1.1 body {number}");
    answer.status == 200 && answer.body == expected.as_bytes()
}

#[rstest]
#[case::during(Reaction::CloseAfterHeader, Reason::EndpointFailed)]
#[case::after(Reaction::CloseAfterRequest, Reason::EndpointFailed)]
#[case::garbage(Reaction::Garbage, Reason::EndpointFailed)]
#[case::truncated(Reaction::Truncate, Reason::EndpointFailed)]
#[case::oversized(Reaction::Oversize { body_bytes: 65 << 10 }, Reason::AnswerTooLarge)]
#[case::wrong_id(Reaction::WrongId, Reason::EndpointFailed)]
#[tokio::test]
async fn sent_uncertain(#[case] reaction: Reaction, #[case] reason: Reason) {
    let fixture = PoolFixture::start(2).await;
    fixture.endpoint.push_reactions([reaction]);
    let error = fixture.send(1, 5_000).await.unwrap_err();
    assert_eq!((error.verdict, error.reason), (Verdict::MayHaveRun, reason));
    // The request may still be running, so its slot stays taken; the other slot is used.
    assert_eq!(fixture.taken_slots(), 1);
    assert!(is_right_answer(2, &fixture.send(2, 5_000).await.unwrap()));
    assert_eq!(fixture.taken_slots(), 1);
    assert_eq!(fixture.endpoint.connections(), 2);
    fixture.stop().await;
}

#[tokio::test]
async fn refused_connection() {
    let fixture = PoolFixture::start(2).await;
    let pool = fixture.pool.clone();
    let slot = fixture.slot().unwrap();
    fixture.stop().await;
    let error = dispatch(slot, request(1, 5_000), ANSWER_BYTES, |_| true)
        .await
        .unwrap_err();
    assert_eq!(
        (error.verdict, error.reason),
        (Verdict::NotRun, Reason::Unavailable)
    );
    // The endpoint gets no new requests, and no slot is taken.
    let load = pool.group_load(&service());
    assert_eq!((load.slots, load.taken), (0, 0));
}

#[tokio::test]
async fn expired_lease_not_run() {
    let fixture = PoolFixture::start(1).await;
    let slot = fixture.slot().unwrap();
    let error = dispatch(slot, request(1, 5_000), ANSWER_BYTES, |_| false)
        .await
        .unwrap_err();
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(fixture.taken_slots(), 0);
    assert!(is_right_answer(2, &fixture.send(2, 5_000).await.unwrap()));
    assert_eq!(fixture.endpoint.requests().len(), 1);
    fixture.stop().await;
}

#[tokio::test]
async fn stalled_request() {
    let fixture = PoolFixture::start(2).await;
    fixture.endpoint.push_reactions([Reaction::Stall]);
    let error = fixture.send(1, 50).await.unwrap_err();
    assert_eq!(
        (error.verdict, error.reason),
        (Verdict::MayHaveRun, Reason::DeadlineExceeded)
    );
    assert_eq!(fixture.taken_slots(), 1);
    // The next request uses another connection.
    assert!(is_right_answer(2, &fixture.send(2, 5_000).await.unwrap()));
    assert_eq!(fixture.endpoint.connections(), 2);
    fixture.stop().await;
}

#[tokio::test]
async fn caller_leaves() {
    let fixture = PoolFixture::start(1).await;
    fixture.endpoint.push_reactions([Reaction::Stall]);
    let slot = fixture.slot().unwrap();
    let call = tokio::spawn(dispatch(slot, request(1, 60_000), ANSWER_BYTES, |_| true));
    fixture.endpoint.wait_for_requests(1).await;
    call.abort();
    assert!(call.await.is_err());
    assert_eq!(fixture.taken_slots(), 1);
    assert!(fixture.slot().is_none());
    fixture.stop().await;
}

#[tokio::test]
async fn caller_leaves_early() {
    let fixture = PoolFixture::start(1).await;
    drop(fixture.slot().unwrap());
    assert_eq!(fixture.taken_slots(), 0);
    fixture.stop().await;
}

#[tokio::test]
async fn connection_reused() {
    let fixture = PoolFixture::start(1).await;
    for number in 0..20 {
        assert!(is_right_answer(
            number,
            &fixture.send(number, 5_000).await.unwrap()
        ));
    }
    assert_eq!(fixture.endpoint.connections(), 1);
    fixture.stop().await;
}

#[tokio::test]
async fn leftovers_dropped() {
    let fixture = PoolFixture::start(1).await;
    fixture.endpoint.push_reactions([Reaction::AnswerTwice]);
    assert!(is_right_answer(1, &fixture.send(1, 5_000).await.unwrap()));
    // The surplus answer is detected before the connection is reused, or turns the next
    // answer into an error; it never becomes the answer to another request.
    for number in 2..10 {
        if let Ok(answer) = fixture.send(number, 5_000).await {
            assert!(is_right_answer(number, &answer));
        }
        if fixture.taken_slots() > 0 {
            break;
        }
    }
    fixture.stop().await;
}

#[tokio::test]
async fn close_honoured() {
    let fixture = PoolFixture::start(2).await;
    fixture
        .endpoint
        .push_reactions([Reaction::Answer, Reaction::AnswerAndClose]);
    assert!(is_right_answer(1, &fixture.send(1, 5_000).await.unwrap()));
    assert!(is_right_answer(2, &fixture.send(2, 5_000).await.unwrap()));
    assert!(is_right_answer(3, &fixture.send(3, 5_000).await.unwrap()));
    assert_eq!(fixture.endpoint.connections(), 2);
    fixture.stop().await;
}

#[tokio::test]
async fn closing_is_leaving() {
    let fixture = PoolFixture::start(1).await;
    fixture.endpoint.push_reactions([Reaction::Answer]);
    fixture
        .endpoint
        .push_reactions([Reaction::AnswerAndClose; 2]);
    for number in 0..3 {
        assert!(is_right_answer(
            number,
            &fixture.send(number, 5_000).await.unwrap()
        ));
    }
    assert!(fixture.slot().is_none());
    fixture.stop().await;
}

#[tokio::test]
async fn leaving_gets_nothing() {
    let fixture = PoolFixture::start(2).await;
    fixture.endpoint.push_reactions([Reaction::Stall]);
    let slot = fixture.slot().unwrap();
    let call = tokio::spawn(dispatch(slot, request(1, 60_000), ANSWER_BYTES, |_| true));
    fixture.endpoint.wait_for_requests(1).await;
    fixture.declare(2, Epoch(1), true);
    assert!(fixture.slot().is_none());
    // The slot in use is still taken when the endpoint is no longer leaving.
    fixture.declare(2, Epoch(1), false);
    assert_eq!(fixture.taken_slots(), 1);
    call.abort();
    let _ = call.await;
    fixture.stop().await;
}

#[tokio::test]
async fn waiting_gets_slot() {
    let fixture = PoolFixture::start(1).await;
    let held = fixture.slot().unwrap();
    let offer = || {
        fixture
            .pool
            .request_slot(&service(), &admission_request(60_000), None)
            .unwrap()
    };
    let (SlotOffer::Wait(first), SlotOffer::Wait(abandoned), SlotOffer::Wait(last)) =
        (offer(), offer(), offer())
    else {
        panic!("a second slot was granted");
    };
    drop(abandoned);
    drop(held);
    // The slot goes to the request that waited longest, then to the next one whose caller
    // still waits.
    drop(first.slot().await.unwrap());
    let slot = last.slot().await.unwrap();
    assert_eq!(fixture.taken_slots(), 1);
    drop(slot);
    assert_eq!(fixture.taken_slots(), 0);
    fixture.stop().await;
}

#[tokio::test]
async fn granted_then_gone() {
    let fixture = PoolFixture::start(1).await;
    let held = fixture.slot().unwrap();
    let offer = || {
        fixture
            .pool
            .request_slot(&service(), &admission_request(60_000), None)
            .unwrap()
    };
    let (SlotOffer::Wait(granted), SlotOffer::Wait(next)) = (offer(), offer()) else {
        panic!("a second slot was granted");
    };
    drop(held);
    // The first request was granted the slot, but its caller has left: the next one gets
    // it.
    drop(granted);
    drop(next.slot().await.unwrap());
    assert_eq!(fixture.taken_slots(), 0);
    fixture.stop().await;
}
