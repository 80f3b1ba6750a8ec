//! Requests forwarded to peers: verdicts, a single hop, and the draining of a stopping
//! peer.

use ecow::EcoString;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use turmericfold_peer::{
    ControlAnswer, ControlCall, ForwardedAnswer, ForwardedRequest, Heartbeat, PeerClients,
    PeerHandler, TaskAnswer, TaskCall, serve_peers,
};
use turmericfold_policy::requests::{PeerChoice, PeerLoad, PeerNeed};
use turmericfold_types::{InstanceName, MonotonicMs, Reason, RequestError, Verdict};

/// A peer that answers forwarded requests only after the test has set `open`.
#[derive(Debug, Clone)]
struct GatedPeer {
    open: watch::Sender<bool>,
    arrived: watch::Sender<u32>,
}

impl GatedPeer {
    /// Waits until `count` requests have arrived.
    async fn arrived(&self, count: u32) {
        let mut arrived = self.arrived.subscribe();
        let _ = arrived.wait_for(|arrived| *arrived >= count).await;
    }
}

impl PeerHandler for GatedPeer {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        heartbeat
    }

    async fn task(&self, _: TaskCall) -> TaskAnswer {
        TaskAnswer::Failed(RequestError::not_run(Reason::Unavailable, "no tasks here"))
    }

    async fn control(&self, _: ControlCall) -> ControlAnswer {
        ControlAnswer::Failed
    }

    async fn forward(&self, request: ForwardedRequest) -> Result<ForwardedAnswer, RequestError> {
        self.arrived.send_modify(|arrived| *arrived += 1);
        let mut open = self.open.subscribe();
        let _ = open.wait_for(|open| *open).await;
        Ok(ForwardedAnswer {
            status: 200,
            headers: Vec::new(),
            body: request.body,
        })
    }
}

struct PeerFixture {
    peer: GatedPeer,
    address: EcoString,
    stop: oneshot::Sender<()>,
    server: JoinHandle<()>,
}

impl PeerFixture {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = ecow::eco_format!("{}", listener.local_addr().unwrap());
        let peer = GatedPeer {
            open: watch::Sender::new(false),
            arrived: watch::Sender::new(0),
        };
        let (stop, stopped) = oneshot::channel();
        let server = tokio::spawn(serve_peers(listener, peer.clone(), None, async {
            let _ = stopped.await;
        }));
        Self {
            peer,
            address,
            stop,
            server,
        }
    }
}

fn request(deadline_ms: u64) -> ForwardedRequest {
    ForwardedRequest {
        id: "request".into(),
        service: "visits".into(),
        method: "POST".into(),
        path: "/item".into(),
        headers: Vec::new(),
        body: b"body".to_vec(),
        deadline_ms,
        idempotent: false,
        may_queue: true,
    }
}

async fn forward(
    peers: PeerClients,
    address: EcoString,
    deadline_ms: u64,
) -> Result<ForwardedAnswer, RequestError> {
    peers.forward(&address, request(deadline_ms)).await?
}

#[tokio::test]
async fn stop_answers_forwards() {
    let fixture = PeerFixture::start().await;
    let calls: Vec<_> = (0..3)
        .map(|_| tokio::spawn(forward(PeerClients::new(), fixture.address.clone(), 60_000)))
        .collect();
    fixture.peer.arrived(3).await;
    fixture.stop.send(()).unwrap();
    // New connections are refused, but requests in progress are answered.
    while tokio::net::TcpStream::connect(fixture.address.as_str())
        .await
        .is_ok()
    {
        tokio::task::yield_now().await;
    }
    fixture.peer.open.send_replace(true);
    for call in calls {
        assert_eq!(call.await.unwrap().unwrap().body, b"body");
    }
    fixture.server.await.unwrap();
}

#[tokio::test]
async fn unreachable_not_run() {
    let fixture = PeerFixture::start().await;
    fixture.stop.send(()).unwrap();
    fixture.server.await.unwrap();
    let error = forward(PeerClients::new(), fixture.address, 1_000)
        .await
        .unwrap_err();
    assert_eq!(error.verdict, Verdict::NotRun);
}

#[tokio::test]
async fn no_answer_uncertain() {
    let fixture = PeerFixture::start().await;
    let error = forward(PeerClients::new(), fixture.address.clone(), 50)
        .await
        .unwrap_err();
    assert_eq!(error.verdict, Verdict::MayHaveRun);
    // The connection has not failed: the next call is answered.
    fixture.peer.open.send_replace(true);
    let answer = forward(PeerClients::new(), fixture.address, 60_000).await;
    assert_eq!(answer.unwrap().body, b"body");
}

#[tokio::test]
async fn broken_uncertain() {
    let fixture = PeerFixture::start().await;
    let call = tokio::spawn(forward(PeerClients::new(), fixture.address.clone(), 60_000));
    fixture.peer.arrived(1).await;
    fixture.server.abort();
    let _ = fixture.server.await;
    let error = call.await.unwrap().unwrap_err();
    assert_eq!(error.verdict, Verdict::MayHaveRun);
}

fn load(peer: &str, is_same_failure_domain: bool, taken: u32) -> PeerLoad {
    PeerLoad {
        peer: InstanceName::new(peer),
        is_same_failure_domain,
        is_suspected: false,
        slots: 100,
        taken,
        queued: 0,
    }
}

/// Random draws that together select every pair out of two peers.
const DRAWS: [u64; 4] = [0, 1, 1 << 32, (1 << 32) | 1];

fn chosen(choice: &PeerChoice, now_ms: u64, peers: &[PeerLoad]) -> Vec<InstanceName> {
    let choose = |draw| {
        let profile = "counter".into();
        choice.choose(
            MonotonicMs(now_ms),
            PeerNeed::FreeSlot,
            &profile,
            peers,
            draw,
        )
    };
    let mut names: Vec<_> = DRAWS
        .into_iter()
        .filter_map(choose)
        .map(|load| load.peer.clone())
        .collect();
    names.sort();
    names.dedup();
    names
}

#[test]
fn distance_counts() {
    // Of two drawn peers, the one in the same failure domain is chosen until it is clearly
    // busier.
    let choose = |near_taken| {
        let peers = [load("far", false, 20), load("near", true, near_taken)];
        let draw = 1 << 32;
        let choice = PeerChoice::new();
        let now = MonotonicMs(0);
        let chosen = choice.choose(now, PeerNeed::FreeSlot, &"counter".into(), &peers, draw);
        chosen.unwrap().peer.clone()
    };
    assert_eq!(choose(25), InstanceName::new("near"));
    assert_eq!(choose(60), InstanceName::new("far"));
}

#[test]
fn suspected_avoided() {
    let mut peers = [load("a", true, 0), load("b", true, 50)];
    peers[0].is_suspected = true;
    let choice = PeerChoice::new();
    assert_eq!(chosen(&choice, 0, &peers), [InstanceName::new("b")]);
    peers[1].taken = 100;
    assert!(chosen(&choice, 0, &peers).is_empty());
}

#[test]
fn refusal_remembered() {
    let peers = [load("a", true, 0), load("b", true, 0)];
    let mut choice = PeerChoice::new();
    choice.on_refused(MonotonicMs(0), &"a".into(), &"counter".into());
    assert_eq!(chosen(&choice, 10, &peers), [InstanceName::new("b")]);
    // The refusal does not count for other profiles, and it expires soon.
    let other = "rounds".into();
    let found = choice.choose(MonotonicMs(10), PeerNeed::FreeSlot, &other, &peers[..1], 0);
    assert!(found.is_some());
    assert_eq!(chosen(&choice, 1_000, &peers).len(), 2);
    choice.on_failed(MonotonicMs(1_000), &"b".into());
    assert_eq!(chosen(&choice, 1_500, &peers), [InstanceName::new("a")]);
}
