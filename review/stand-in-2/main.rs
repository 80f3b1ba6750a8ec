//! Stand-ins of the platform, and the trials of the second review.
//!
//! `trial CASE FOLDER` plays a case and writes `record.txt` into its folder. It exits with 1 if the
//! rule was broken, with 0 if it held, and with 2 if the case could not run. With `TROUBLE=0` it
//! plays the same without the disruption.

mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

/// The time after which a trial that has not ended could not run.
const LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: trial CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let trial = thread::spawn(move || cases::play(&case, &PathBuf::from(folder), has_trouble));
    for _ in 0..LIMIT.as_millis() / 50 {
        if trial.is_finished() {
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    if !trial.is_finished() {
        eprintln!("the trial takes too long");
        fleet::end_all();
        std::process::exit(2);
    }
    let code = trial.join().unwrap_or(2);
    fleet::end_all();
    std::process::exit(code);
}
