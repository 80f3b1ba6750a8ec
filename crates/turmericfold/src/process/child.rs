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

use super::{ChildEnd, Phase, reached};

/// Time between two looks at a child that should end, in milliseconds.
const WAIT_STEP_MS: u64 = 5;

/// The first pause before a restart, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 100;

/// The longest pause before a restart, in milliseconds.
const MAX_BACKOFF_MS: u64 = 10_000;

/// What the end of a child before its time leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChildEndPolicy {
    /// The process ends; the platform starts it anew.
    EndProcess,
    /// The child is started again after a pause that doubles.
    Restart,
}

/// How a child is run.
#[derive(Debug)]
pub(crate) struct ChildSettings {
    /// Its name, which its threads carry too.
    pub(crate) name: &'static str,
    /// Its threads.
    pub(crate) threads: u32,
    /// What its end leads to.
    pub(crate) policy: ChildEndPolicy,
    /// Where its end is reported under [`ChildEndPolicy::EndProcess`].
    pub(crate) ended: mpsc::Sender<ChildEnd>,
    /// How far the process is with its end.
    pub(crate) phases: watch::Receiver<Phase>,
    /// The time line.
    pub(crate) recorder: Recorder,
}

impl ChildSettings {
    fn report(&self, cause: &'static str) {
        log::error!(child = self.name, cause = cause; "a child ended");
        self.recorder.record(EventKind::ChildEnded {
            child: self.name.into(),
            cause: cause.into(),
        });
        if self.policy == ChildEndPolicy::EndProcess {
            let end = ChildEnd {
                child: self.name,
                cause: EcoString::from(cause),
            };
            let _ = self.ended.try_send(end);
        }
    }

    /// Waits for `pause_ms` and returns whether the process began to end.
    fn ended_during(&self, pause_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(pause_ms);
        while Instant::now() < until {
            if *self.phases.borrow() != Phase::Running {
                return true;
            }
            std::thread::sleep(Duration::from_millis(WAIT_STEP_MS));
        }
        false
    }
}

/// A child of the root.
#[derive(Debug)]
pub(crate) struct Child {
    thread: JoinHandle<()>,
}

impl Child {
    /// Spawns a child whose work runs until it ends or the process is killed.
    ///
    /// `start` makes the work; it is called again only under [`ChildEndPolicy::Restart`].
    pub(crate) fn spawn<Start, Work>(plan: ChildSettings, mut start: Start) -> Result<Self>
    where
        Start: FnMut(watch::Receiver<Phase>) -> Work + Send + 'static,
        Work: Future<Output = ()>,
    {
        let mut runtime = runtime(plan.name, plan.threads)?;
        let name = plan.name;
        let body = move || {
            let mut backoff_ms = FIRST_BACKOFF_MS;
            loop {
                let cause = run_once(&runtime, start_guarded(&mut start, &plan.phases), &plan);
                runtime.shutdown_background();
                let Some(cause) = cause else { return };
                plan.report(cause);
                if plan.policy == ChildEndPolicy::EndProcess || plan.ended_during(backoff_ms) {
                    return;
                }
                backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
                runtime = match self::runtime(plan.name, plan.threads) {
                    Ok(runtime) => runtime,
                    Err(_) => return plan.report("can't be restarted"),
                };
            }
        };
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(body)?;
        Ok(Self { thread })
    }

    /// Waits until the child has ended, or the deadline has passed.
    pub(crate) fn wait_until(&mut self, deadline: Instant) {
        while !self.thread.is_finished() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(WAIT_STEP_MS));
        }
    }

    /// Joins the thread.
    pub(crate) fn join(self) {
        let _ = self.thread.join();
    }
}

/// Calls `start`; a panic in it counts as the end of the child.
fn start_guarded<Start, Work>(start: &mut Start, phases: &watch::Receiver<Phase>) -> Option<Work>
where
    Start: FnMut(watch::Receiver<Phase>) -> Work,
{
    catch_unwind(AssertUnwindSafe(|| start(phases.clone()))).ok()
}

/// Runs the work to its end and returns why it ended before its time, if so.
fn run_once<Work>(
    runtime: &Runtime,
    work: Option<Work>,
    plan: &ChildSettings,
) -> Option<&'static str>
where
    Work: Future<Output = ()>,
{
    let Some(work) = work else {
        return Some("panicked");
    };
    let killed = reached(plan.phases.clone(), Phase::Killed);
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
        Ok(()) if *plan.phases.borrow() == Phase::Running => Some("ended early"),
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

    fn plan(
        policy: ChildEndPolicy,
    ) -> (
        ChildSettings,
        watch::Sender<Phase>,
        mpsc::Receiver<ChildEnd>,
    ) {
        let (phase, phases) = watch::channel(Phase::Running);
        let (ended, ends) = mpsc::channel(1);
        let recorder = Recorder::new("entry-0".into());
        let plan = ChildSettings {
            name: "probe",
            threads: 1,
            policy,
            ended,
            phases,
            recorder,
        };
        (plan, phase, ends)
    }

    #[test]
    fn panic_restarts() {
        let (plan, phase, _ends) = plan(ChildEndPolicy::Restart);
        let starts = Arc::new(AtomicU32::new(0));
        let counted = starts.clone();
        let (again, restarted) = std::sync::mpsc::channel();
        let child = Child::spawn(plan, move |phases| {
            let start = counted.fetch_add(1, Ordering::SeqCst);
            let again = again.clone();
            async move {
                assert!(start > 0, "the first start panics");
                let _ = again.send(());
                reached(phases, Phase::Killed).await;
            }
        });
        restarted.recv().unwrap();
        phase.send(Phase::Killed).unwrap();
        child.unwrap().join();
        assert_eq!(starts.load(Ordering::SeqCst), 2);
    }

    #[test]
    fn panic_ends_process() {
        let (plan, _phase, mut ends) = plan(ChildEndPolicy::EndProcess);
        let child = Child::spawn(plan, |_| async { panic!("as the test wants") });
        let end = ends.blocking_recv().unwrap();
        assert_eq!((end.child, end.cause.as_str()), ("probe", "panicked"));
        child.unwrap().join();
    }

    #[test]
    fn planned_end() {
        let (plan, phase, mut ends) = plan(ChildEndPolicy::EndProcess);
        let child = Child::spawn(plan, |phases| reached(phases, Phase::Draining));
        phase.send(Phase::Draining).unwrap();
        child.unwrap().join();
        assert!(ends.blocking_recv().is_none());
    }
}
