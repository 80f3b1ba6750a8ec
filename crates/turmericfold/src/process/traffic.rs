//! The traffic child: serves callers and peers, and connects to endpoints.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use turmericfold_config::Settings;
use turmericfold_peer::{PeerKey, serve_peers};
use turmericfold_platform::{BootClock, Clock};
use turmericfold_traffic::{CallerServer, Router, RouterPeerHandler, serve_callers};

use super::{Phase, wait_for_phase};

/// Interval at which the endpoint pool follows the control state, in milliseconds.
const REFRESH_INTERVAL_MS: u64 = 20;

/// Number of refreshes for each report of the endpoints' pace.
const REFRESHES_PER_PACE_REPORT: u64 = 5;

/// Inputs of the traffic child.
pub(crate) struct TrafficChild {
    pub(crate) settings: Settings,
    pub(crate) router: Router,
    pub(crate) callers: TcpListener,
    pub(crate) peers: TcpListener,
    pub(crate) key: Option<PeerKey>,
}

impl TrafficChild {
    /// Runs until the requests of callers and peers are answered.
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
        let (stop_peers, stopped) = watch::channel(false);
        let peers_served = serve_peers(peers, service, self.key, async {
            let mut stopped = stopped;
            let _ = stopped.wait_for(|stopped| *stopped).await;
        });
        let callers_served = async {
            serve_callers(server, wait_for_drain(phases, &self.router, drain_ms)).await;
            // Peers may still forward requests; they get an error with the verdict
            // *not run*.
            self.router.control().stop().await;
            let _ = stop_peers.send(true);
        };
        let work = async { tokio::join!(callers_served, peers_served) };
        tokio::select! {
            _ = work => {}
            () = refresh(self.router.clone()) => {}
        }
    }
}

/// Waits until the process begins to drain, reports it as not ready and waits for
/// the drain time.
///
/// In the drain time the load balancer notices that the process is not ready;
/// callers are still accepted meanwhile.
async fn wait_for_drain(phases: watch::Receiver<Phase>, router: &Router, drain_ms: u64) {
    wait_for_phase(phases, Phase::Draining).await;
    router.begin_drain();
    tokio::time::sleep(Duration::from_millis(drain_ms)).await;
}

/// Applies control state to the endpoint pool and reports load and pace to control.
async fn refresh(router: Router) {
    let mut ticks = tokio::time::interval(Duration::from_millis(REFRESH_INTERVAL_MS));
    let mut refreshes: u64 = 0;
    let mut applied = router.control().snapshot();
    loop {
        ticks.tick().await;
        let snapshot = router.control().snapshot();
        if !Arc::ptr_eq(&applied, &snapshot) {
            router.pool().update(&snapshot);
            applied = snapshot;
        }
        router.pool().tick();
        let mut load = router.pool().load(BootClock.now());
        load.request_stats = router.counters().total();
        router.control().report_load(load);
        refreshes += 1;
        if refreshes.is_multiple_of(REFRESHES_PER_PACE_REPORT) {
            let paces = router.pool().paces(BootClock.now());
            router.control().report_paces(paces);
        }
    }
}
