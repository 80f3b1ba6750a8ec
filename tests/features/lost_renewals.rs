//! Registrations whose renewals the store leaves unanswered.

use std::time::Duration;

use rstest::rstest;
use tokio::task::JoinSet;
use tokio::time::Instant;
use turmericfold_adapter::{HttpPool, SiteStore};
use turmericfold_fleet::{Event, FleetNode, FleetSettings, Moment, Outbox, keys};
use turmericfold_platform::Store;
use turmericfold_tests::node_parts::{member, process};
use turmericfold_tests::site_store::SiteStoreStandIn;
use turmericfold_types::MonotonicMs;

/// The time between ticks of a busy process, in milliseconds.
const TICK_INTERVAL_MS: u64 = 150;

/// The time in which the process registers and renews its registration a few times, in
/// milliseconds.
const SETTLE_MS: u64 = 3_000;

/// The time in which a registration that is not renewed expires, in milliseconds.
const EXPIRY_MS: u64 = 2 * FleetSettings::MEMBER_TTL_MS;

/// A process that registers in a store.
struct Registrant {
    node: FleetNode,
    outbox: Outbox,
    store: SiteStore,
    calls: JoinSet<Event>,
    started_at: Instant,
}

impl Registrant {
    fn new(store: SiteStore) -> Self {
        let process = process(0, 1);
        Self {
            node: FleetNode::new(&FleetSettings::new(member(process.clone()))),
            outbox: Outbox::new(process),
            store,
            calls: JoinSet::new(),
            started_at: Instant::now(),
        }
    }

    async fn run_for(&mut self, duration_ms: u64) {
        let end = Instant::now() + Duration::from_millis(duration_ms);
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
        loop {
            tokio::select! {
                Some(event) = self.calls.join_next() => self.handle(event.unwrap()),
                _ = ticks.tick() => self.handle(Event::Tick),
                () = tokio::time::sleep_until(end) => return,
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let elapsed_ms = self.started_at.elapsed().as_millis();
        let moment = Moment {
            now: MonotonicMs(u64::try_from(elapsed_ms).unwrap()),
            unix_ms: 0,
        };
        self.node.handle(moment, event, &mut self.outbox);
        for request in std::mem::take(&mut self.outbox.store) {
            let store = self.store.clone();
            self.calls.spawn(async move {
                let result = store.call(request.store_call).await;
                let call = request.call;
                Event::Store { call, result }
            });
        }
    }
}

/// Guards against a registration that expires while its renewal waits on a silent connection.
#[rstest]
#[tokio::test(start_paused = true)]
async fn silent_connection_keeps_registration(
    #[values(0, 50, 100, 150, 200, 250, 300, 350, 400, 450, 500, 550, 600)] offset_ms: u64,
) {
    let standin = SiteStoreStandIn::start().await;
    let store = SiteStore::new(HttpPool::new(), standin.address().into());
    let mut registrant = Registrant::new(store);
    registrant.run_for(SETTLE_MS + offset_ms).await;
    let key = format!("{}members/entry-0", keys::FLEET_PREFIX);
    let registered = standin.version_of(&key);
    assert!(registered.is_some(), "not registered");
    standin.silence_connections();
    registrant.run_for(EXPIRY_MS).await;
    assert_eq!(standin.version_of(&key), registered);
    standin.stop().await;
}
