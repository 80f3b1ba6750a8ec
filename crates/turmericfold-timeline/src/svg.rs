//! The time line as an SVG picture.
//!
//! A lane a process, bands for the shards it owns, shading while the store is
//! out, marks for evictions, refusals, starts and ends. The picture is put
//! together as text: it needs rectangles, lines and labels only.

use std::collections::BTreeMap;
use std::fmt::Write;

use turmericfold_types::{InstanceName, ShardId, TaskState};

use crate::{Event, EventKind};

const WIDTH: f64 = 1_200.0;
const LEFT: f64 = 120.0;
const RIGHT: f64 = 20.0;
const TOP: f64 = 64.0;
const BAND_HEIGHT: f64 = 9.0;
const MARK_HEIGHT: f64 = 22.0;
const LANE_GAP: f64 = 12.0;
const AXIS_HEIGHT: f64 = 34.0;

/// Labelled times on the axis.
const TICKS: u32 = 10;

/// Colours of shards, taken in turn.
const SHARD_COLOURS: [&str; 8] = [
    "#4e79a7", "#59a14f", "#9c755f", "#b07aa1", "#76b7b2", "#edc948", "#ff9da7", "#86bcb6",
];

const STORE_OUT: &str = "#f3d6d6";
const EVICTION: &str = "#e15759";
const REFUSAL: &str = "#f28e2b";
const LIFE: &str = "#333333";
const REVISION: &str = "#7b3fb5";

/// Draws the events, which must be in causal order.
pub fn render_svg(events: &[Event]) -> String {
    let plan = Plan::new(events);
    let mut svg = String::new();
    let _ = write!(
        svg,
        r##"<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" viewBox="0 0 {WIDTH} {height}" font-family="sans-serif" font-size="11"><rect width="100%" height="100%" fill="#ffffff"/>"##,
        height = plan.height
    );
    plan.legend(&mut svg);
    for lane in plan.lanes.values() {
        plan.lane(lane, &mut svg);
    }
    plan.axis(&mut svg);
    svg.push_str("</svg>\n");
    svg
}

/// A stretch of time.
#[derive(Debug, Clone, Copy)]
struct Stretch {
    from_ms: u64,
    to_ms: u64,
}

/// What is drawn of one process.
#[derive(Debug, Default)]
struct Lane {
    name: InstanceName,
    top: f64,
    /// When it was up.
    lives: Vec<Stretch>,
    store_out: Vec<Stretch>,
    owned: Vec<(ShardId, Stretch)>,
    evictions: Vec<u64>,
    refusals: Vec<u64>,
    starts: Vec<u64>,
    ends: Vec<u64>,
    revisions: Vec<(u64, String)>,
}

struct Plan {
    from_ms: u64,
    to_ms: u64,
    height: f64,
    shards: Vec<ShardId>,
    lanes: BTreeMap<InstanceName, Lane>,
}

impl Plan {
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

    fn rect(
        &self,
        svg: &mut String,
        stretch: Stretch,
        (top, height): (f64, f64),
        fill: &str,
        title: &str,
    ) {
        let left = self.x(stretch.from_ms);
        let width = (self.x(stretch.to_ms) - left).max(1.0);
        let _ = write!(
            svg,
            r#"<rect x="{left:.1}" y="{top:.1}" width="{width:.1}" height="{height:.1}" fill="{fill}"><title>{title}</title></rect>"#,
            title = escaped(title)
        );
    }

    fn lane(&self, lane: &Lane, svg: &mut String) {
        let height = lane.height(&self.shards);
        text(svg, LEFT - 10.0, lane.top + 14.0, "end", lane.name.as_str());
        for life in &lane.lives {
            self.rect(svg, *life, (lane.top, height), "#eef2f5", "up");
        }
        for out in &lane.store_out {
            self.rect(
                svg,
                *out,
                (lane.top, height),
                STORE_OUT,
                "store unreachable",
            );
        }
        for (shard, stretch) in &lane.owned {
            let row = lane
                .rows(&self.shards)
                .iter()
                .position(|known| *known == shard)
                .unwrap_or(0);
            let top = lane.top + MARK_HEIGHT + row as f64 * BAND_HEIGHT;
            self.rect(
                svg,
                *stretch,
                (top, BAND_HEIGHT - 1.0),
                self.colour(shard),
                shard.as_str(),
            );
        }
        self.marks(svg, lane, &lane.refusals, REFUSAL, 4.0);
        self.marks(svg, lane, &lane.evictions, EVICTION, 12.0);
        for start in &lane.starts {
            self.upright(svg, *start, lane, height, LIFE, "started");
        }
        for (at, revision) in &lane.revisions {
            self.upright(svg, *at, lane, MARK_HEIGHT, REVISION, revision);
            text(svg, self.x(*at) + 3.0, lane.top + 9.0, "start", revision);
        }
        for end in &lane.ends {
            self.cross(svg, *end, lane.top + height / 2.0);
        }
    }

    fn marks(&self, svg: &mut String, lane: &Lane, times: &[u64], fill: &str, drop: f64) {
        for time in times {
            let _ = write!(
                svg,
                r#"<circle cx="{:.1}" cy="{:.1}" r="2.6" fill="{fill}"/>"#,
                self.x(*time),
                lane.top + drop
            );
        }
    }

    fn upright(
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

    fn cross(&self, svg: &mut String, at: u64, y: f64) {
        let x = self.x(at);
        let _ = write!(
            svg,
            r#"<path d="M{:.1} {:.1} l12 12 m0 -12 l-12 12" stroke="{LIFE}" stroke-width="3" fill="none"/>"#,
            x - 6.0,
            y - 6.0
        );
        text(svg, x + 10.0, y + 4.0, "start", "ended");
    }

    fn axis(&self, svg: &mut String) {
        let y = self.height - AXIS_HEIGHT + 6.0;
        let span_ms = self.to_ms - self.from_ms;
        for tick in 0..=TICKS {
            let at = self.from_ms + span_ms * u64::from(tick) / u64::from(TICKS);
            let x = self.x(at);
            let _ = write!(
                svg,
                r##"<line x1="{x:.1}" x2="{x:.1}" y1="{TOP}" y2="{y:.1}" stroke="#000000" stroke-opacity="0.08"/>"##
            );
            let seconds = (at - self.from_ms) as f64 / 1_000.0;
            text(svg, x, y + 14.0, "middle", &format!("{seconds:.1} s"));
        }
    }

    fn legend(&self, svg: &mut String) {
        let mut x = LEFT;
        for (fill, label) in [
            ("#eef2f5", "process up"),
            (STORE_OUT, "store unreachable"),
            (REFUSAL, "request refused"),
            (EVICTION, "task evicted"),
            (REVISION, "revision in force"),
        ] {
            x = legend_entry(svg, x, 10.0, fill, label);
        }
        x = LEFT;
        for shard in &self.shards {
            if x > WIDTH - 140.0 {
                break;
            }
            x = legend_entry(svg, x, 32.0, self.colour(shard), shard.as_str());
        }
    }
}

impl Lane {
    fn new(name: &InstanceName, own: &[&Event], all: &[Event], to_ms: u64) -> Self {
        let mut lane = Self {
            name: name.clone(),
            ..Self::default()
        };
        let mut up_since = own.first().map(|event| event.time_ms());
        let mut out_since = None;
        let mut owned: BTreeMap<ShardId, u64> = BTreeMap::new();
        for (index, event) in own.iter().enumerate() {
            let at = event.time_ms();
            let ends_here = own
                .get(index + 1)
                .is_none_or(|next| next.event == EventKind::ProcessStarted);
            lane.mark(event, at);
            match &event.event {
                EventKind::ProcessStarted => up_since = Some(at),
                EventKind::ShardClaimed { shard, .. } => {
                    owned.insert(shard.clone(), at);
                }
                EventKind::ShardReleased { shard, .. } => {
                    if let Some(from_ms) = owned.remove(shard) {
                        lane.owned
                            .push((shard.clone(), Stretch { from_ms, to_ms: at }));
                    }
                }
                EventKind::StoreChanged { reachable: false } => out_since = Some(at),
                EventKind::StoreChanged { reachable: true } => {
                    if let Some(from_ms) = out_since.take() {
                        lane.store_out.push(Stretch { from_ms, to_ms: at });
                    }
                }
                _ => {}
            }
            if ends_here {
                let lost = lost_at(name, at, all);
                let to_ms = lost.unwrap_or(if index + 1 == own.len() { to_ms } else { at });
                lane.close(
                    Stretch {
                        from_ms: up_since.unwrap_or(at),
                        to_ms,
                    },
                    &mut owned,
                    out_since.take(),
                );
                if lost.is_some() || index + 1 < own.len() {
                    lane.ends.push(to_ms);
                }
            }
        }
        lane
    }

    fn mark(&mut self, event: &Event, at: u64) {
        match &event.event {
            EventKind::ProcessStarted => self.starts.push(at),
            EventKind::ConfigInstalled { revision } => {
                self.revisions.push((at, revision.to_string()));
            }
            EventKind::RequestFailed { .. } => self.refusals.push(at),
            EventKind::TaskChanged {
                state: TaskState::Evicted,
                ..
            } => self.evictions.push(at),
            _ => {}
        }
    }

    /// Ends what is open when the process ended or the picture does.
    fn close(&mut self, life: Stretch, owned: &mut BTreeMap<ShardId, u64>, out_since: Option<u64>) {
        let to_ms = life.to_ms;
        for (shard, from_ms) in std::mem::take(owned) {
            self.owned.push((shard, Stretch { from_ms, to_ms }));
        }
        if let Some(from_ms) = out_since {
            self.store_out.push(Stretch { from_ms, to_ms });
        }
        self.lives.push(life);
    }

    /// Returns the shards it ever owned, in order.
    fn rows<'shards>(&self, shards: &'shards [ShardId]) -> Vec<&'shards ShardId> {
        let owned = |shard: &&ShardId| self.owned.iter().any(|(own, _)| own == *shard);
        shards.iter().filter(owned).collect()
    }

    fn height(&self, shards: &[ShardId]) -> f64 {
        MARK_HEIGHT + self.rows(shards).len().max(1) as f64 * BAND_HEIGHT + 3.0
    }
}

/// Returns when a process died whose last event was at `last_ms`: shortly after
/// it, if others then saw it go and it did not stop as planned.
fn lost_at(name: &InstanceName, last_ms: u64, all: &[Event]) -> Option<u64> {
    let seen_gone = all.iter().any(|event| {
        event.time_ms() >= last_ms
            && matches!(&event.event, EventKind::MemberChanged { member, live: false } if member == name)
    });
    seen_gone.then_some(last_ms)
}

fn legend_entry(svg: &mut String, x: f64, y: f64, fill: &str, label: &str) -> f64 {
    let _ = write!(
        svg,
        r##"<rect x="{x:.1}" y="{y:.1}" width="12" height="12" fill="{fill}" stroke="#999999" stroke-width="0.5"/>"##
    );
    text(svg, x + 16.0, y + 10.0, "start", label);
    x + 34.0 + label.len() as f64 * 6.2
}

fn text(svg: &mut String, x: f64, y: f64, anchor: &str, label: &str) {
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
