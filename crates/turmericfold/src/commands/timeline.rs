//! `turmericfold timeline`.

use anyhow::{Context, Result};
use turmericfold_timeline::{Event, EventFilter, events_from_log, merge, render_svg, trace_events};

use super::block_on;
use crate::args::{EventSource, TimelineFormat, TimelineOptions};
use crate::exit::ExitCode;
use crate::fleet_view::FleetView;

/// Prints the events of processes in causal order.
pub(super) fn timeline(options: &TimelineOptions) -> Result<ExitCode> {
    let filter = EventFilter {
        task: options.task.as_deref().map(Into::into),
        request: options.request.as_deref().map(Into::into),
        shard: options.shard.as_deref().map(Into::into),
        instance: options.instance.as_deref().map(Into::into),
        since_ms: options.since_ms,
        until_ms: options.until_ms,
    };
    let mut events = gather(&options.events)?;
    events.retain(|event| filter.matches(event));
    match options.format {
        TimelineFormat::Text => events.iter().for_each(|event| println!("{event}")),
        TimelineFormat::Json => {
            for event in &events {
                println!("{}", serde_json::to_string(event)?);
            }
        }
        TimelineFormat::Trace => println!("{}", trace_events(&events)),
        TimelineFormat::Svg => print!("{}", render_svg(&events)),
    }
    Ok(ExitCode::Done)
}

/// Merges the events of live processes and of log files in causal order.
pub(super) fn gather(source: &EventSource) -> Result<Vec<Event>> {
    let mut events = Vec::new();
    for path in &source.logs {
        let log = std::fs::read(path).with_context(|| path.display().to_string())?;
        events.extend(events_from_log(&String::from_utf8_lossy(&log)));
    }
    if let Some(fleet) = &source.fleet {
        let view = FleetView::new(fleet)?;
        events.extend(block_on(live_events(&view))??);
    }
    Ok(merge(events))
}

async fn live_events(view: &FleetView) -> Result<Vec<Event>> {
    let mut events: Vec<Event> = Vec::new();
    for operator in view.operators().await? {
        match view.client().get(&operator, "/v1/timeline").await {
            Ok(body) => events.append(&mut serde_json::from_slice(&body)?),
            Err(error) => eprintln!("events of {operator} are missing: {error:#}"),
        }
    }
    Ok(events)
}
