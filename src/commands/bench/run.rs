use std::{fs, path::Path};

use super::{Options, script};
use crate::{
    commands::{Error, Result, check},
    standin::{
        plot,
        report::{missed_bounds, rows, table},
        sweep::sweep,
    },
};

/// Runs an experiment, writes its results and checks its bounds.
pub fn run(options: &Options) -> Result<()> {
    let error = |reason: String| Error::Experiment(reason);
    let mut script = script(&options.file)?;
    script.seeds = options.seeds.unwrap_or(script.seeds);
    script.seed = options.seed.unwrap_or(script.seed);
    let publication = check::publication(Path::new(&script.deployment))?;
    let name = script.name.clone();
    let progress = |done, all| eprintln!("experiment={name} done={done} of={all}");
    let runs = sweep(&script, &publication, options.threads, progress).map_err(error)?;
    let rows = rows(&script, &runs);
    let missed = missed_bounds(&script.bounds, &rows);
    let results = serde_json::json!({
        "script": script,
        "rows": rows,
        "missed": missed,
        "runs": runs,
    });
    let text = serde_json::to_string_pretty(&results).map_err(|e| error(e.to_string()))?;
    if let Some(dir) = &options.out {
        let page = plot::page(&script, &rows, &runs).map_err(|e| error(e.to_string()))?;
        write(&dir.join(format!("{name}.json")), &text)?;
        write(&dir.join(format!("{name}.html")), &page)?;
    }
    match options.json {
        true => println!("{text}"),
        false => print!("{}", table(&rows)),
    }
    for run in &runs {
        for text in run.errors.iter().chain(&run.audit.samples) {
            eprintln!("control={:?} seed={} {text}", run.control, run.seed);
        }
    }
    if missed.is_empty() {
        return Ok(());
    }
    missed.iter().for_each(|m| eprintln!("missed: {m}"));
    Err(Error::Faults)
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
