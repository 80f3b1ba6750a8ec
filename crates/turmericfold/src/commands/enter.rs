//! `turmericfold enter`.

use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use turmericfold_adapter::{
    CONFIGURATION_KEY, HttpPool, SiteSettings, SiteStore, SiteWorkers, WORKER_PREFIX,
    decode_configuration, decode_worker, serve_front, serve_readiness, worker_id_from_key,
};
use turmericfold_fleet::{Configuration, FleetSettings, Member};
use turmericfold_peer::serve_fleet;
use turmericfold_platform::WorkerEntry;
use turmericfold_types::{FailureDomain, InstanceName, ProcessId};

use super::block_on;
use crate::exit::ExitCode;
use crate::fleet::{
    CallerRequestSender, Driver, DriverInputs, Listeners, PlatformDecoder, StopTime, Watches,
};
use crate::logging::init_platform_logging;

/// Capacity of each queue of events, messages or requests to the node; senders wait
/// while it is full.
const QUEUE_LENGTH: usize = 1_024;

/// Timeout of sending the last answers to callers before the process ends, in milliseconds.
const LAST_ANSWERS_TIMEOUT_MS: u64 = 400;

/// Runs an entry process on the users' platform until SIGTERM.
pub(super) fn enter(path: &Path) -> Result<ExitCode> {
    let settings = match SiteSettings::read(path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{fault}");
            return Ok(ExitCode::Faulty);
        }
    };
    init_platform_logging(&settings.instance);
    block_on(tokio::task::LocalSet::new().run_until(run(path.to_owned(), settings)))?
}

async fn run(path: PathBuf, settings: SiteSettings) -> Result<ExitCode> {
    let listeners = Listeners::bind(&settings).await?;
    let fleet = fleet_settings(&settings);
    log::info!(
        process:% = fleet.member.process,
        settings:% = path.display(),
        weight = fleet.member.weight,
        version = env!("CARGO_PKG_VERSION");
        "entry process starts"
    );
    let pool = HttpPool::new();
    let store = SiteStore::new(pool.clone(), settings.store_address.clone());
    let (event_sender, events) = mpsc::channel(QUEUE_LENGTH);
    let (delivery_sender, deliveries) = mpsc::channel(QUEUE_LENGTH);
    let (request_sender, requests) = mpsc::channel(QUEUE_LENGTH);
    let (stop_sender, stop) = oneshot::channel();
    let driver = Driver::new(
        &fleet,
        store.clone(),
        SiteWorkers::new(pool),
        event_sender.clone(),
    )
    .with_stop_grace_ms(settings.stop_grace_ms);
    let handler =
        CallerRequestSender::new(request_sender, driver.configuration(), driver.stop_time());
    let watches = Watches::start(store.with_own_connections(), SiteDecoder, event_sender);
    let mut servers = JoinSet::new();
    servers.spawn(serve_readiness(listeners.ready, driver.ready()));
    let (front_stop, front_stopped) = oneshot::channel::<()>();
    let mut front = JoinSet::new();
    front.spawn(serve_front(listeners.callers, handler, async {
        // An error means that the sender is gone, which is an order to stop as well.
        let _ = front_stopped.await;
    }));
    servers.spawn(serve_fleet(listeners.peers, delivery_sender));
    let mut signals = JoinSet::new();
    let reload_path = path.clone();
    signals.spawn(log_settings_changes(reload_path, settings.clone()));
    signals.spawn(wait_for_sigterm(driver.stop_time(), stop_sender));
    let inputs = DriverInputs {
        events,
        deliveries,
        requests,
        stop,
    };
    driver.run(inputs).await;
    drop(front_stop);
    let answered = async { while front.join_next().await.is_some() {} };
    let limit = Duration::from_millis(LAST_ANSWERS_TIMEOUT_MS);
    if tokio::time::timeout(limit, answered).await.is_err() {
        log::warn!(
            "some callers did not read their last answers in time; their connections are closed"
        );
    }
    front.shutdown().await;
    watches.stop().await;
    servers.shutdown().await;
    signals.shutdown().await;
    log::info!(process:% = fleet.member.process; "entry process has stopped");
    Ok(ExitCode::Done)
}

async fn wait_for_sigterm(stop_time: StopTime, stop: oneshot::Sender<()>) {
    let terminate = signal(SignalKind::terminate());
    match terminate {
        Ok(mut terminate) => {
            terminate.recv().await;
            stop_time.begin();
            if stop.send(()).is_err() {
                log::debug!("SIGTERM received, but the process is already stopping");
            }
        }
        Err(error) => log::error!(error:% = error; "SIGTERM can't be handled; process stops"),
    }
}

/// Reads the settings again on SIGHUP and logs whether they have changed; a change
/// takes effect after a restart.
async fn log_settings_changes(path: PathBuf, in_force: SiteSettings) {
    let mut reload = match signal(SignalKind::hangup()) {
        Ok(reload) => reload,
        Err(error) => {
            log::error!(error:% = error; "SIGHUP can't be handled; the settings are not read again");
            return;
        }
    };
    while reload.recv().await.is_some() {
        match SiteSettings::read(&path) {
            Ok(read) => {
                let changed = read != in_force;
                log::info!(changed = changed; "settings read again; changes take effect after a restart");
            }
            Err(fault) => log::error!(fault:% = fault; "settings file is faulty; it is ignored"),
        }
    }
}

fn fleet_settings(settings: &SiteSettings) -> FleetSettings {
    let process = ProcessId {
        instance: InstanceName::new(settings.instance.clone()),
        boot: rand::random(),
    };
    let member = Member {
        process,
        address: settings.peer_address.clone(),
        domain: FailureDomain::new(settings.failure_domain.clone()),
        weight: settings.cpu_millicores.max(1),
        stopping: false,
    };
    FleetSettings::new(member)
        .with_member_ttl_ms(
            settings
                .store_lease_min_ms
                .max(FleetSettings::MEMBER_TTL_MS),
        )
        .with_worker_lease_max_ms(settings.worker_lease_max_ms)
        .with_stop_timeout_ms(settings.stop_timeout_ms)
        .with_job_retention_ms(settings.job_retention_ms)
}

/// Decodes the platform's keys with the functions of the adapter.
#[derive(Debug, Clone, Copy)]
struct SiteDecoder;

impl PlatformDecoder for SiteDecoder {
    fn configuration_key(&self) -> &'static str {
        CONFIGURATION_KEY
    }

    fn worker_prefix(&self) -> &'static str {
        WORKER_PREFIX
    }

    fn configuration(&self, value: &str) -> Option<Configuration> {
        let decoded = decode_configuration(value).context("op/config");
        decoded
            .inspect_err(|error| log::error!(error:% = format!("{error:#}"); "configuration can't be decoded; ignoring it"))
            .ok()
    }

    fn worker(&self, key: &str, value: &str) -> Option<WorkerEntry> {
        decode_worker(key, value)
    }

    fn worker_id_from_key(&self, key: &str) -> Option<InstanceName> {
        worker_id_from_key(key)
    }
}
