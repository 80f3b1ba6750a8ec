//! Metrics in the text format of Prometheus.
//!
//! The number of label values is bounded: services and states are declared, shards
//! follow the configuration, and no metric has a label for a request, task or
//! caller.

use std::fmt::Error;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, MetricEncoder, NoLabelSet};
use prometheus_client::metrics::MetricType;
use prometheus_client::registry::{Registry, Unit};
use turmericfold_types::{RequestStats, ServiceLoad};

use crate::status::ProcessStatus;

/// The content type of the metrics.
pub(crate) const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// Returns the metrics of one process as text.
pub(crate) fn exposition(status: &ProcessStatus) -> String {
    let mut registry = Registry::with_prefix("turmericfold");
    registry.register_collector(Box::new(StatusCollector(status.clone())));
    let mut text = String::new();
    if encode(&mut text, &registry).is_err() {
        log::warn!("metrics could not be encoded; the reply is incomplete");
    }
    text
}

#[derive(Debug)]
struct StatusCollector(ProcessStatus);

impl Collector for StatusCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), Error> {
        self.process(&mut encoder)?;
        self.requests(&mut encoder)?;
        self.latency(&mut encoder)?;
        self.endpoints(&mut encoder)?;
        self.tasks(&mut encoder)
    }
}

/// The name of a metric, its help text and the function that reads its value.
type Reading<Source, Value> = (&'static str, &'static str, fn(&Source) -> Value);

type Labels<'text> = [(&'static str, &'text str); 1];

impl StatusCollector {
    fn process(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), Error> {
        let status = &self.0;
        let owned = status
            .shards
            .iter()
            .filter(|shard| shard.owner == status.process);
        let suspected = status.members.iter().filter(|member| member.suspected);
        let orphaned = status.shards.iter().filter(|shard| !shard.live);
        let tenure_s = status.tenure_left_ms as f64 / MS_PER_S;
        gauge(
            encoder,
            "ready",
            "Whether callers are served",
            f64::from(u8::from(status.ready)),
        )?;
        gauge(
            encoder,
            "config_revision",
            "The revision in force",
            status.revision.0 as f64,
        )?;
        gauge(
            encoder,
            "store_reachable",
            "Whether the last call to the store was answered",
            f64::from(u8::from(status.store_reachable)),
        )?;
        gauge(
            encoder,
            "tenure_left_seconds",
            "Time left of the tenure",
            tenure_s,
        )?;
        gauge(
            encoder,
            "shards_owned",
            "Shards owned by the process",
            owned.count() as f64,
        )?;
        gauge(
            encoder,
            "shards_without_live_owner",
            "Shards whose owner is not a live member",
            orphaned.count() as f64,
        )?;
        gauge(
            encoder,
            "members",
            "Other members known",
            status.members.len() as f64,
        )?;
        gauge(
            encoder,
            "members_suspected",
            "Members that missed heartbeats",
            suspected.count() as f64,
        )?;
        gauge(
            encoder,
            "automatic_changes_frozen",
            "Whether automatic changes are frozen",
            f64::from(u8::from(status.automatic_changes_frozen)),
        )
    }

    fn requests(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), Error> {
        let outcomes: [Reading<RequestStats, u64>; 3] = [
            ("requests_answered", "Requests answered", |requests| {
                requests.answered
            }),
            (
                "requests_refused",
                "Requests refused or failed",
                |requests| requests.refused,
            ),
            (
                "requests_late",
                "Requests answered after their deadline",
                |requests| requests.late,
            ),
        ];
        for (name, help, count) in outcomes {
            let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
            for (service, stats) in &self.0.requests {
                let labels: Labels<'_> = [("service", service.as_str())];
                let mut metric = family.encode_family(&labels)?;
                metric.encode_counter::<NoLabelSet, u64, u64>(&count(stats), None)?;
            }
        }
        Ok(())
    }

    fn latency(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), Error> {
        let help = "Time from a request to its answer";
        let mut family = encoder.encode_descriptor(
            "request_latency",
            help,
            Some(&Unit::Seconds),
            MetricType::Histogram,
        )?;
        for (service, stats) in &self.0.requests {
            let labels: Labels<'_> = [("service", service.as_str())];
            let mut metric = family.encode_family(&labels)?;
            let mut buckets: Vec<(f64, u64)> = stats
                .latency_buckets_ms()
                .map(|(bound_ms, count)| (bound_ms as f64 / MS_PER_S, count))
                .collect();
            if let Some(last) = buckets.last_mut() {
                last.0 = f64::MAX;
            }
            let sum_s = stats.latency_sum_ms as f64 / MS_PER_S;
            metric.encode_histogram::<NoLabelSet>(sum_s, stats.answered, &buckets, None)?;
        }
        Ok(())
    }

    fn endpoints(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), Error> {
        let amounts: [Reading<ServiceLoad, u32>; 3] = [
            (
                "endpoint_slots",
                "Slots of owned endpoints that may be used",
                |load| load.slots,
            ),
            ("endpoint_slots_taken", "Slots taken", |load| load.taken),
            ("requests_queued", "Requests waiting", |load| load.queued),
        ];
        for (name, help, amount) in amounts {
            let mut family = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
            for load in &self.0.load {
                let labels: Labels<'_> = [("service", load.service.as_str())];
                family.encode_family(&labels)?.encode_gauge(&amount(load))?;
            }
        }
        Ok(())
    }

    fn tasks(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), Error> {
        let help = "Tasks of owned shards by state";
        let mut family = encoder.encode_descriptor("tasks", help, None, MetricType::Gauge)?;
        for (service, states) in &self.0.tasks {
            for (state, count) in states {
                let labels = [("service", service.as_str()), ("state", state.as_str())];
                family.encode_family(&labels)?.encode_gauge(count)?;
            }
        }
        Ok(())
    }
}

fn gauge(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    value: f64,
) -> Result<(), Error> {
    let mut metric: MetricEncoder<'_> =
        encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
    metric.encode_gauge(&value)
}
