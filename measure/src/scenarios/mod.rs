//! The command `run`: puts load on a whole fleet while faults and changes are applied.

mod catalog;
mod outcome;
mod plot;
mod runner;
mod scenario;
mod table;

use std::path::{Path, PathBuf};

use anyhow::{Result, bail};
use ecow::EcoString;
use turmericfold_config::Configuration;

pub use catalog::{Catalog, NAMES};
pub use outcome::{KindOutcome, Mark, Outcome, Results};
pub use runner::run_scenario;
pub use scenario::{FleetAction, Scenario, ScenarioStep};

/// The number of entry processes of a fleet.
pub const ENTRIES: usize = 6;

/// The options of the command `run`.
#[derive(Debug, Clone)]
pub struct RunPlan {
    /// The names of the scenarios to run, or empty for all.
    pub scenarios: Vec<EcoString>,
    /// The firm whose example configuration is used.
    pub firm: EcoString,
    /// The result file of an earlier run to compare with.
    pub compare: Option<PathBuf>,
    /// The directory for the results.
    pub out: PathBuf,
    /// The duration of the load of each scenario, in seconds.
    pub seconds: u64,
}

/// Runs scenarios, prints a table and writes a plot for each, and writes `results.json`.
///
/// Returns whether every scenario passed, see [`Outcome::holds`].
///
/// Fails if a file can't be read or written, a scenario is unknown, or a fleet can't be
/// started.
pub async fn run(plan: RunPlan) -> Result<bool> {
    let path = Path::new("examples").join(format!("{}.yaml", plan.firm));
    let configuration = Configuration::read(&path)?;
    let earlier = plan.compare.as_deref().map(Results::read).transpose()?;
    std::fs::create_dir_all(&plan.out)?;
    let catalog = Catalog::new(configuration.clone(), plan.seconds * 1_000, ENTRIES);
    let names = match plan.scenarios.is_empty() {
        true => NAMES.map(EcoString::from).to_vec(),
        false => plan.scenarios,
    };
    let mut results = Results {
        firm: plan.firm,
        scenarios: Vec::new(),
    };
    for name in names {
        let Some(scenario) = catalog.scenario(&name) else {
            bail!(
                "there is no scenario `{name}`; use one of {}",
                NAMES.join(", ")
            );
        };
        let services = catalog.services();
        let outcome = run_scenario(configuration.clone(), &services, scenario).await?;
        table::print(&outcome, earlier.as_ref());
        plot::draw(&outcome, &plan.out.join(format!("{name}.svg")))?;
        results.scenarios.push(outcome);
        results.write(&plan.out.join("results.json"))?;
    }
    println!("\nresults: {}", plan.out.join("results.json").display());
    Ok(results.scenarios.iter().all(Outcome::holds))
}
