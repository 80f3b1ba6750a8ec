//! Starts, changes and stops a fleet on loopback.

use std::net::TcpListener as StdTcpListener;

use anyhow::{Context, Result, bail};
use ecow::{EcoString, eco_format};
use tokio::sync::watch;
use tokio::task::JoinSet;
use turmericfold::Process;
use turmericfold_config::{
    Configuration, Limits, Listen, LogSettings, PlatformUrls, ProcessSettings, Settings,
};
use turmericfold_control::CONFIGURATION_KEY;
use turmericfold_platform::{BootClock, Clock, InstanceListing, StoreCall, StoreReply};
use turmericfold_standin::{
    EndpointStandIn, EndpointViolation, InstanceListModel, PlatformState, WorkerViolation,
};
use turmericfold_timeline::Event;
use turmericfold_types::{FailureDomain, InstanceName, Revision};

use crate::entry::Entry;
use crate::layout::FleetLayout;
use crate::link::Links;
use crate::listing::{ListView, platform_state, serve_platform, start_endpoints};

/// The time between two checks whether a fleet is ready, in milliseconds.
const READY_POLL_INTERVAL_MS: u64 = 50;

/// Violations of the rules of the platform, as the stand-ins saw them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Violations {
    /// The violations at endpoints.
    pub endpoints: Vec<EndpointViolation>,
    /// The violations on workers.
    pub workers: Vec<WorkerViolation>,
}

impl Violations {
    /// Returns the number of violations.
    pub fn count(&self) -> usize {
        self.endpoints.len() + self.workers.len()
    }
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The store, the workers and their faults.
    pub platform: PlatformState,
    /// The endpoints of all services.
    pub endpoints: Vec<EndpointStandIn>,
    /// The links between failure domains.
    pub links: Links,
    /// One instance list for each failure domain.
    instance_lists: Vec<PlatformState>,
    entries: Vec<Entry>,
    /// The events of processes that have ended.
    ended_process_events: Vec<Event>,
    stop: watch::Sender<bool>,
    servers: JoinSet<()>,
}

impl Fleet {
    /// Starts the fleet and waits until every entry is ready.
    ///
    /// Fails if a port can't be bound or the fleet does not become ready.
    pub async fn start<Layout>(layout: Layout) -> Result<Self>
    where
        Layout: Into<FleetLayout>,
    {
        let layout = layout.into();
        let domains = layout.configuration.fleet.failure_domains.clone();
        let domain = |index: usize| domains[index % domains.len()].clone();
        let (stop, stopped) = watch::channel(false);
        let mut servers = JoinSet::new();
        let links = Links::new(layout.link_faults.unwrap_or_default());
        let (endpoints, listed) = start_endpoints(&layout, &mut servers, &stopped).await?;
        let platform = platform_state(&layout);
        put_in_force(&platform, layout.configuration.clone())?;
        let platform_address = serve_platform(platform.clone(), &mut servers, &stopped).await?;
        let mut instance_lists = Vec::new();
        let mut urls = Vec::new();
        for own_domain in &domains {
            let view = ListView {
                layout: &layout,
                own_domain,
                links: &links,
                platform_address: &platform_address,
            };
            let listing = view.listing(&listed, &mut servers, &stopped).await?;
            let list = PlatformState::new(InstanceListModel::new(listing), Vec::new());
            let address = serve_platform(list.clone(), &mut servers, &stopped).await?;
            instance_lists.push(list);
            urls.push(PlatformUrls {
                store: eco_format!("http://{platform_address}"),
                instances: eco_format!("http://{address}"),
            });
        }
        let mut entries = Vec::new();
        for index in 0..layout.entries {
            let urls = urls[index % urls.len()].clone();
            let mut settings = entry_settings(index, domain(index), urls)?;
            if layout.link_faults.is_some() {
                let peers = settings.listen.peers.clone();
                let address = links.relay(peers, &mut servers, stopped.clone()).await?;
                settings.listen.advertised_peers = Some(address);
            }
            entries.push(match layout.first_entry_in_child_process && index == 0 {
                true => Entry::start_child_process(settings)?,
                false => Entry::start(settings)?,
            });
        }
        let fleet = Self {
            platform,
            endpoints,
            links,
            instance_lists,
            entries,
            ended_process_events: Vec::new(),
            stop,
            servers,
        };
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Changes the instance list of every failure domain.
    pub fn change_instance_lists<Change>(&self, change: Change)
    where
        Change: Fn(&mut InstanceListing),
    {
        for list in &self.instance_lists {
            list.list().update(BootClock.now(), &change);
        }
    }

    /// Sets the lag of every instance list behind its changes, in milliseconds.
    pub fn set_list_lag_ms(&self, lag_ms: u64) {
        for list in &self.instance_lists {
            list.list().set_lag_ms(lag_ms);
        }
    }

    async fn wait_until_ready(&self) -> Result<()> {
        for _ in 0..400 {
            let ready = self.running_processes().all(|process| {
                let snapshot = process.control().snapshot();
                let shards = snapshot.configuration.shards().len();
                snapshot.ready && shards > 0 && snapshot.owners.len() == shards
            });
            if ready {
                return Ok(());
            }
            tokio::time::sleep(std::time::Duration::from_millis(READY_POLL_INTERVAL_MS)).await;
        }
        bail!("the fleet did not become ready: an entry is not ready or lacks owners of shards")
    }

    fn running_processes(&self) -> impl Iterator<Item = &Process> {
        self.entries.iter().filter_map(Entry::process)
    }

    /// Returns the addresses for callers of all entries, including stopped ones.
    pub fn caller_addresses(&self) -> Vec<EcoString> {
        self.entries
            .iter()
            .map(|entry| entry.settings.listen.callers.clone())
            .collect()
    }

    /// Returns the number of entries, including stopped ones.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Ends an entry abruptly, as a failure of its instance does.
    pub fn kill(&mut self, index: usize) {
        self.ended_process_events.extend(self.entries[index].kill());
    }

    /// Stops an entry gracefully.
    pub fn stop_entry(&mut self, index: usize) {
        self.ended_process_events.extend(self.entries[index].stop());
    }

    /// Pauses or resumes the first entry if it runs in a child process.
    ///
    /// Fails if the signal can't be sent.
    pub fn set_first_entry_paused(&self, paused: bool) -> Result<()> {
        self.entries
            .first()
            .map_or(Ok(()), |entry| entry.set_paused(paused))
    }

    /// Restarts an entry within this process.
    ///
    /// Fails if its ports can't be bound.
    pub fn restart(&mut self, index: usize) -> Result<()> {
        self.entries[index].restart()
    }

    /// Returns the events of all processes within this one, in causal order.
    pub fn events(&self) -> Vec<Event> {
        let mut events = self.ended_process_events.clone();
        events.extend(
            self.running_processes()
                .flat_map(|process| process.recorder().events()),
        );
        events.sort_by(|a, b| (a.stamp, &a.process).cmp(&(b.stamp, &b.process)));
        events
    }

    /// Returns the violations so far.
    pub fn violations(&self) -> Violations {
        Violations {
            endpoints: self
                .endpoints
                .iter()
                .flat_map(EndpointStandIn::violations)
                .collect(),
            workers: self.platform.worker_violations(),
        }
    }

    /// Stops every entry and stand-in and returns all events.
    pub async fn shutdown(mut self) -> Vec<Event> {
        for index in 0..self.entries.len() {
            self.stop_entry(index);
        }
        let _ = self.stop.send(true);
        self.servers.shutdown().await;
        self.events()
    }
}

/// Writes a configuration to the store as the next revision, which puts it in force.
///
/// Fails if the store stand-in refuses the read or the write.
pub fn put_in_force(platform: &PlatformState, mut configuration: Configuration) -> Result<()> {
    let read = StoreCall::Get {
        key: CONFIGURATION_KEY.into(),
    };
    let mut store = platform.store();
    let StoreReply::Value(stored) = store.call(BootClock.now(), read)? else {
        bail!("the store answered a read with a reply of another kind");
    };
    let revision = match &stored {
        Some(stored) => serde_json::from_str::<Configuration>(&stored.value)?.revision,
        None => Revision(0),
    };
    configuration.revision = Revision(revision.0 + 1);
    let call = StoreCall::CompareAndSwap {
        key: CONFIGURATION_KEY.into(),
        expected: stored.map(|stored| stored.version),
        value: Some(serde_json::to_string(&configuration)?),
        lease: None,
    };
    store.call(BootClock.now(), call)?;
    Ok(())
}

fn entry_settings(
    index: usize,
    failure_domain: FailureDomain,
    platform: PlatformUrls,
) -> Result<Settings> {
    Ok(Settings {
        process: ProcessSettings {
            name: InstanceName(eco_format!("entry-{index}")),
            failure_domain,
        },
        listen: Listen {
            callers: free_port()?,
            peers: free_port()?,
            operators: free_port()?,
            advertised_peers: None,
        },
        platform,
        limits: Limits::default(),
        log: LogSettings::default(),
        secrets: turmericfold_config::Secrets::default(),
    })
}

fn free_port() -> Result<EcoString> {
    let listener =
        StdTcpListener::bind("127.0.0.1:0").context("no free loopback port can be bound")?;
    Ok(eco_format!("{}", listener.local_addr()?))
}
