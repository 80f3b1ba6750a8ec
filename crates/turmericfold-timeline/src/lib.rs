//! Typed events of every process, stamped by a hybrid logical clock.

mod event;
mod explain;
mod merge;
mod recorder;
mod svg;
mod text;
mod trace;

pub use event::{Event, EventKind};
pub use explain::explain;
pub use merge::{EventFilter, events_from_log, merge};
pub use recorder::Recorder;
pub use svg::render_svg;
pub use trace::trace_events;
