//! The supervisor tree of one entry process.
//!
//! The root joins three children: `control` (one thread), `traffic` (a
//! multi-threaded runtime) and `admin`. The end or panic of control or traffic
//! ends the process: the platform starts it anew, and peers take over its shards.
//! `admin` is restarted.

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

/// How far the process is with its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Serves.
    Running,
    /// Takes no new callers and answers what is in progress.
    Draining,
    /// Dropped at once, as if the instance had died.
    Killed,
}

/// A child that ended before its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChildEnd {
    /// The child.
    pub child: &'static str,
    /// The cause, for people.
    pub cause: EcoString,
}

/// A running entry process.
#[derive(Debug)]
pub struct Process {
    phase: watch::Sender<Phase>,
    control: ControlHandle,
    recorder: Recorder,
    ends: mpsc::Receiver<ChildEnd>,
    children: Vec<Child>,
    shutdown_ms: u64,
}

impl Process {
    /// Starts the process.
    ///
    /// Fails if a listener can't be bound; then nothing was started.
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
        let (ended, ends) = mpsc::channel(3);
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
        let plan = |name, threads, policy| ChildSettings {
            name,
            threads,
            policy,
            ended: ended.clone(),
            phases: phases.clone(),
            recorder: recorder.clone(),
        };
        let traffic_threads = settings.limits.traffic_threads;
        let children = vec![
            Child::spawn(
                plan("control", 1, ChildEndPolicy::EndProcess),
                once(move |_| control.run()),
            )?,
            Child::spawn(
                plan("traffic", traffic_threads, ChildEndPolicy::EndProcess),
                once(move |phases| traffic.run(phases)),
            )?,
            Child::spawn(plan("admin", 1, ChildEndPolicy::Restart), move |phases| {
                admin.clone().run(phases)
            })?,
        ];
        Ok(Self {
            phase,
            control: handle,
            recorder,
            ends,
            children,
            shutdown_ms: settings.limits.shutdown_ms,
        })
    }

    /// Returns access to control.
    pub fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// Returns the time line of the process.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Waits until a child ends before its time.
    pub async fn wait_for_child_end(&mut self) -> ChildEnd {
        match self.ends.recv().await {
            Some(end) => end,
            None => std::future::pending().await,
        }
    }

    /// Stops gracefully: answers what is in progress, gives up the shards, ends.
    ///
    /// Blocks until every child is joined, at most the declared time.
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

    /// Ends at once, as if the instance had died.
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

/// Makes work that is started a single time; a second start panics, which no
/// child under [`ChildEndPolicy::EndProcess`] sees.
fn once<Start, Work>(start: Start) -> impl FnMut(watch::Receiver<Phase>) -> Work
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

/// Waits until the process is in `phase` or beyond.
pub(crate) async fn reached(mut phases: watch::Receiver<Phase>, phase: Phase) {
    let _ = phases.wait_for(|now| *now >= phase).await;
}
