//! A supervised thread with a runtime of its own.

use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::Result;
use ecow::EcoString;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, watch};
use turmericfold_timeline::{EventKind, Recorder};

use super::{ChildEnd, Phase, wait_for_phase};

/// Interval at which a waiting thread checks its condition, in milliseconds.
const POLL_INTERVAL_MS: u64 = 5;

/// Delay before the first restart, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 100;

/// Maximum delay before a restart, in milliseconds.
const MAX_BACKOFF_MS: u64 = 10_000;

/// What follows from the unexpected end of a child.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChildEndPolicy {
    /// The process ends; the platform restarts it.
    EndProcess,
    /// The child is restarted with exponential backoff.
    Restart,
}

/// Settings of a child.
#[derive(Debug)]
pub(crate) struct ChildSettings {
    /// Its name, also that of its threads.
    pub(crate) name: &'static str,
    /// Number of its threads.
    pub(crate) threads: u32,
    /// What follows from its unexpected end.
    pub(crate) policy: ChildEndPolicy,
    /// Where its end is reported under [`ChildEndPolicy::EndProcess`].
    pub(crate) end_sender: mpsc::Sender<ChildEnd>,
    /// The phase of the process.
    pub(crate) phases: watch::Receiver<Phase>,
    /// The time line of the process.
    pub(crate) recorder: Recorder,
}

impl ChildSettings {
    /// Reports the unexpected end of the child.
    fn report(&self, cause: &'static str) {
        log::error!(
            child = self.name, cause = cause;
            "child ended unexpectedly; by its policy, it is restarted or the process ends"
        );
        self.recorder.record(EventKind::ChildEnded {
            child: self.name.into(),
            cause: cause.into(),
        });
        if self.policy == ChildEndPolicy::EndProcess {
            let end = ChildEnd {
                child: self.name,
                cause: EcoString::from(cause),
            };
            let _ = self.end_sender.try_send(end);
        }
    }

    /// Waits for `pause_ms`; returns `true` at once if the process begins to stop.
    fn shutdown_began_during(&self, pause_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(pause_ms);
        while Instant::now() < until {
            if *self.phases.borrow() != Phase::Running {
                return true;
            }
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
        false
    }
}

/// A running child of the root.
#[derive(Debug)]
pub(crate) struct Child {
    thread: JoinHandle<()>,
}

impl Child {
    /// Spawns a child whose work runs until it ends or the process is killed.
    ///
    /// `start` creates the work; it is called again only under
    /// [`ChildEndPolicy::Restart`].
    pub(crate) fn spawn<Start, Work>(settings: ChildSettings, mut start: Start) -> Result<Self>
    where
        Start: FnMut(watch::Receiver<Phase>) -> Work + Send + 'static,
        Work: Future<Output = ()>,
    {
        let mut runtime = runtime(settings.name, settings.threads)?;
        let name = settings.name;
        let body = move || {
            let mut backoff_ms = INITIAL_BACKOFF_MS;
            loop {
                let cause = run_once(
                    &runtime,
                    start_guarded(&mut start, &settings.phases),
                    &settings,
                );
                runtime.shutdown_background();
                let Some(cause) = cause else { return };
                settings.report(cause);
                if settings.policy == ChildEndPolicy::EndProcess
                    || settings.shutdown_began_during(backoff_ms)
                {
                    return;
                }
                backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
                runtime = match self::runtime(settings.name, settings.threads) {
                    Ok(runtime) => runtime,
                    Err(_) => return settings.report("can't be restarted"),
                };
            }
        };
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(body)?;
        Ok(Self { thread })
    }

    /// Waits until the child has ended or the deadline has passed.
    pub(crate) fn wait_until(&mut self, deadline: Instant) {
        while !self.thread.is_finished() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
    }

    /// Waits until the thread of the child has ended.
    pub(crate) fn join(self) {
        let _ = self.thread.join();
    }
}

/// Calls `start`; returns `None` if it panics, which counts as the end of the child.
fn start_guarded<Start, Work>(start: &mut Start, phases: &watch::Receiver<Phase>) -> Option<Work>
where
    Start: FnMut(watch::Receiver<Phase>) -> Work,
{
    catch_unwind(AssertUnwindSafe(|| start(phases.clone()))).ok()
}

/// Runs the work and returns the cause of its end if that was unexpected.
///
/// An end is unexpected after a panic or while the process is running.
fn run_once<Work>(
    runtime: &Runtime,
    work: Option<Work>,
    settings: &ChildSettings,
) -> Option<&'static str>
where
    Work: Future<Output = ()>,
{
    let Some(work) = work else {
        return Some("panicked");
    };
    let killed = wait_for_phase(settings.phases.clone(), Phase::Killed);
    let outcome = catch_unwind(AssertUnwindSafe(|| {
        runtime.block_on(async {
            tokio::select! {
                () = work => {}
                () = killed => {}
            }
        });
    }));
    match outcome {
        Err(_) => Some("panicked"),
        Ok(()) if *settings.phases.borrow() == Phase::Running => Some("ended early"),
        Ok(()) => None,
    }
}

fn runtime(name: &str, threads: u32) -> Result<Runtime> {
    let mut builder = match threads {
        0 | 1 => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    if threads > 1 {
        builder.worker_threads(threads as usize);
    }
    Ok(builder.enable_all().thread_name(name).build()?)
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;
    use std::sync::atomic::{AtomicU32, Ordering};

    use super::*;

    fn settings(
        policy: ChildEndPolicy,
    ) -> (
        ChildSettings,
        watch::Sender<Phase>,
        mpsc::Receiver<ChildEnd>,
    ) {
        let (phase, phases) = watch::channel(Phase::Running);
        let (end_sender, ends) = mpsc::channel(1);
        let recorder = Recorder::new("entry-0".into());
        let settings = ChildSettings {
            name: "probe",
            threads: 1,
            policy,
            end_sender,
            phases,
            recorder,
        };
        (settings, phase, ends)
    }

    #[test]
    fn panic_restarts() {
        let (settings, phase, _ends) = settings(ChildEndPolicy::Restart);
        let starts = Arc::new(AtomicU32::new(0));
        let counted = starts.clone();
        let (again, restarted) = std::sync::mpsc::channel();
        let child = Child::spawn(settings, move |phases| {
            let start = counted.fetch_add(1, Ordering::SeqCst);
            let again = again.clone();
            async move {
                assert!(start > 0, "the first start panics");
                let _ = again.send(());
                wait_for_phase(phases, Phase::Killed).await;
            }
        });
        restarted.recv().unwrap();
        phase.send(Phase::Killed).unwrap();
        child.unwrap().join();
        assert_eq!(starts.load(Ordering::SeqCst), 2);
    }

    #[test]
    fn panic_ends_process() {
        let (settings, _phase, mut ends) = settings(ChildEndPolicy::EndProcess);
        let child = Child::spawn(settings, |_| async { panic!("intended by the test") });
        let end = ends.blocking_recv().unwrap();
        assert_eq!((end.child, end.cause.as_str()), ("probe", "panicked"));
        child.unwrap().join();
    }

    #[test]
    fn planned_end() {
        let (settings, phase, mut ends) = settings(ChildEndPolicy::EndProcess);
        let child = Child::spawn(settings, |phases| wait_for_phase(phases, Phase::Draining));
        phase.send(Phase::Draining).unwrap();
        child.unwrap().join();
        assert!(ends.blocking_recv().is_none());
    }
}
