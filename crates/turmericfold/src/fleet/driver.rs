//! Drives the node: hands events to it and carries out its requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};
use turmericfold_fleet::{
    CallId, CallerAnswer, Event, FleetNode, FleetSettings, Moment, Outbox, StoreRequest,
    WorkerRequest,
};
use turmericfold_peer::Delivery;
use turmericfold_platform::{BootClock, Clock, Store, TaskWorkers};

use super::caller_requests::PendingCallerRequest;
use super::load_report::LoadReport;
use super::peers::Peers;
use super::shared_configuration::SharedConfiguration;
use super::stop_time::StopTime;
use super::wall_clock::WallClock;
use super::worker_calls::call_worker;

/// Interval of the node's tick events, in milliseconds.
const TICK_INTERVAL_MS: u64 = 25;

/// Minimum time from the order to stop to the end of the process, in milliseconds,
/// so that the platform's load balancer notices before the process ends.
const MIN_STOP_MS: u64 = 2_500;

/// Part of the grace period after which a stopping process ends even if it has not handed
/// everything over, in percent; a busy process takes a while to answer its callers and end.
const MAX_STOP_PERCENT: u128 = 75;

/// Time by which ticks are late from which the process counts as busy, in milliseconds.
const BUSY_TICK_DELAY_MS: u64 = 700;

/// Time for which a busy process reports that it is not ready, in milliseconds.
const BUSY_MS: u64 = 1_000;

/// Timeout of the last messages and calls, in milliseconds.
const CLOSE_TIMEOUT_MS: u64 = 300;

/// Why the driver has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DriverEnd {
    /// The process was ordered to stop and has stopped.
    Stopped,
}

/// Drives the node: hands events to it and carries out its requests.
#[derive(Debug)]
pub struct Driver<StoreClient, Workers> {
    node: FleetNode,
    outbox: Outbox,
    store: StoreClient,
    workers: Workers,
    clock: BootClock,
    wall_clock: WallClock,
    peers: Peers,
    calls: JoinSet<Event>,
    callers: HashMap<CallId, oneshot::Sender<CallerAnswer>>,
    last_call: u64,
    configuration: SharedConfiguration,
    stop_time: StopTime,
    busy_until: Option<Instant>,
    ready: Arc<AtomicBool>,
    stop_grace_ms: u64,
    load_report: LoadReport,
}

/// The channels on which a driver gets its events.
#[derive(Debug)]
pub struct DriverInputs {
    /// Events of the watches, and failed deliveries to peers.
    pub events: mpsc::Receiver<Event>,
    /// Messages of peers.
    pub deliveries: mpsc::Receiver<Delivery>,
    /// Callers' requests.
    pub requests: mpsc::Receiver<PendingCallerRequest>,
    /// The order to stop.
    pub stop: oneshot::Receiver<()>,
}

impl<StoreClient, Workers> Driver<StoreClient, Workers>
where
    StoreClient: Store,
    Workers: TaskWorkers,
{
    /// Creates the driver of a new node; failed deliveries to peers go to `events`.
    pub fn new(
        settings: &FleetSettings,
        store: StoreClient,
        workers: Workers,
        events: mpsc::Sender<Event>,
    ) -> Self {
        let me = settings.member.process.clone();
        Self {
            node: FleetNode::new(settings),
            outbox: Outbox::new(me.clone()),
            store,
            workers,
            clock: BootClock,
            wall_clock: WallClock::default(),
            peers: Peers::new(me, events),
            calls: JoinSet::new(),
            callers: HashMap::new(),
            last_call: 0,
            configuration: SharedConfiguration::default(),
            stop_time: StopTime::default(),
            busy_until: None,
            ready: Arc::default(),
            stop_grace_ms: 5_000,
            load_report: LoadReport::new(Instant::now()),
        }
    }

    /// Sets the grace period in which the process has to stop, in milliseconds.
    #[must_use]
    pub fn with_stop_grace_ms(mut self, stop_grace_ms: u64) -> Self {
        self.stop_grace_ms = stop_grace_ms;
        self
    }

    /// Returns the configuration in force, shared with the handler of callers.
    pub fn configuration(&self) -> SharedConfiguration {
        self.configuration.clone()
    }

    /// Returns the time since which the process is stopping, to be set by the receiver of the
    /// order to stop.
    pub fn stop_time(&self) -> StopTime {
        self.stop_time.clone()
    }

    /// Returns the flag that is set while this process is ready for callers, shared with
    /// the readiness probes.
    pub fn ready(&self) -> Arc<AtomicBool> {
        self.ready.clone()
    }

    /// Runs until the process was ordered to stop and has handed everything over,
    /// or the grace period ends.
    pub async fn run(mut self, mut inputs: DriverInputs) -> DriverEnd {
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stop = Some(inputs.stop);
        loop {
            let event = tokio::select! {
                Some(ended) = self.calls.join_next() => match ended {
                    Ok(event) => event,
                    Err(error) => {
                        log::error!(error:% = error; "task of a call failed; its result is lost");
                        continue;
                    }
                },
                Some(delivery) = inputs.deliveries.recv() => Event::Peer {
                    from: delivery.from,
                    messages: delivery.messages,
                },
                Some(request) = inputs.requests.recv() => match self.caller_event(request) {
                    Some(event) => event,
                    None => continue,
                },
                Some(event) = inputs.events.recv() => event,
                due_at = ticks.tick() => {
                    self.on_tick(due_at);
                    Event::Tick
                }
                () = wait_for_stop(&mut stop), if stop.is_some() => {
                    stop = None;
                    self.stop_time.begin();
                    Event::Stop
                }
            };
            self.handle(event);
            if self.may_end() {
                inputs.requests.close();
                self.close().await;
                return DriverEnd::Stopped;
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let moment = self.moment();
        let is_tick = matches!(event, Event::Tick);
        let kind = self.load_report.on_event(&event);
        let began_at = Instant::now();
        self.node.handle(moment, event, &mut self.outbox);
        self.load_report.on_handled(kind, began_at.elapsed());
        self.load_report.on_outbox(&self.outbox);
        self.carry_out();
        if is_tick {
            let is_confirmed = self.configuration.is_confirmed(self.clock.now());
            self.load_report.on_configuration_state(is_confirmed);
            self.publish_readiness();
            self.load_report.log_if_due(Instant::now());
            self.drop_former_peers();
        }
    }

    /// Closes the connections to processes that are no longer members.
    fn drop_former_peers(&mut self) {
        let node = &self.node;
        self.peers
            .retain(|process| node.address_of(process).is_some());
    }

    fn carry_out(&mut self) {
        for request in std::mem::take(&mut self.outbox.store) {
            self.call_store(request);
        }
        for request in std::mem::take(&mut self.outbox.workers) {
            self.call_worker(request);
        }
        for reply in std::mem::take(&mut self.outbox.replies) {
            if let Some(caller) = self.callers.remove(&reply.call)
                && caller.send(reply.answer).is_err()
            {
                log::debug!("caller left before its answer; the answer is dropped");
            }
        }
        for (to, messages) in std::mem::take(&mut self.outbox.messages) {
            match self.node.address_of(&to) {
                Some(address) => self.peers.send(&to, address, messages),
                None => log::debug!(peer:% = to; "messages to a non-member are dropped"),
            }
        }
        self.publish_configuration();
    }

    fn publish_configuration(&mut self) {
        let node = &self.node;
        if let Some(configuration) = node.configuration() {
            self.configuration.set_current(configuration);
        }
        let confirmed_until = node.configuration_confirmed_until();
        self.configuration.set_confirmed_until(confirmed_until);
    }

    fn publish_readiness(&self) {
        let node = &self.node;
        let is_busy = self.busy_until.is_some_and(|until| Instant::now() < until);
        let ready = node.is_ready() && !is_busy && self.stop_time.elapsed().is_none();
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            log::info!(ready = ready; "readiness changed; the platform's probes report it");
        }
    }

    /// Records by how much a tick that was due at `due_at` is late.
    fn on_tick(&mut self, due_at: Instant) {
        let delay = due_at.elapsed();
        self.load_report.on_tick_delay(delay);
        if delay >= Duration::from_millis(BUSY_TICK_DELAY_MS) {
            let delay_ms = delay.as_millis() as u64;
            log::warn!(delay_ms = delay_ms; "process is behind with its work; it reports that it is not ready for a while");
            self.busy_until = Some(Instant::now() + Duration::from_millis(BUSY_MS));
        }
    }

    /// Returns the event of a caller's request, or `None` if it was refused meanwhile.
    fn caller_event(&mut self, request: PendingCallerRequest) -> Option<Event> {
        if !request.claim.try_claim() {
            return None;
        }
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.callers.insert(call, request.answer);
        Some(Event::CallerRequest {
            call,
            request: request.request,
        })
    }

    fn call_store(&mut self, request: StoreRequest) {
        let store = self.store.clone();
        self.calls.spawn_local(async move {
            let result = store.call(request.store_call).await;
            let call = request.call;
            Event::Store { call, result }
        });
    }

    fn call_worker(&mut self, request: WorkerRequest) {
        let (workers, clock, ordered_at) = (self.workers.clone(), self.clock, self.clock.now());
        self.calls
            .spawn_local(call_worker(workers, clock, ordered_at, request));
    }

    fn may_end(&self) -> bool {
        let Some(stopping_for) = self.stop_time.elapsed() else {
            return false;
        };
        let waited_ms = stopping_for.as_millis();
        let is_idle = self.node.has_handed_over() && self.callers.is_empty();
        let is_overdue = waited_ms * 100 >= u128::from(self.stop_grace_ms) * MAX_STOP_PERCENT;
        is_overdue || (is_idle && waited_ms >= u128::from(MIN_STOP_MS))
    }

    /// Ends the registration and delivers the remaining messages and calls.
    async fn close(mut self) {
        let moment = self.moment();
        self.node.leave(moment, &mut self.outbox);
        self.carry_out();
        let limit = Duration::from_millis(CLOSE_TIMEOUT_MS);
        let rest = async {
            self.peers.close().await;
            while self.calls.join_next().await.is_some() {}
        };
        if tokio::time::timeout(limit, rest).await.is_err() {
            log::info!("last messages or calls timed out; process ends without their replies");
        }
    }

    fn moment(&mut self) -> Moment {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix = unix.unwrap_or_default().as_millis();
        let unix_ms = u64::try_from(unix).unwrap_or(u64::MAX);
        let now = self.clock.now();
        let unix_ms = self.wall_clock.unix_ms(now, unix_ms);
        Moment { now, unix_ms }
    }
}

/// Waits for the order to stop, or until its sender is gone.
async fn wait_for_stop(stop: &mut Option<oneshot::Receiver<()>>) {
    if let Some(stop) = stop
        && stop.await.is_err()
    {
        log::debug!("sender of the stop order is gone; process stops");
    }
}
