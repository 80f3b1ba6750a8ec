//! The log lines of the current thread, captured for tests of what is logged.

use std::cell::RefCell;
use std::collections::BTreeMap;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};

thread_local! {
    static LINES: RefCell<Option<Vec<LogLine>>> = const { RefCell::new(None) };
}

/// A log line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogLine {
    /// The message.
    pub message: String,
    /// The fields, as text.
    pub fields: BTreeMap<String, String>,
}

/// A logger that keeps the lines of the threads that capture them.
struct CapturingLog;

impl Log for CapturingLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        LINES.with_borrow(Option::is_some)
    }

    fn log(&self, record: &Record<'_>) {
        LINES.with_borrow_mut(|lines| {
            let Some(lines) = lines else {
                return;
            };
            let mut line = LogLine {
                message: record.args().to_string(),
                ..LogLine::default()
            };
            if record.key_values().visit(&mut line).is_ok() {
                lines.push(line);
            }
        });
    }

    fn flush(&self) {}
}

impl<'kvs> VisitSource<'kvs> for LogLine {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.fields.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Captures the lines that the current thread logs from now on.
///
/// # Panics
///
/// Panics if the process has another logger.
pub fn capture() {
    if log::set_logger(&CapturingLog).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
    LINES.set(Some(Vec::new()));
    log::info!("capturing");
    assert_eq!(take().len(), 1, "another logger is set");
}

/// Takes the captured lines of the current thread.
pub fn take() -> Vec<LogLine> {
    LINES.with_borrow_mut(|lines| lines.replace(Vec::new()).unwrap_or_default())
}
