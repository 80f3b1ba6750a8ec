//! The control child: one thread that owns the control state.

use tokio::sync::mpsc;
use turmericfold_config::Settings;
use turmericfold_control::{Command, ControlHandle, ControlParts, Node, NodeSettings, run_control};
use turmericfold_peer::PeerClients;
use turmericfold_platform::{BootClock, HttpPlatform};
use turmericfold_timeline::Recorder;

/// Inputs of the control child.
pub(crate) struct ControlChild {
    pub(crate) settings: Settings,
    pub(crate) handle: ControlHandle,
    pub(crate) commands: mpsc::Receiver<Command>,
    pub(crate) clients: PeerClients,
    pub(crate) recorder: Recorder,
}

impl ControlChild {
    /// Runs until the planned stop is complete.
    pub(crate) async fn run(self) {
        let settings = self.settings;
        let listen = settings.listen;
        let peers = listen.advertised_peers.unwrap_or(listen.peers);
        let node_settings = NodeSettings::new(
            settings.process.name,
            settings.process.failure_domain,
            rand::random(),
        )
        .with_addresses(peers, listen.operators);
        let tick_interval_ms = node_settings.tick_interval_ms;
        let parts = ControlParts {
            node: Node::new(node_settings, self.handle.shard_leases().clone()),
            platform: HttpPlatform::new(settings.platform.store, settings.platform.instances),
            peers: self.clients,
            clock: BootClock,
            recorder: self.recorder,
            handle: self.handle,
            commands: self.commands,
            tick_interval_ms,
        };
        run_control(parts).await;
    }
}
