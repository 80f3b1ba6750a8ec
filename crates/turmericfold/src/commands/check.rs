//! `turmericfold check`.

use std::path::Path;

use anyhow::Result;
use serde_json::json;
use turmericfold_config::{Configuration, Faults};

use crate::exit::ExitCode;

/// Checks a configuration and lists every fault.
pub(super) fn check(path: &Path, as_json: bool) -> Result<ExitCode> {
    let read = Configuration::read(path);
    if as_json {
        let faults = read.as_ref().err().cloned().unwrap_or_default();
        let sums = read.as_ref().ok().map(guaranteed_permille);
        println!(
            "{}",
            json!({ "faults": faults, "guaranteed_permille": sums })
        );
    }
    match read {
        Ok(configuration) => {
            if !as_json {
                print_sums(path, &configuration);
            }
            Ok(ExitCode::Done)
        }
        Err(faults) => {
            if !as_json {
                print_faults(&faults);
            }
            Ok(ExitCode::Faulty)
        }
    }
}

/// Reads a configuration; prints its faults and returns `None` if it has any.
pub(super) fn read_or_print_faults(path: &Path) -> Option<Configuration> {
    Configuration::read(path).inspect_err(print_faults).ok()
}

/// Prints every fault to standard error.
fn print_faults(faults: &Faults) {
    eprintln!("{faults}");
    eprintln!("{} faults", faults.0.len());
}

/// Returns the sum of the guaranteed shares of all profiles, in thousandths.
fn guaranteed_permille(configuration: &Configuration) -> u32 {
    let profiles = configuration.profiles.values();
    profiles
        .map(|profile| profile.share.guaranteed_permille)
        .sum()
}

fn print_sums(path: &Path, configuration: &Configuration) {
    println!("{}: no faults", path.display());
    println!(
        "{} profiles, {} services, {} teams, {} shards in {} failure domains",
        configuration.profiles.len(),
        configuration.services.len(),
        configuration.teams.len(),
        configuration.shards().len(),
        configuration.fleet.failure_domains.len()
    );
    let guaranteed = guaranteed_permille(configuration);
    println!("guaranteed room: {guaranteed} of 1000 thousandths of the fleet");
    for (name, profile) in &configuration.profiles {
        let share = profile.share;
        println!(
            "  {:<20} {:>4} guaranteed, {:>4} at most, {}",
            name.as_str(),
            share.guaranteed_permille,
            share.ceiling_permille,
            profile.urgency
        );
    }
}
