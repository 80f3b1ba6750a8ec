//! Plays a case of the review: `stand-in CASE RECORD trouble`, from the root of the repository; with
//! `calm` in place of `trouble` it does the same without the disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod fleet;
mod http;
mod json;
mod late_starts;
mod long_series;
mod many_images;
mod record;
mod runner;
mod same_id;
mod site;
mod store;
mod unread_log;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path, mode] = &arguments[..] else {
        eprintln!("usage: stand-in CASE RECORD trouble|calm");
        return ExitCode::from(2);
    };
    let has_trouble = mode != "calm";
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let played = match case.as_str() {
        "missing-run" => late_starts::play_missing_run(Arc::clone(&record), has_trouble),
        "unheard-life" => late_starts::play_unheard_life(Arc::clone(&record), has_trouble),
        "long-series" => long_series::play(Arc::clone(&record), has_trouble),
        "many-images" => many_images::play(Arc::clone(&record), has_trouble),
        "same-id" => same_id::play(Arc::clone(&record), has_trouble),
        "unread-log" => unread_log::play(Arc::clone(&record), has_trouble),
        _ => {
            eprintln!("no such case: {case}");
            return ExitCode::from(2);
        }
    };
    let (text, code) = match played {
        Ok(Some(true)) => ("the rule was broken".to_owned(), 1),
        Ok(Some(false)) => ("the rule held".to_owned(), 0),
        Ok(None) => ("the case could not run".to_owned(), 2),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
