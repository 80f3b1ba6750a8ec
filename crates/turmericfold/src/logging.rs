//! Logging as JSON lines.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};
use turmericfold_config::LogSettings;

/// Starts logging to standard error; `RUST_LOG` overrides the settings.
///
/// Does nothing if logging has already been started.
pub fn init_logging(process: &str, settings: &LogSettings) {
    let mut builder = env_logger::Builder::new();
    builder.parse_filters(&settings.level);
    for (module, level) in &settings.modules {
        if let Ok(level) = level.parse() {
            builder.filter_module(module, level);
        }
    }
    start(builder, process);
}

/// Starts logging to standard output, from which the users' platform collects
/// logs.
pub(crate) fn init_platform_logging(process: &str) {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(log::LevelFilter::Info);
    // Below warnings, tarpc logs a line for every message and answer.
    builder.filter_module("tarpc", log::LevelFilter::Warn);
    builder.target(env_logger::Target::Stdout);
    start(builder, process);
}

fn start(mut builder: env_logger::Builder, process: &str) {
    builder.parse_default_env();
    let process = process.to_owned();
    builder.format(move |buffer, record| {
        let mut fields = FieldCollector(Map::new());
        let _ = record.key_values().visit(&mut fields);
        let line = json!({
            "time": now_ms(),
            "level": record.level().as_str(),
            "process": process,
            "event": record.args().to_string(),
            "module": record.target(),
            "fields": fields.0,
        });
        writeln!(buffer, "{line}")
    });
    let _ = builder.try_init();
}

fn now_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Collects the key-value pairs of a log record.
struct FieldCollector(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
