use tokio::task::LocalSet;

use crate::{
    commands::{Error, Result},
    standin::{
        experiment,
        report::{rows, table},
        script::Script,
    },
    state::publication::Publication,
};

/// Takes 48 s: 4 s to settle, 2 s of warm-up and 10 s of measurement for each of 3 controls.
const SCRIPT: &str = include_str!("live.yaml");

/// Measures a deployment on loopback in real time, with adaptive control and two baselines.
pub fn run(publication: &Publication, json: bool) -> Result<()> {
    let error = |reason: String| Error::Experiment(reason);
    let mut script: Script = serde_saphyr::from_str(SCRIPT).map_err(|e| error(e.to_string()))?;
    script.deployment = publication.head.deployment.name.to_string();
    let capacity = experiment::Capacity::new(&script, publication);
    let capacity = capacity.map_err(|e| error(e.to_string()))?;
    for event in &mut script.events {
        if let crate::standin::script::Fault::Slow { service, .. } = &mut event.fault {
            *service = capacity.deepest.clone();
        }
    }
    eprintln!(
        "{}: capacity {:.0} requests/s at {}; slow 5x, demand 2x, callers retry 3x for 4 s",
        script.deployment, capacity.rate, capacity.deepest
    );
    let mut runs = Vec::new();
    for control in script.controls.clone() {
        eprintln!("running control={}", crate::standin::report::name(control));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| error(e.to_string()))?;
        let experiment = experiment::live(&script, publication, control, script.seed);
        let run = LocalSet::new().block_on(&runtime, experiment);
        runs.push(run.map_err(|e| error(e.to_string()))?);
    }
    if json {
        let text = serde_json::to_string_pretty(&runs).map_err(|e| error(e.to_string()))?;
        println!("{text}");
        return Ok(());
    }
    print!("{}", table(&rows(&script, &runs)));
    for error in runs.iter().flat_map(|r| &r.errors) {
        eprintln!("error: {error}");
    }
    Ok(())
}
