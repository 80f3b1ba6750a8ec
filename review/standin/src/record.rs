//! The record of what was sent, answered and run: a line each, with the time of day in ms.

use std::fs::OpenOptions;
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

pub fn record(text: &str) {
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
    let line = format!("{} {text}\n", unix_ms());
    let opened = OpenOptions::new().create(true).append(true).open(path);
    if let Ok(mut file) = opened {
        let _ = file.write_all(line.as_bytes());
    }
}
