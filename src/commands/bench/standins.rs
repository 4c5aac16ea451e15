use std::{fs, path::Path, time::Duration};

use tokio::{
    signal,
    task::{JoinSet, LocalSet},
    time::Instant,
};

use crate::{
    commands::{Error, Result},
    standin::{
        caller::{Callers, LoadControls, RetryPolicy},
        experiment::{Capacity, fleet_options, flows},
        fleet::Fleet,
        script::Script,
        tally::Tally,
        world::{CALLERS, Loopback, World},
    },
    state::publication::Publication,
    transport::memory::Process,
};

const SCRIPT: &str = include_str!("live.yaml");
/// Callers stop after this time if the process is not interrupted earlier.
const CALLERS_MAX_S: u64 = 86_400;

/// Writes the settings of the nodes, then runs the stand-ins until the process is interrupted.
pub fn run(publication: &Publication, settings: Option<&Path>, demand: f64) -> Result<()> {
    let error = |reason: String| Error::Experiment(reason);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| error(e.to_string()))?;
    let mut script: Script = serde_saphyr::from_str(SCRIPT).map_err(|e| error(e.to_string()))?;
    script.demand = demand;
    let capacity = Capacity::new(&script, publication).map_err(|e| error(e.to_string()))?;
    LocalSet::new().block_on(&runtime, async {
        let make = fleet_options(&script, &capacity, script.seed);
        let fleet = Fleet::new(Loopback, publication, make);
        for name in fleet.names() {
            let node_settings = fleet.settings(&name).map_err(|e| error(e.to_string()))?;
            // JSON is valid YAML, so the node can read it as its settings file.
            let text =
                serde_json::to_string_pretty(&node_settings).map_err(|e| error(e.to_string()))?;
            match settings {
                Some(dir) => write(&dir.join(format!("{name}.yaml")), &text)?,
                None => println!("{text}"),
            }
            fleet.advertise(&name, true);
        }
        fleet.start_platform();
        fleet.start_servers();
        eprintln!("state=running upstreams={}", fleet.names().len());
        let flows = flows(&script, publication, &capacity).map_err(|e| error(e.to_string()))?;
        let mut classes = Vec::new();
        for flow in &flows {
            if !classes.contains(&flow.class) {
                classes.push(flow.class.clone());
            }
        }
        let tally = Tally::new(&classes);
        let net = Loopback.net(CALLERS, Process::default());
        let dial = LoadControls::new(RetryPolicy::default());
        let callers = Callers::new(net, fleet.directory(), dial, tally, script.seed);
        let end = Instant::now() + Duration::from_secs(CALLERS_MAX_S);
        let mut tasks = JoinSet::new();
        for flow in flows {
            tasks.spawn_local(callers.clone().run(flow, end));
        }
        let _ = signal::ctrl_c().await;
        tasks.shutdown().await;
        fleet.shutdown().await;
        Ok(())
    })
}

fn write(path: &Path, text: &str) -> Result<()> {
    let write_error = |source| Error::Write {
        path: path.to_owned(),
        source,
    };
    if let Some(dir) = path.parent() {
        fs::create_dir_all(dir).map_err(write_error)?;
    }
    fs::write(path, text).map_err(write_error)
}
