//! Verdicts, slots and connections while endpoints misbehave on their sockets.

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

/// One scripted endpoint behind a pool.
struct Bench {
    endpoint: ScriptedEndpoint,
    address: EcoString,
    pool: EndpointPool,
    servers: JoinSet<()>,
}

impl Bench {
    async fn start(slots: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = ecow::eco_format!("{}", listener.local_addr().unwrap());
        let endpoint = ScriptedEndpoint::new();
        let mut servers = JoinSet::new();
        servers.spawn(endpoint.clone().serve(listener, std::future::pending()));
        let bench = Self {
            endpoint,
            address,
            pool: EndpointPool::new(),
            servers,
        };
        bench.own(slots, Epoch(1), false);
        bench
    }

    fn own(&self, slots: u32, epoch: Epoch, leaving: bool) {
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
        let ask = ask(10_000);
        self.pool.try_slot(&service(), &ask, None)
    }

    async fn send(&self, number: u32, deadline_ms: u64) -> Result<ForwardedAnswer, RequestError> {
        let slot = self.slot().unwrap();
        dispatch(slot, request(number, deadline_ms), ANSWER_BYTES, |_| true).await
    }

    fn taken(&self) -> u32 {
        self.pool.group_load(&service()).taken
    }

    async fn stop(mut self) {
        self.servers.shutdown().await;
    }
}

fn service() -> ServiceName {
    ServiceName::new("visits")
}

fn ask(patience_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        service: service(),
        team: None,
        bytes: 100,
        deadline: BootClock.now() + patience_ms,
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

fn right(number: u32, answer: &ForwardedAnswer) -> bool {
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
    let bench = Bench::start(2).await;
    bench.endpoint.push_reactions([reaction]);
    let error = bench.send(1, 5_000).await.unwrap_err();
    assert_eq!((error.verdict, error.reason), (Verdict::MayHaveRun, reason));
    // The request may be running: its slot stays taken, the other one serves.
    assert_eq!(bench.taken(), 1);
    assert!(right(2, &bench.send(2, 5_000).await.unwrap()));
    assert_eq!(bench.taken(), 1);
    assert_eq!(bench.endpoint.connections(), 2);
    bench.stop().await;
}

#[tokio::test]
async fn refused_connection() {
    let bench = Bench::start(2).await;
    let pool = bench.pool.clone();
    let slot = bench.slot().unwrap();
    bench.stop().await;
    let error = dispatch(slot, request(1, 5_000), ANSWER_BYTES, |_| true)
        .await
        .unwrap_err();
    assert_eq!(
        (error.verdict, error.reason),
        (Verdict::NotRun, Reason::Unavailable)
    );
    // The endpoint gets nothing new, and nothing is taken.
    let load = pool.group_load(&service());
    assert_eq!((load.slots, load.taken), (0, 0));
}

#[tokio::test]
async fn tenure_ended() {
    let bench = Bench::start(1).await;
    let slot = bench.slot().unwrap();
    let error = dispatch(slot, request(1, 5_000), ANSWER_BYTES, |_| false)
        .await
        .unwrap_err();
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(bench.taken(), 0);
    assert!(right(2, &bench.send(2, 5_000).await.unwrap()));
    assert_eq!(bench.endpoint.requests().len(), 1);
    bench.stop().await;
}

#[tokio::test]
async fn stalled_request() {
    let bench = Bench::start(2).await;
    bench.endpoint.push_reactions([Reaction::Stall]);
    let error = bench.send(1, 50).await.unwrap_err();
    assert_eq!(
        (error.verdict, error.reason),
        (Verdict::MayHaveRun, Reason::DeadlineExceeded)
    );
    assert_eq!(bench.taken(), 1);
    // The next request goes over a connection of its own.
    assert!(right(2, &bench.send(2, 5_000).await.unwrap()));
    assert_eq!(bench.endpoint.connections(), 2);
    bench.stop().await;
}

#[tokio::test]
async fn caller_leaves() {
    let bench = Bench::start(1).await;
    bench.endpoint.push_reactions([Reaction::Stall]);
    let slot = bench.slot().unwrap();
    let call = tokio::spawn(dispatch(slot, request(1, 60_000), ANSWER_BYTES, |_| true));
    bench.endpoint.wait_for_requests(1).await;
    call.abort();
    assert!(call.await.is_err());
    assert_eq!(bench.taken(), 1);
    assert!(bench.slot().is_none());
    bench.stop().await;
}

#[tokio::test]
async fn caller_leaves_early() {
    let bench = Bench::start(1).await;
    drop(bench.slot().unwrap());
    assert_eq!(bench.taken(), 0);
    bench.stop().await;
}

#[tokio::test]
async fn connection_reused() {
    let bench = Bench::start(1).await;
    for number in 0..20 {
        assert!(right(number, &bench.send(number, 5_000).await.unwrap()));
    }
    assert_eq!(bench.endpoint.connections(), 1);
    bench.stop().await;
}

#[tokio::test]
async fn leftovers_dropped() {
    let bench = Bench::start(1).await;
    bench.endpoint.push_reactions([Reaction::AnswerTwice]);
    assert!(right(1, &bench.send(1, 5_000).await.unwrap()));
    // A leftover is seen before the connection is used again, or makes the
    // answer an error; it never becomes the answer to another request.
    for number in 2..10 {
        if let Ok(answer) = bench.send(number, 5_000).await {
            assert!(right(number, &answer));
        }
        if bench.taken() > 0 {
            break;
        }
    }
    bench.stop().await;
}

#[tokio::test]
async fn close_honoured() {
    let bench = Bench::start(2).await;
    bench
        .endpoint
        .push_reactions([Reaction::Answer, Reaction::AnswerAndClose]);
    assert!(right(1, &bench.send(1, 5_000).await.unwrap()));
    assert!(right(2, &bench.send(2, 5_000).await.unwrap()));
    assert!(right(3, &bench.send(3, 5_000).await.unwrap()));
    assert_eq!(bench.endpoint.connections(), 2);
    bench.stop().await;
}

#[tokio::test]
async fn closing_is_leaving() {
    let bench = Bench::start(1).await;
    bench.endpoint.push_reactions([Reaction::Answer]);
    bench.endpoint.push_reactions([Reaction::AnswerAndClose; 2]);
    for number in 0..3 {
        assert!(right(number, &bench.send(number, 5_000).await.unwrap()));
    }
    assert!(bench.slot().is_none());
    bench.stop().await;
}

#[tokio::test]
async fn leaving_gets_nothing() {
    let bench = Bench::start(2).await;
    bench.endpoint.push_reactions([Reaction::Stall]);
    let slot = bench.slot().unwrap();
    let call = tokio::spawn(dispatch(slot, request(1, 60_000), ANSWER_BYTES, |_| true));
    bench.endpoint.wait_for_requests(1).await;
    bench.own(2, Epoch(1), true);
    assert!(bench.slot().is_none());
    // The slot in use is remembered when the endpoint comes back.
    bench.own(2, Epoch(1), false);
    assert_eq!(bench.taken(), 1);
    call.abort();
    let _ = call.await;
    bench.stop().await;
}

#[tokio::test]
async fn waiting_gets_slot() {
    let bench = Bench::start(1).await;
    let held = bench.slot().unwrap();
    let offer = || {
        bench
            .pool
            .request_slot(&service(), &ask(60_000), None)
            .unwrap()
    };
    let (SlotOffer::Wait(first), SlotOffer::Wait(gone), SlotOffer::Wait(last)) =
        (offer(), offer(), offer())
    else {
        panic!("a second slot was granted");
    };
    drop(gone);
    drop(held);
    // The slot goes to who waited longest, then past who went away.
    drop(first.slot().await.unwrap());
    let slot = last.slot().await.unwrap();
    assert_eq!(bench.taken(), 1);
    drop(slot);
    assert_eq!(bench.taken(), 0);
    bench.stop().await;
}

#[tokio::test]
async fn granted_then_gone() {
    let bench = Bench::start(1).await;
    let held = bench.slot().unwrap();
    let offer = || {
        bench
            .pool
            .request_slot(&service(), &ask(60_000), None)
            .unwrap()
    };
    let (SlotOffer::Wait(granted), SlotOffer::Wait(next)) = (offer(), offer()) else {
        panic!("a second slot was granted");
    };
    drop(held);
    // The first was granted the slot but its caller is gone: the next gets it.
    drop(granted);
    drop(next.slot().await.unwrap());
    assert_eq!(bench.taken(), 0);
    bench.stop().await;
}
