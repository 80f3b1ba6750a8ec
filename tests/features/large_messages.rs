//! Deliveries to a peer over a slow link.

use std::sync::Arc;
use std::time::Duration;

use ecow::eco_format;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use turmericfold::fleet::Peers;
use turmericfold_fleet::{Configuration, PeerMessage, Route};
use turmericfold_jobs::QueueName;
use turmericfold_peer::{Delivery, serve_fleet};
use turmericfold_tests::fleet_world::configuration;
use turmericfold_tests::slow_link::SlowLink;
use turmericfold_types::{InstanceName, ProcessId};

/// The rate of the slow link, in bytes per millisecond: 2 Mbit/s.
const LINK_BYTES_PER_MS: u64 = 250;

/// The number of routes that take about 1.5 s on the slow link.
const ROUTES: usize = 5_000;

/// The longest time until a small message arrives, in milliseconds.
const MAX_SMALL_MS: u128 = 900;

/// The longest time until a large configuration arrives, in milliseconds.
const MAX_LARGE_MS: u128 = 3_500;

/// The rate of a fast link, in bytes per millisecond: 1,000 Mbit/s.
const FAST_LINK_BYTES_PER_MS: u64 = 125_000;

/// The longest time until a requested configuration arrives, in milliseconds: it must be in force
/// 2 s after it was stored, and is requested 700 ms after that.
const MAX_REQUESTED_MS: u64 = 1_300;

fn process(name: &str) -> ProcessId {
    ProcessId {
        instance: InstanceName::new(name),
        boot: 1,
    }
}

fn large_configuration() -> Configuration {
    let route = |number| Route {
        host: eco_format!("host-{number}.example"),
        prefix: eco_format!("/prefix-{number}/long-enough-to-be-realistic/"),
        queue: QueueName(eco_format!("queue-{number}")),
    };
    Configuration {
        routes: (0..ROUTES).map(route).collect(),
        ..configuration()
    }
}

/// A peer behind a link.
struct LinkedPeer {
    link: SlowLink,
    deliveries: mpsc::Receiver<Delivery>,
    server: JoinSet<()>,
}

impl LinkedPeer {
    async fn start(link_bytes_per_ms: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = eco_format!("{}", listener.local_addr().unwrap());
        let (delivery_sender, deliveries) = mpsc::channel(16);
        let mut server = JoinSet::new();
        server.spawn(serve_fleet(listener, delivery_sender));
        Self {
            link: SlowLink::start(address, link_bytes_per_ms).await,
            deliveries,
            server,
        }
    }

    async fn stop(mut self) {
        self.link.stop().await;
        self.server.shutdown().await;
    }
}

/// Guards against a configuration that waits until a silent peer is given up.
#[tokio::test(start_paused = true)]
async fn silent_peer_is_overtaken() {
    let silent = LinkedPeer::start(FAST_LINK_BYTES_PER_MS).await;
    silent.link.stall();
    let mut other = LinkedPeer::start(FAST_LINK_BYTES_PER_MS).await;
    let (event_sender, _events) = mpsc::channel(16);
    let mut peers = Peers::new(process("entry-0"), event_sender);
    let large = PeerMessage::Configuration(large_configuration().into());
    peers.send(
        &process("entry-1"),
        silent.link.address(),
        vec![large.clone()],
    );
    peers.send(&process("entry-2"), other.link.address(), vec![large]);
    let limit = Duration::from_millis(MAX_REQUESTED_MS);
    let delivery = tokio::time::timeout(limit, other.deliveries.recv()).await;
    assert!(delivery.is_ok(), "the configuration is late");
    peers.close().await;
    silent.stop().await;
    other.stop().await;
}

/// Guards against small messages that are lost with a large one.
#[tokio::test(start_paused = true)]
async fn small_pass_large() {
    let mut peer = LinkedPeer::start(LINK_BYTES_PER_MS).await;
    let (event_sender, mut events) = mpsc::channel(16);
    let mut peers = Peers::new(process("entry-0"), event_sender);
    let large = PeerMessage::Configuration(large_configuration().into());
    let small = PeerMessage::Summary(Arc::default());
    let sent_at = Instant::now();
    peers.send(&process("entry-1"), peer.link.address(), vec![large, small]);
    let (mut small_ms, mut large_ms) = (None, None);
    while small_ms.is_none() || large_ms.is_none() {
        let limit = Duration::from_millis(5_000);
        let delivery = tokio::time::timeout(limit, peer.deliveries.recv()).await;
        let delivery = delivery.expect("messages were lost").unwrap();
        for message in delivery.messages {
            let taken_ms = sent_at.elapsed().as_millis();
            match message {
                PeerMessage::Configuration(_) => large_ms = Some(taken_ms),
                _ => small_ms = Some(taken_ms),
            }
        }
    }
    assert!(small_ms <= Some(MAX_SMALL_MS), "{small_ms:?} ms");
    assert!(large_ms <= Some(MAX_LARGE_MS), "{large_ms:?} ms");
    assert!(events.try_recv().is_err(), "a delivery failed");
    peers.close().await;
    peer.stop().await;
}
