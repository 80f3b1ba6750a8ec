//! The traffic child: callers, peers and endpoints.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use turmericfold_config::Settings;
use turmericfold_peer::{PeerKey, serve_peers};
use turmericfold_platform::{BootClock, Clock};
use turmericfold_traffic::{CallerServer, Router, RouterPeerHandler, serve_callers};

use super::{Phase, reached};

/// Time between two looks at control state, in milliseconds.
const REFRESH_MS: u64 = 20;

/// Looks at control state between two reports of the endpoints' pace.
const LOOKS_BETWEEN_PACES: u64 = 5;

/// What the traffic child works with.
pub(crate) struct TrafficChild {
    pub(crate) settings: Settings,
    pub(crate) router: Router,
    pub(crate) callers: TcpListener,
    pub(crate) peers: TcpListener,
    pub(crate) key: Option<PeerKey>,
}

impl TrafficChild {
    /// Runs until callers and peers are drained.
    pub(crate) async fn run(self, phases: watch::Receiver<Phase>) {
        let (Ok(callers), Ok(peers)) = (
            tokio::net::TcpListener::from_std(self.callers),
            tokio::net::TcpListener::from_std(self.peers),
        ) else {
            return;
        };
        let server = CallerServer {
            listener: callers,
            router: self.router.clone(),
            max_body_bytes: self.settings.limits.body_bytes,
        };
        let drain_ms = self.settings.limits.drain_ms;
        let service = RouterPeerHandler::new(self.router.clone());
        let (leave, left) = watch::channel(false);
        let peers_served = serve_peers(peers, service, self.key, async {
            let mut left = left;
            let _ = left.wait_for(|left| *left).await;
        });
        let callers_served = async {
            serve_callers(server, drained(phases, &self.router, drain_ms)).await;
            // Peers may still send requests on; they are told that nothing ran.
            self.router.control().stop().await;
            let _ = leave.send(true);
        };
        let work = async { tokio::join!(callers_served, peers_served) };
        tokio::select! {
            _ = work => {}
            () = refresh(self.router.clone()) => {}
        }
    }
}

/// Completes once the balancer has had time to see that the process is no
/// longer ready; callers are still accepted meanwhile.
async fn drained(phases: watch::Receiver<Phase>, router: &Router, drain_ms: u64) {
    reached(phases, Phase::Draining).await;
    router.begin_drain();
    tokio::time::sleep(Duration::from_millis(drain_ms)).await;
}

/// Carries control state to the endpoint pool and load back to control.
async fn refresh(router: Router) {
    let mut ticks = tokio::time::interval(Duration::from_millis(REFRESH_MS));
    let mut looks: u64 = 0;
    let mut seen = router.control().snapshot();
    loop {
        ticks.tick().await;
        let snapshot = router.control().snapshot();
        if !Arc::ptr_eq(&seen, &snapshot) {
            router.pool().update(&snapshot);
            seen = snapshot;
        }
        router.pool().tick();
        let mut load = router.pool().load(BootClock.now());
        load.request_stats = router.counters().total();
        router.control().report_load(load);
        looks += 1;
        if looks.is_multiple_of(LOOKS_BETWEEN_PACES) {
            let paces = router.pool().paces(BootClock.now());
            router.control().report_paces(paces);
        }
    }
}
