//! Draws the time line as an SVG picture.
//!
//! Every process has a lane, with a band for each shard that it owned, shading
//! while the store was unreachable, and marks for evictions, refusals, revisions,
//! starts and ends. The picture consists of a few simple shapes, so it is written
//! as text. All lengths are in pixels.

use std::collections::BTreeMap;
use std::fmt::Write;

use turmericfold_types::{InstanceName, ShardId, TaskState};

use crate::{Event, EventKind};

// The width of the picture, its margins and the heights of its parts.
const WIDTH: f64 = 1_200.0;
const LEFT: f64 = 120.0;
const RIGHT: f64 = 20.0;
const TOP: f64 = 64.0;
const BAND_HEIGHT: f64 = 9.0;
const MARK_HEIGHT: f64 = 22.0;
const LANE_GAP: f64 = 12.0;
const AXIS_HEIGHT: f64 = 34.0;

/// The number of intervals between labelled times on the axis.
const TICK_COUNT: u32 = 10;

/// The colours of shards, assigned in turn.
const SHARD_COLOURS: [&str; 8] = [
    "#4e79a7", "#59a14f", "#9c755f", "#b07aa1", "#76b7b2", "#edc948", "#ff9da7", "#86bcb6",
];

const STORE_OUTAGE_COLOUR: &str = "#f3d6d6";
const EVICTION_COLOUR: &str = "#e15759";
const REFUSAL_COLOUR: &str = "#f28e2b";
const PROCESS_COLOUR: &str = "#333333";
const REVISION_COLOUR: &str = "#7b3fb5";

/// Returns an SVG picture of the events, which must be in causal order.
pub fn render_svg(events: &[Event]) -> String {
    let layout = Layout::new(events);
    let mut svg = String::new();
    let _ = write!(
        svg,
        r##"<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" viewBox="0 0 {WIDTH} {height}" font-family="sans-serif" font-size="11"><rect width="100%" height="100%" fill="#ffffff"/>"##,
        height = layout.height
    );
    layout.draw_legend(&mut svg);
    for lane in layout.lanes.values() {
        layout.draw_lane(lane, &mut svg);
    }
    layout.draw_axis(&mut svg);
    svg.push_str("</svg>\n");
    svg
}

/// An interval of time.
#[derive(Debug, Clone, Copy)]
struct Interval {
    from_ms: u64,
    to_ms: u64,
}

/// The content of the lane of one process.
#[derive(Debug, Default)]
struct Lane {
    name: InstanceName,
    top: f64,
    uptimes: Vec<Interval>,
    store_outages: Vec<Interval>,
    owned_shards: Vec<(ShardId, Interval)>,
    evictions_ms: Vec<u64>,
    refusals_ms: Vec<u64>,
    starts_ms: Vec<u64>,
    ends_ms: Vec<u64>,
    revisions: Vec<(u64, String)>,
}

/// The time range and the lanes of the picture.
struct Layout {
    from_ms: u64,
    to_ms: u64,
    height: f64,
    shards: Vec<ShardId>,
    lanes: BTreeMap<InstanceName, Lane>,
}

impl Layout {
    fn new(events: &[Event]) -> Self {
        let from_ms = events.first().map_or(0, Event::time_ms);
        let to_ms = events.last().map_or(1, Event::time_ms).max(from_ms + 1);
        let mut shards: Vec<ShardId> = events
            .iter()
            .filter_map(|event| event.event.shard())
            .collect();
        shards.sort();
        shards.dedup();
        let mut lanes: BTreeMap<InstanceName, Lane> = BTreeMap::new();
        for event in events {
            lanes.entry(event.process.clone()).or_default();
        }
        let mut top = TOP;
        for (name, lane) in &mut lanes {
            let own: Vec<_> = events
                .iter()
                .filter(|event| event.process == *name)
                .collect();
            *lane = Lane::new(name, &own, events, to_ms);
            lane.top = top;
            top += lane.height(&shards) + LANE_GAP;
        }
        Self {
            from_ms,
            to_ms,
            height: top + AXIS_HEIGHT,
            shards,
            lanes,
        }
    }

    fn x(&self, time_ms: u64) -> f64 {
        let share =
            time_ms.saturating_sub(self.from_ms) as f64 / (self.to_ms - self.from_ms) as f64;
        LEFT + share.min(1.0) * (WIDTH - LEFT - RIGHT)
    }

    fn colour(&self, shard: &ShardId) -> &'static str {
        let index = self
            .shards
            .iter()
            .position(|known| known == shard)
            .unwrap_or(0);
        SHARD_COLOURS[index % SHARD_COLOURS.len()]
    }

    fn draw_rect(
        &self,
        svg: &mut String,
        interval: Interval,
        (top, height): (f64, f64),
        fill: &str,
        title: &str,
    ) {
        let left = self.x(interval.from_ms);
        let width = (self.x(interval.to_ms) - left).max(1.0);
        let _ = write!(
            svg,
            r#"<rect x="{left:.1}" y="{top:.1}" width="{width:.1}" height="{height:.1}" fill="{fill}"><title>{title}</title></rect>"#,
            title = escaped(title)
        );
    }

    fn draw_lane(&self, lane: &Lane, svg: &mut String) {
        let height = lane.height(&self.shards);
        draw_text(svg, LEFT - 10.0, lane.top + 14.0, "end", lane.name.as_str());
        for uptime in &lane.uptimes {
            self.draw_rect(svg, *uptime, (lane.top, height), "#eef2f5", "up");
        }
        for outage in &lane.store_outages {
            self.draw_rect(
                svg,
                *outage,
                (lane.top, height),
                STORE_OUTAGE_COLOUR,
                "store unreachable",
            );
        }
        for (shard, interval) in &lane.owned_shards {
            let row = lane
                .rows(&self.shards)
                .iter()
                .position(|known| *known == shard)
                .unwrap_or(0);
            let top = lane.top + MARK_HEIGHT + row as f64 * BAND_HEIGHT;
            self.draw_rect(
                svg,
                *interval,
                (top, BAND_HEIGHT - 1.0),
                self.colour(shard),
                shard.as_str(),
            );
        }
        self.draw_dots(svg, lane, &lane.refusals_ms, REFUSAL_COLOUR, 4.0);
        self.draw_dots(svg, lane, &lane.evictions_ms, EVICTION_COLOUR, 12.0);
        for start_ms in &lane.starts_ms {
            self.draw_vertical_line(svg, *start_ms, lane, height, PROCESS_COLOUR, "started");
        }
        for (at, revision) in &lane.revisions {
            self.draw_vertical_line(svg, *at, lane, MARK_HEIGHT, REVISION_COLOUR, revision);
            draw_text(svg, self.x(*at) + 3.0, lane.top + 9.0, "start", revision);
        }
        for end_ms in &lane.ends_ms {
            self.draw_cross(svg, *end_ms, lane.top + height / 2.0);
        }
    }

    /// Draws a dot for each time, `offset` below the top of the lane.
    fn draw_dots(&self, svg: &mut String, lane: &Lane, times_ms: &[u64], fill: &str, offset: f64) {
        for time_ms in times_ms {
            let _ = write!(
                svg,
                r#"<circle cx="{:.1}" cy="{:.1}" r="2.6" fill="{fill}"/>"#,
                self.x(*time_ms),
                lane.top + offset
            );
        }
    }

    fn draw_vertical_line(
        &self,
        svg: &mut String,
        at: u64,
        lane: &Lane,
        height: f64,
        stroke: &str,
        title: &str,
    ) {
        let x = self.x(at);
        let _ = write!(
            svg,
            r#"<line x1="{x:.1}" x2="{x:.1}" y1="{:.1}" y2="{:.1}" stroke="{stroke}" stroke-width="1.5"><title>{}</title></line>"#,
            lane.top,
            lane.top + height,
            escaped(title)
        );
    }

    fn draw_cross(&self, svg: &mut String, at: u64, y: f64) {
        let x = self.x(at);
        let _ = write!(
            svg,
            r#"<path d="M{:.1} {:.1} l12 12 m0 -12 l-12 12" stroke="{PROCESS_COLOUR}" stroke-width="3" fill="none"/>"#,
            x - 6.0,
            y - 6.0
        );
        draw_text(svg, x + 10.0, y + 4.0, "start", "ended");
    }

    fn draw_axis(&self, svg: &mut String) {
        let y = self.height - AXIS_HEIGHT + 6.0;
        let span_ms = self.to_ms - self.from_ms;
        for tick in 0..=TICK_COUNT {
            let at = self.from_ms + span_ms * u64::from(tick) / u64::from(TICK_COUNT);
            let x = self.x(at);
            let _ = write!(
                svg,
                r##"<line x1="{x:.1}" x2="{x:.1}" y1="{TOP}" y2="{y:.1}" stroke="#000000" stroke-opacity="0.08"/>"##
            );
            let seconds = (at - self.from_ms) as f64 / 1_000.0;
            draw_text(svg, x, y + 14.0, "middle", &format!("{seconds:.1} s"));
        }
    }

    fn draw_legend(&self, svg: &mut String) {
        let mut x = LEFT;
        for (fill, label) in [
            ("#eef2f5", "process up"),
            (STORE_OUTAGE_COLOUR, "store unreachable"),
            (REFUSAL_COLOUR, "request refused"),
            (EVICTION_COLOUR, "task evicted"),
            (REVISION_COLOUR, "revision in force"),
        ] {
            x = draw_legend_entry(svg, x, 10.0, fill, label);
        }
        x = LEFT;
        for shard in &self.shards {
            if x > WIDTH - 140.0 {
                break;
            }
            x = draw_legend_entry(svg, x, 32.0, self.colour(shard), shard.as_str());
        }
    }
}

impl Lane {
    /// Creates the lane of a process from its own events and those of all processes.
    fn new(name: &InstanceName, own: &[&Event], all: &[Event], to_ms: u64) -> Self {
        let mut lane = Self {
            name: name.clone(),
            ..Self::default()
        };
        let mut up_since = own.first().map(|event| event.time_ms());
        let mut outage_since = None;
        let mut owned: BTreeMap<ShardId, u64> = BTreeMap::new();
        for (index, event) in own.iter().enumerate() {
            let at = event.time_ms();
            let is_last_of_process = own
                .get(index + 1)
                .is_none_or(|next| next.event == EventKind::ProcessStarted);
            lane.add_marks(event, at);
            match &event.event {
                EventKind::ProcessStarted => up_since = Some(at),
                EventKind::ShardClaimed { shard, .. } => {
                    owned.insert(shard.clone(), at);
                }
                EventKind::ShardReleased { shard, .. } => {
                    if let Some(from_ms) = owned.remove(shard) {
                        lane.owned_shards
                            .push((shard.clone(), Interval { from_ms, to_ms: at }));
                    }
                }
                EventKind::StoreChanged { reachable: false } => outage_since = Some(at),
                EventKind::StoreChanged { reachable: true } => {
                    if let Some(from_ms) = outage_since.take() {
                        lane.store_outages.push(Interval { from_ms, to_ms: at });
                    }
                }
                _ => {}
            }
            if is_last_of_process {
                let lost_ms = lost_at_ms(name, at, all);
                let to_ms = lost_ms.unwrap_or(if index + 1 == own.len() { to_ms } else { at });
                lane.close(
                    Interval {
                        from_ms: up_since.unwrap_or(at),
                        to_ms,
                    },
                    &mut owned,
                    outage_since.take(),
                );
                if lost_ms.is_some() || index + 1 < own.len() {
                    lane.ends_ms.push(to_ms);
                }
            }
        }
        lane
    }

    fn add_marks(&mut self, event: &Event, at: u64) {
        match &event.event {
            EventKind::ProcessStarted => self.starts_ms.push(at),
            EventKind::ConfigInstalled { revision } => {
                self.revisions.push((at, revision.to_string()));
            }
            EventKind::RequestFailed { .. } => self.refusals_ms.push(at),
            EventKind::TaskChanged {
                state: TaskState::Evicted,
                ..
            } => self.evictions_ms.push(at),
            _ => {}
        }
    }

    /// Ends an uptime, with the ownerships and the store outage that are still open.
    fn close(&mut self, uptime: Interval, owned: &mut BTreeMap<ShardId, u64>, outage: Option<u64>) {
        let to_ms = uptime.to_ms;
        for (shard, from_ms) in std::mem::take(owned) {
            self.owned_shards.push((shard, Interval { from_ms, to_ms }));
        }
        if let Some(from_ms) = outage {
            self.store_outages.push(Interval { from_ms, to_ms });
        }
        self.uptimes.push(uptime);
    }

    /// Returns the shards that the process ever owned, in order.
    fn rows<'shards>(&self, shards: &'shards [ShardId]) -> Vec<&'shards ShardId> {
        let owned = |shard: &&ShardId| self.owned_shards.iter().any(|(other, _)| other == *shard);
        shards.iter().filter(owned).collect()
    }

    fn height(&self, shards: &[ShardId]) -> f64 {
        MARK_HEIGHT + self.rows(shards).len().max(1) as f64 * BAND_HEIGHT + 3.0
    }
}

/// Returns the time at which a process was lost: that of its last event, shortly
/// before the loss, if any process removed it as a member afterwards.
fn lost_at_ms(name: &InstanceName, last_ms: u64, all: &[Event]) -> Option<u64> {
    let was_removed = all.iter().any(|event| {
        event.time_ms() >= last_ms
            && matches!(&event.event, EventKind::MemberChanged { member, live: false } if member == name)
    });
    was_removed.then_some(last_ms)
}

fn draw_legend_entry(svg: &mut String, x: f64, y: f64, fill: &str, label: &str) -> f64 {
    let _ = write!(
        svg,
        r##"<rect x="{x:.1}" y="{y:.1}" width="12" height="12" fill="{fill}" stroke="#999999" stroke-width="0.5"/>"##
    );
    draw_text(svg, x + 16.0, y + 10.0, "start", label);
    x + 34.0 + label.len() as f64 * 6.2
}

fn draw_text(svg: &mut String, x: f64, y: f64, anchor: &str, label: &str) {
    let _ = write!(
        svg,
        r#"<text x="{x:.1}" y="{y:.1}" text-anchor="{anchor}">{}</text>"#,
        escaped(label)
    );
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
