//! Process settings and operator declarations.

mod cross_checks;
mod declarations;
mod effects;
mod fault;
mod read;
mod schema;
mod schema_tables;
mod settings;
mod validate;
mod yaml;

pub use declarations::{
    Configuration, FleetRules, FleetShare, Interruption, Profile, Service, Team, Urgency,
};
pub use effects::{Effect, LiveStats, effects};
pub use fault::{Fault, Faults, Mark};
pub use settings::{Limits, Listen, LogSettings, PlatformUrls, ProcessSettings, Secrets, Settings};
