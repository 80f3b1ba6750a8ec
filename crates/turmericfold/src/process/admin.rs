//! The admin child: serves status, metrics and time line to operators.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;

use ecow::eco_format;
use tokio::sync::watch;
use turmericfold_config::Settings;
use turmericfold_control::{ControlHandle, ControlSnapshot, OwnedEndpoint};
use turmericfold_peer::{TaskAnswer, TaskCall};
use turmericfold_platform::{BootClock, Clock};
use turmericfold_timeline::{Event, EventKind, Recorder};
use turmericfold_traffic::Router;
use turmericfold_types::{ServiceName, ShardId, TaskId, Verdict};
use warp::Filter;

use super::secrets::OperatorsToken;
use super::{Phase, metrics, wait_for_phase};
use crate::status::{EndpointStatus, MemberStatus, ProcessStatus, ShardStatus, TaskStateName};

/// Age up to which refusals count as recent, in milliseconds.
const RECENT_REFUSALS_MS: u64 = 300_000;

/// Maximum number of automatic changes in the status.
const MAX_SHOWN_CHANGES: usize = 5;

/// Maximum number of tasks in one page.
const TASK_PAGE_LIMIT: u32 = 1_000;

/// Number of tasks of one shard after which no further page is counted.
const MAX_COUNTED_TASKS: usize = 20_000;

/// Inputs of the admin child.
#[derive(Clone)]
pub(crate) struct AdminChild {
    pub(crate) settings: Settings,
    pub(crate) operators: Arc<TcpListener>,
    pub(crate) token: Option<OperatorsToken>,
    pub(crate) router: Router,
    pub(crate) recorder: Recorder,
}

impl AdminChild {
    /// Runs until the process begins to stop.
    pub(crate) async fn run(self, phases: watch::Receiver<Phase>) {
        let listener = self.operators.try_clone();
        let Ok(listener) = listener.and_then(tokio::net::TcpListener::from_std) else {
            return;
        };
        let view = AdminView {
            settings: self.settings,
            router: self.router,
            recorder: self.recorder,
        };
        let with_view = warp::any().map(move || view.clone());
        let status = warp::path!("v1" / "status")
            .and(with_view.clone())
            .then(|view: AdminView| async move { warp::reply::json(&view.status().await) });
        let timeline = warp::path!("v1" / "timeline")
            .and(with_view.clone())
            .map(|view: AdminView| warp::reply::json(&view.recorder.events()));
        let metrics = warp::path!("metrics")
            .and(with_view)
            .then(|view: AdminView| async move {
                let text = metrics::exposition(&view.status().await);
                warp::reply::with_header(text, "content-type", metrics::CONTENT_TYPE)
            });
        let token = self.token;
        let allowed = warp::header::optional::<String>("authorization").and_then(
            move |header: Option<String>| {
                let is_allowed = token
                    .as_ref()
                    .is_none_or(|token| token.matches_header(header.as_deref()));
                std::future::ready(if is_allowed {
                    Ok(())
                } else {
                    Err(warp::reject::not_found())
                })
            },
        );
        let routes = warp::get()
            .and(allowed)
            .untuple_one()
            .and(status.or(timeline).or(metrics));
        warp::serve(routes)
            .incoming(listener)
            .graceful(wait_for_phase(phases, Phase::Draining))
            .run()
            .await;
    }
}

/// State that the operators' interface reads.
#[derive(Debug, Clone)]
struct AdminView {
    settings: Settings,
    router: Router,
    recorder: Recorder,
}

impl AdminView {
    async fn status(&self) -> ProcessStatus {
        let control = self.router.control();
        let snapshot = control.snapshot();
        let now = BootClock.now();
        let events = self.recorder.events();
        ProcessStatus {
            process: self.settings.process.name.clone(),
            failure_domain: self.settings.process.failure_domain.clone(),
            ready: self.router.is_ready(),
            stopping: snapshot.stopping,
            revision: snapshot.configuration.revision,
            store_reachable: store_reachable(&events),
            tenure_left_ms: control.shard_leases().remaining_ms(now),
            automatic_changes_frozen: snapshot.configuration.fleet.freeze_automatic_changes,
            shards: shards(&snapshot),
            members: members(&snapshot),
            endpoints: snapshot.endpoints.iter().map(endpoint).collect(),
            load: self.router.pool().load(now).services,
            requests: self.router.counters().by_service(),
            refused_lately: refused_lately(&events),
            tasks: task_counts(control, &snapshot).await,
            automatic_changes: automatic_changes(&events),
        }
    }
}

fn shards(snapshot: &ControlSnapshot) -> Vec<ShardStatus> {
    let owners = snapshot.owners.iter();
    owners
        .map(|(shard, owner)| ShardStatus {
            shard: shard.clone(),
            owner: owner.process.instance.clone(),
            epoch: owner.epoch,
            live: owner.peer_address.is_some(),
        })
        .collect()
}

fn members(snapshot: &ControlSnapshot) -> Vec<MemberStatus> {
    let peers = snapshot.peers.iter();
    peers
        .map(|peer| MemberStatus {
            process: peer.process.instance.clone(),
            failure_domain: peer.failure_domain.clone(),
            suspected: peer.suspected,
        })
        .collect()
}

fn endpoint(endpoint: &OwnedEndpoint) -> EndpointStatus {
    let now = BootClock.now();
    let closed = if endpoint.leaving {
        Some("leaving".into())
    } else if endpoint.blocked_until > now {
        let left_ms = endpoint.blocked_until.since_ms(now);
        Some(eco_format!(
            "requests of an earlier owner may run for {left_ms} ms more"
        ))
    } else {
        None
    };
    EndpointStatus {
        name: endpoint.name.clone(),
        service: endpoint.service.clone(),
        shard: endpoint.shard.clone(),
        slots: endpoint.slots,
        closed,
    }
}

fn store_reachable(events: &[Event]) -> bool {
    let last = events.iter().rev().find_map(|event| match event.event {
        EventKind::StoreChanged { reachable } => Some(reachable),
        _ => None,
    });
    last.unwrap_or(true)
}

/// Counts the recent requests that failed without having run.
fn refused_lately(events: &[Event]) -> BTreeMap<ServiceName, u64> {
    let newest_ms = events.last().map_or(0, Event::time_ms);
    let mut refused = BTreeMap::new();
    for event in events {
        if event.time_ms() + RECENT_REFUSALS_MS < newest_ms {
            continue;
        }
        if let EventKind::RequestFailed {
            service,
            verdict: Verdict::NotRun,
            ..
        } = &event.event
        {
            *refused.entry(service.clone()).or_default() += 1;
        }
    }
    refused
}

fn automatic_changes(events: &[Event]) -> Vec<ecow::EcoString> {
    let changes = events.iter().rev().filter_map(|event| match &event.event {
        EventKind::AutomaticChange {
            subject,
            step,
            cause,
        } => Some(eco_format!("{step} {subject}: {cause}")),
        _ => None,
    });
    changes.take(MAX_SHOWN_CHANGES).collect()
}

async fn task_counts(
    control: &ControlHandle,
    snapshot: &ControlSnapshot,
) -> BTreeMap<ServiceName, BTreeMap<TaskStateName, u64>> {
    let mut counts: BTreeMap<ServiceName, BTreeMap<TaskStateName, u64>> = BTreeMap::new();
    let owned = snapshot.owners.iter().filter(|(_, owner)| owner.is_self);
    for (shard, _) in owned {
        let mut after = None;
        let mut counted = 0;
        while let Some((statuses, more)) = task_page(control, shard, after.take()).await {
            counted += statuses.len();
            after = statuses.last().map(|(task, _, _)| task.clone());
            for (_, service, state) in statuses {
                *counts.entry(service).or_default().entry(state).or_default() += 1;
            }
            if !more || counted >= MAX_COUNTED_TASKS {
                break;
            }
        }
    }
    counts
}

type CountedTask = (TaskId, ServiceName, TaskStateName);

async fn task_page(
    control: &ControlHandle,
    shard: &ShardId,
    after: Option<TaskId>,
) -> Option<(Vec<CountedTask>, bool)> {
    let call = TaskCall::List {
        shard: shard.clone(),
        service: None,
        state: None,
        after,
        limit: TASK_PAGE_LIMIT,
    };
    match control.task(call).await {
        TaskAnswer::Page(page) => {
            let tasks = page.tasks.into_iter();
            let tasks = tasks.map(|task| (task.id, task.service, task.state.as_str().into()));
            Some((tasks.collect(), page.more))
        }
        _ => None,
    }
}
