//! A fleet of separate entry processes on loopback, with faults on the paths between them.
//!
//! The store, the workers and the proxies on all paths run in the process of the test. Each
//! pair of a process and another place has a proxy of its own: the store shows each process the
//! addresses of its own proxies in place of the registered ones.

mod address_view;
mod call_faults;
mod callers;
mod configuration;
mod drawn_faults;
mod fault_planner;
mod faults;
mod fleet_clock;
mod http_service;
mod layout;
mod link;
mod load;
mod network;
mod process;
mod recut_scripts;
mod reserved_port;
mod run_record;
mod scenario;
mod scripted;
mod store;
mod worker;
mod worker_faults;
mod worker_life;
mod worker_log;
mod worker_messages;
mod worker_scripts;
mod worker_state;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::Method;
use rustix::process::Signal;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::Instant;
use turmericfold_types::MonotonicMs;

pub use call_faults::CallFaultKind;
pub use callers::{Callers, JobKind};
pub use faults::{Fault, FaultPlan, PlannedFault};
pub use layout::{DomainSize, FleetLayout};
pub use load::Load;
pub use network::{Direction, Network, Place, between};
pub use run_record::{RecordedRun, RunRecord, TwiceCase, TwiceKind};
pub use scenario::{Scenario, ScenarioOutcome};
pub use scripted::{Script, UnknownScript};

use crate::HttpProbe;
use address_view::AddressView;
use fleet_clock::FleetClock;
use layout::Subnet;
use link::Link;
use process::{EntryProcess, PEER_PORT};
use store::{FleetStore, serve_store};
use worker::FleetWorker;
use worker_life::HEARTBEAT_MS;
use worker_log::WorkerLog;

/// The interval at which the workers end runs whose time has come, in milliseconds.
const WORKER_STEP_MS: u64 = 10;

/// The time between the heartbeats of workers with successive numbers, in milliseconds.
const HEARTBEAT_PHASE_MS: u64 = 410;

/// How long all processes may take to become ready, in milliseconds.
const READY_TIMEOUT_MS: u64 = 60_000;

/// The interval at which the readiness of a process is asked for, in milliseconds.
const READY_STEP_MS: u64 = 100;

/// The interval at which a process is asked whether it has ended, in milliseconds.
const END_STEP_MS: u64 = 20;

/// How long a process may take to stop after SIGTERM, in milliseconds.
const GRACE_MS: u64 = 6_000;

/// A fleet of separate entry processes on loopback.
#[derive(Debug)]
pub struct ProcessFleet {
    layout: FleetLayout,
    clock: FleetClock,
    network: Arc<Network>,
    store: Arc<FleetStore>,
    processes: Vec<EntryProcess>,
    workers: Vec<Arc<FleetWorker>>,
    /// The processes that were killed as owners of workers, with these workers.
    killed_owners: Vec<(Vec<usize>, usize)>,
    record: Arc<Mutex<RunRecord>>,
    links: Vec<Link>,
    servers: JoinSet<()>,
}

impl ProcessFleet {
    /// Starts a fleet without the workers of `absent`, whose processes run `program` and keep
    /// settings and logs in `folder`, and waits until all processes are ready.
    ///
    /// # Panics
    ///
    /// Panics if a process can't be started or is not ready in time.
    pub async fn start(
        layout: FleetLayout,
        absent: &[usize],
        program: &Path,
        folder: &Path,
    ) -> Self {
        std::fs::create_dir_all(folder).unwrap();
        let clock = FleetClock::new();
        let store = Arc::new(FleetStore::new(clock));
        store.call(configuration::write_call());
        let mut fleet = Self {
            layout,
            clock,
            network: Arc::default(),
            store: store.clone(),
            processes: Vec::new(),
            workers: Vec::new(),
            killed_owners: Vec::new(),
            record: Arc::default(),
            links: Vec::new(),
            servers: JoinSet::new(),
        };
        fleet.add_workers(&store, absent, folder).await;
        fleet.add_processes(program, folder);
        fleet.connect(&store).await;
        for process in &mut fleet.processes {
            process.start();
        }
        fleet.wait_until_ready().await;
        fleet
    }

    /// Returns the processes and workers, and the failure domains they are in.
    pub fn layout(&self) -> &FleetLayout {
        &self.layout
    }

    /// Returns the paths between the places.
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// Returns the time, in milliseconds since 1970, as the processes' logs show it.
    pub fn now(&self) -> MonotonicMs {
        self.clock.now()
    }

    /// Returns the addresses of the processes for callers.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(EntryProcess::front).collect()
    }

    /// Returns a copy of the record of all runs.
    pub fn record(&self) -> RunRecord {
        let record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        record.clone()
    }

    /// Returns the number of runs in progress.
    pub fn running(&self) -> usize {
        self.workers.iter().map(|worker| worker.run_count()).sum()
    }

    /// Suspends a process.
    pub fn suspend(&self, process: usize) {
        self.processes[process].send(Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self, process: usize) {
        self.processes[process].send(Signal::CONT);
    }

    /// Kills a process.
    pub fn kill(&mut self, process: usize) {
        self.processes[process].kill();
    }

    /// Tells a process to stop.
    pub fn terminate(&self, process: usize) {
        self.processes[process].send(Signal::TERM);
    }

    /// Waits until a process that was told to stop has ended, and kills it after the grace
    /// period.
    pub async fn wait_for_end(&mut self, process: usize) {
        let deadline = Instant::now() + Duration::from_millis(GRACE_MS);
        while !self.processes[process].has_ended() && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(END_STEP_MS)).await;
        }
        self.processes[process].kill();
    }

    /// Starts a process again.
    pub fn start_again(&mut self, process: usize) {
        if !self.processes[process].is_started() {
            self.processes[process].start();
        }
    }

    /// Ends all processes, and waits for their ends.
    pub async fn stop(mut self) {
        for process in &mut self.processes {
            process.kill();
        }
        for link in self.links.drain(..) {
            link.stop().await;
        }
        self.servers.shutdown().await;
    }

    async fn add_workers(&mut self, store: &Arc<FleetStore>, absent: &[usize], folder: &Path) {
        for (number, domain) in self.layout.worker_domains().into_iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let zone = zone(domain);
            let log = WorkerLog::create(folder, number);
            let record = self.record.clone();
            let worker = FleetWorker::new(number, zone, address, self.clock, record, log);
            if absent.contains(&number) {
                worker.leave(None);
                self.network.refuse(&self.paths_of_worker(number));
            }
            let worker = Arc::new(worker);
            let answering = worker.clone();
            self.servers
                .spawn(http_service::serve(listener, move |request| {
                    let worker = answering.clone();
                    async move { worker.answer(request).await }
                }));
            self.servers.spawn(register(
                worker.clone(),
                number,
                store.clone(),
                self.network.clone(),
            ));
            self.workers.push(worker);
        }
        self.servers.spawn(advance(self.workers.clone()));
    }

    fn add_processes(&mut self, program: &Path, folder: &Path) {
        let subnet = Subnet::free(PEER_PORT);
        for (number, domain) in self.layout.process_domains().into_iter().enumerate() {
            let name = format!("edge-{}-{number}", zone(domain));
            let process = EntryProcess::new(name, program, folder, subnet.ip(number));
            self.processes.push(process);
        }
    }

    /// Starts the paths of each process to all other places.
    async fn connect(&mut self, store: &Arc<FleetStore>) {
        let domains = self.layout.process_domains();
        for (number, domain) in domains.into_iter().enumerate() {
            let mut view = AddressView::default();
            for (place, address) in self.registered_places() {
                if place != Place::Process(number) {
                    view.insert(address, self.add_link(number, place, address).await);
                }
            }
            let front = serve_store(store.clone(), Arc::new(view), &mut self.servers).await;
            let store_address = self.add_link(number, Place::Store, front).await;
            self.processes[number].write_settings(&zone(domain), store_address);
        }
    }

    fn registered_places(&self) -> Vec<(Place, SocketAddr)> {
        let processes = self.processes.iter().enumerate();
        let workers = self.workers.iter().enumerate();
        let processes = processes.map(|(number, process)| (Place::Process(number), process.peer()));
        let workers = workers.map(|(number, worker)| (Place::Worker(number), worker.address()));
        processes.chain(workers).collect()
    }

    async fn add_link(&mut self, process: usize, to: Place, target: SocketAddr) -> SocketAddr {
        let direction = (Place::Process(process), to);
        let source = self.processes[process].peer().ip();
        let link = Link::start(&self.network, direction, source, target).await;
        let address = link.address();
        self.links.push(link);
        address
    }

    async fn wait_until_ready(&self) {
        let probe = HttpProbe::new();
        let deadline = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        for process in &self.processes {
            let url = format!("http://{}/-/readyz", process.ready());
            while !is_ready(&probe, &url).await {
                assert!(Instant::now() < deadline, "a process is not ready in time");
                tokio::time::sleep(Duration::from_millis(READY_STEP_MS)).await;
            }
        }
    }
}

fn zone(domain: usize) -> String {
    format!("z{}", domain + 1)
}

async fn is_ready(probe: &HttpProbe, url: &str) -> bool {
    let answer = probe.send(Method::GET, url, "").await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

async fn advance(workers: Vec<Arc<FleetWorker>>) {
    let mut steps = tokio::time::interval(Duration::from_millis(WORKER_STEP_MS));
    loop {
        steps.tick().await;
        for worker in &workers {
            worker.advance();
        }
    }
}

async fn register(
    worker: Arc<FleetWorker>,
    number: usize,
    store: Arc<FleetStore>,
    network: Arc<Network>,
) {
    worker.beat(&store);
    let phase_ms = number as u64 * HEARTBEAT_PHASE_MS % HEARTBEAT_MS;
    let first = Instant::now() + Duration::from_millis(phase_ms);
    let mut beats = tokio::time::interval_at(first, Duration::from_millis(HEARTBEAT_MS));
    loop {
        beats.tick().await;
        if network.is_open((Place::Worker(number), Place::Store)) {
            worker.beat(&store);
        }
    }
}
