//! Processes that don't know whether their configuration is the newest one.

use std::sync::Arc;
use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{Method, StatusCode};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use turmericfold::fleet::{SharedConfiguration, Watches};
use turmericfold_adapter::{
    CONFIGURATION_KEY, CallerHandler, HttpPool, SiteStore, decode_configuration, serve_front,
};
use turmericfold_fleet::{
    CallerAnswer, CallerRequest, Configuration, Event, FleetNode, FleetSettings, Moment, Outbox,
    PeerMessage, Summary,
};
use turmericfold_tests::fleet_world::configuration;
use turmericfold_tests::node_parts::{member, process};
use turmericfold_tests::site_store::{SiteFault, SiteStoreStandIn};
use turmericfold_tests::{HttpProbe, SiteDecoder};
use turmericfold_types::MonotonicMs;

/// The longest time for which a process may handle requests by an older configuration, in
/// milliseconds.
const MAX_LATE_MS: u64 = 2_000;

/// The time that an answer of the store takes at most, in milliseconds.
const MAX_ANSWER_MS: u64 = 600;

/// The interval between confirmations while the store answers, in milliseconds.
const MAX_INTERVAL_MS: u64 = 1_000;

fn node() -> (FleetNode, Outbox) {
    let process = process(0, 1);
    let settings = FleetSettings::new(member(process.clone()));
    (FleetNode::new(&settings), Outbox::new(process))
}

fn deliver(node: &mut FleetNode, outbox: &mut Outbox, now_ms: u64, event: Event) {
    let now = MonotonicMs(now_ms);
    node.handle(Moment { now, unix_ms: 0 }, event, outbox);
}

fn confirmed(at_ms: u64) -> Event {
    let as_of = MonotonicMs(at_ms);
    Event::ConfigurationConfirmed { as_of }
}

fn version(version: u64) -> Event {
    let configuration = Configuration {
        version,
        ..configuration()
    };
    Event::Configuration(configuration.into())
}

/// Guards against a process that relies on what the store said too long ago.
#[test]
fn confirmation_expires() {
    let (mut node, mut outbox) = node();
    deliver(&mut node, &mut outbox, 1_000, version(1));
    assert_eq!(node.configuration_confirmed_until(), None);
    deliver(&mut node, &mut outbox, 1_000, confirmed(1_000));
    let until = node.configuration_confirmed_until().unwrap();
    assert!(until.0 > 1_000 + MAX_INTERVAL_MS, "{until:?}");
    assert!(
        until.0 <= 1_000 + MAX_LATE_MS - MAX_ANSWER_MS,
        "a newer configuration may be overdue at {until:?}"
    );
}

/// Guards against a process that relies on the store though a peer knows of something newer.
#[test]
fn announced_version_ends_confirmation() {
    let (mut node, mut outbox) = node();
    deliver(&mut node, &mut outbox, 1_000, version(1));
    deliver(&mut node, &mut outbox, 1_000, confirmed(1_000));
    let summary = Summary {
        configuration: 2,
        ..Summary::default()
    };
    // The sender is not a member, as the watch of the members may be late too.
    let announcement = Event::Peer {
        from: process(1, 2),
        messages: vec![PeerMessage::Summary(summary.into())],
    };
    deliver(&mut node, &mut outbox, 1_100, announcement);
    assert_eq!(node.configuration_confirmed_until(), None);
    deliver(&mut node, &mut outbox, 1_200, confirmed(1_200));
    assert_eq!(node.configuration_confirmed_until(), None);
    deliver(&mut node, &mut outbox, 1_300, version(2));
    deliver(&mut node, &mut outbox, 1_300, confirmed(1_300));
    assert!(node.configuration_confirmed_until() > Some(MonotonicMs(1_300)));
}

/// Counts the confirmations that arrive within a time.
async fn count_confirmations(events: &mut mpsc::Receiver<Event>, for_ms: u64) -> usize {
    let mut count = 0;
    let _ = tokio::time::timeout(Duration::from_millis(for_ms), async {
        while let Some(event) = events.recv().await {
            if matches!(event, Event::ConfigurationConfirmed { .. }) {
                count += 1;
            }
        }
    })
    .await;
    count
}

/// Guards against confirmations that the store has not given.
#[rstest]
#[case::answering(SiteFault::None, r#"{"version":2}"#, true)]
#[case::silent(SiteFault::Silent, r#"{"version":2}"#, false)]
#[case::busy(SiteFault::Busy, r#"{"version":2}"#, false)]
#[case::unreadable(SiteFault::None, "no configuration", false)]
#[tokio::test(start_paused = true)]
async fn store_confirms(#[case] fault: SiteFault, #[case] value: &str, #[case] is_expected: bool) {
    let store = SiteStoreStandIn::start().await;
    store.write(CONFIGURATION_KEY, r#"{"version":1}"#);
    let client = SiteStore::new(HttpPool::new(), store.address().into());
    let (event_sender, mut events) = mpsc::channel(1_024);
    let watches = Watches::start(client, SiteDecoder, event_sender);
    let confirmations = count_confirmations(&mut events, 10 * MAX_INTERVAL_MS).await;
    assert!(confirmations >= 10, "{confirmations} confirmations");
    store.set_fault(fault);
    store.write(CONFIGURATION_KEY, value);
    // An answer may be on its way.
    count_confirmations(&mut events, MAX_ANSWER_MS).await;
    let confirmations = count_confirmations(&mut events, 10 * MAX_INTERVAL_MS).await;
    assert_eq!(confirmations > 0, is_expected, "{confirmations}");
    watches.stop().await;
    store.stop().await;
}

/// Accepts all requests, under a configuration that is confirmed or not.
#[derive(Debug, Clone)]
struct AcceptingHandler {
    configuration: Arc<Configuration>,
    is_confirmed: bool,
}

impl CallerHandler for AcceptingHandler {
    async fn handle(&self, _request: CallerRequest) -> CallerAnswer {
        CallerAnswer::Accepted
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        Some(self.configuration.clone())
    }

    fn is_configuration_confirmed(&self) -> bool {
        self.is_confirmed
    }

    fn is_leaving(&self) -> bool {
        false
    }
}

/// Guards against 404 for a route that was added to a configuration which this process lacks.
#[rstest]
#[case::unknown(false, "/new/5c0e7a21d94b36f8", StatusCode::SERVICE_UNAVAILABLE)]
#[case::known(false, "/a/5c0e7a21d94b36f8", StatusCode::OK)]
#[case::certainly_unknown(true, "/new/5c0e7a21d94b36f8", StatusCode::NOT_FOUND)]
#[tokio::test]
async fn unconfirmed_is_not_refused(
    #[case] is_confirmed: bool,
    #[case] path: &str,
    #[case] status: StatusCode,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let text = format!(
        r#"{{"version":1,"routes":[{{"name":"a","host":"{address}","prefix":"/a/","service":"s"}}]}}"#
    );
    let handler = AcceptingHandler {
        configuration: decode_configuration(&text).unwrap().into(),
        is_confirmed,
    };
    let server = tokio::spawn(serve_front(listener, handler, std::future::pending()));
    let url = format!("http://{address}{path}");
    let answer = HttpProbe::new().send(Method::GET, &url, "").await.unwrap();
    assert_eq!(answer.status(), status);
    let is_retryable = answer.headers().contains_key(RETRY_AFTER);
    assert_eq!(is_retryable, status == StatusCode::SERVICE_UNAVAILABLE);
    server.abort();
}

/// Guards against a configuration that counts as confirmed at or after the end of its time.
#[test]
fn shared_confirmation_expires() {
    let shared = SharedConfiguration::default();
    assert!(!shared.is_confirmed(MonotonicMs(0)));
    shared.set_confirmed_until(Some(MonotonicMs(100)));
    assert!(shared.is_confirmed(MonotonicMs(99)));
    assert!(!shared.is_confirmed(MonotonicMs(100)));
    shared.set_confirmed_until(None);
    assert!(!shared.is_confirmed(MonotonicMs(99)));
}
