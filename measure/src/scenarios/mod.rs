//! Scenarios: load on a whole fleet while things are done to it.

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

/// Entry processes of a fleet.
pub const ENTRIES: usize = 6;

/// What the command `run` is asked for.
#[derive(Debug, Clone)]
pub struct RunPlan {
    /// The scenarios, or all of them if empty.
    pub scenarios: Vec<EcoString>,
    /// The firm whose example configuration is used.
    pub firm: EcoString,
    /// An earlier result file.
    pub compare: Option<PathBuf>,
    /// Where results go.
    pub out: PathBuf,
    /// How long each scenario's load lasts, in seconds.
    pub seconds: u64,
}

/// Runs scenarios, prints a table, writes `results.json` and a plot for each.
///
/// Returns whether no rule was broken and nothing was lost.
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
            bail!("no scenario `{name}`; there are {}", NAMES.join(", "));
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
