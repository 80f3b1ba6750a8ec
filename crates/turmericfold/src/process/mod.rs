//! The supervisor tree of one entry process.
//!
//! The root has three children: `control` (one thread), `traffic` (a
//! multi-threaded runtime) and `admin`. If `control` or `traffic` ends
//! unexpectedly or panics, the process ends: the platform restarts it, and peers
//! take over its shards. `admin` is restarted within the process.

mod admin;
mod child;
mod control;
mod metrics;
pub(crate) mod secrets;
mod traffic;

use std::net::TcpListener;
use std::sync::Arc;

use anyhow::{Context, Result};
use ecow::EcoString;
use tokio::sync::{mpsc, watch};
use turmericfold_config::Settings;
use turmericfold_control::{ControlHandle, control_channel};
use turmericfold_peer::PeerClients;
use turmericfold_timeline::{EventKind, Recorder};
use turmericfold_traffic::{EndpointPool, Router};

use child::{Child, ChildEndPolicy, ChildSettings};

/// The phase of a process, from serving to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Serves callers and peers.
    Running,
    /// Reports not ready, then accepts no new callers and answers the requests in
    /// progress.
    Draining,
    /// Ends at once, as if the instance had failed.
    Killed,
}

/// The unexpected end of a child.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChildEnd {
    /// The name of the child.
    pub child: &'static str,
    /// The cause, as text for operators.
    pub cause: EcoString,
}

/// A running entry process.
#[derive(Debug)]
pub struct Process {
    phase: watch::Sender<Phase>,
    control: ControlHandle,
    recorder: Recorder,
    child_ends: mpsc::Receiver<ChildEnd>,
    children: Vec<Child>,
    shutdown_ms: u64,
}

impl Process {
    /// Starts the process.
    ///
    /// Fails before any child is started if a listener can't be bound or a secret
    /// can't be read.
    pub fn start(settings: Settings) -> Result<Self> {
        let callers = bind(&settings.listen.callers)?;
        let peers = bind(&settings.listen.peers)?;
        let operators = bind(&settings.listen.operators)?;
        let recorder = Recorder::new(settings.process.name.clone());
        let (handle, commands) = control_channel();
        let key = secrets::peers_key(&settings.secrets)?;
        let token = secrets::operators_token(&settings.secrets)?;
        let clients = PeerClients::new().with_key(key.clone());
        let pool = EndpointPool::new();
        let answer_bytes = usize::try_from(settings.limits.answer_bytes).unwrap_or(usize::MAX);
        let router = Router::new(handle.clone(), clients.clone(), pool, recorder.clone())
            .with_max_answer_bytes(answer_bytes)
            .with_failure_domain(settings.process.failure_domain.clone());
        let (phase, phases) = watch::channel(Phase::Running);
        let (end_sender, child_ends) = mpsc::channel(3);
        recorder.record(EventKind::ProcessStarted);
        let control = control::ControlChild {
            settings: settings.clone(),
            handle: handle.clone(),
            commands,
            clients,
            recorder: recorder.clone(),
        };
        let traffic = traffic::TrafficChild {
            settings: settings.clone(),
            router: router.clone(),
            callers,
            peers,
            key,
        };
        let admin = admin::AdminChild {
            settings: settings.clone(),
            operators: Arc::new(operators),
            token,
            router,
            recorder: recorder.clone(),
        };
        let spec = |name, threads, policy| ChildSettings {
            name,
            threads,
            policy,
            end_sender: end_sender.clone(),
            phases: phases.clone(),
            recorder: recorder.clone(),
        };
        let traffic_threads = settings.limits.traffic_threads;
        let children = vec![
            Child::spawn(
                spec("control", 1, ChildEndPolicy::EndProcess),
                start_once(move |_| control.run()),
            )?,
            Child::spawn(
                spec("traffic", traffic_threads, ChildEndPolicy::EndProcess),
                start_once(move |phases| traffic.run(phases)),
            )?,
            Child::spawn(spec("admin", 1, ChildEndPolicy::Restart), move |phases| {
                admin.clone().run(phases)
            })?,
        ];
        Ok(Self {
            phase,
            control: handle,
            recorder,
            child_ends,
            children,
            shutdown_ms: settings.limits.shutdown_ms,
        })
    }

    /// Returns the handle of the control thread.
    pub fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// Returns the time line of the process.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Waits until a child ends unexpectedly.
    pub async fn wait_for_child_end(&mut self) -> ChildEnd {
        match self.child_ends.recv().await {
            Some(end) => end,
            None => std::future::pending().await,
        }
    }

    /// Stops gracefully: answers the requests in progress, releases the shards and
    /// ends.
    ///
    /// Blocks until every child is joined. Children that are still running after
    /// the declared shutdown time are ended at once.
    pub fn stop(mut self) {
        self.recorder.record(EventKind::ProcessStopping);
        let deadline =
            std::time::Instant::now() + std::time::Duration::from_millis(self.shutdown_ms);
        let _ = self.phase.send(Phase::Draining);
        for child in &mut self.children {
            child.wait_until(deadline);
        }
        let _ = self.phase.send(Phase::Killed);
        self.join();
    }

    /// Ends at once, as if the instance had failed.
    pub fn kill(mut self) {
        let _ = self.phase.send(Phase::Killed);
        self.join();
    }

    fn join(&mut self) {
        for child in self.children.drain(..) {
            child.join();
        }
    }
}

/// Wraps a function that may be called only once.
///
/// A second call panics; it does not happen, as a child under
/// [`ChildEndPolicy::EndProcess`] is not restarted.
fn start_once<Start, Work>(start: Start) -> impl FnMut(watch::Receiver<Phase>) -> Work
where
    Start: FnOnce(watch::Receiver<Phase>) -> Work,
{
    let mut start = Some(start);
    move |phases| match start.take() {
        Some(start) => start(phases),
        None => unreachable!("a child under ChildEndPolicy::EndProcess is started once"),
    }
}

fn bind(address: &str) -> Result<TcpListener> {
    let listener =
        TcpListener::bind(address).with_context(|| format!("can't listen on {address}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Waits until the process is in `phase` or a later one.
pub(crate) async fn wait_for_phase(mut phases: watch::Receiver<Phase>, phase: Phase) {
    let _ = phases.wait_for(|current| *current >= phase).await;
}
