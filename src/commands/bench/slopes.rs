//! `comfreybay-bench slopes`: how the cost of the control plane grows with the fleet.

use std::{fs, path::PathBuf};

use pico_args::Arguments;

use super::{Error, Result};
use crate::standin::{
    planes::Plan,
    slopes::{Size, measure, plot, table},
};

const HELP: &str = "\
Measures control planes in memory and fits their growth with the fleet.

Usage:
  comfreybay-bench slopes --out DIR --nodes N [--zones N] [--seed N] [--faults]
  comfreybay-bench slopes --out DIR

The first form measures one size and writes DIR/N.json; each size runs in a process of its own,
so that its memory can be told. The second prints a table of all sizes in DIR and writes
DIR/slopes.svg.
";
const DEFAULT_ZONES: usize = 8;

/// Runs the command; `args` are those after `slopes`.
///
/// # Errors
/// The command line is wrong, or a file cannot be read or written.
pub fn run(mut args: Arguments) -> Result<()> {
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let path = |s: &std::ffi::OsStr| Ok::<_, Error>(PathBuf::from(s));
    let out: PathBuf = args.value_from_os_str("--out", path)?;
    let nodes: Option<usize> = args.opt_value_from_str("--nodes")?;
    let zones = args.opt_value_from_str("--zones")?.unwrap_or(DEFAULT_ZONES);
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let faults = args.contains("--faults");
    if !args.finish().is_empty() {
        return Err(Error::Usage(
            "unknown option of slopes; expected --out DIR [--nodes N]".to_owned(),
        ));
    }
    let error = |reason: String| Error::Usage(format!("{}: {reason}", out.display()));
    fs::create_dir_all(&out).map_err(|e| error(e.to_string()))?;
    if let Some(nodes) = nodes {
        let plan = Plan {
            nodes,
            zones,
            loss: 0.01,
            seed,
            ..Plan::default()
        };
        let size = measure(plan, faults);
        print!("{}", table(std::slice::from_ref(&size)));
        let text = serde_json::to_string_pretty(&size).map_err(|e| error(e.to_string()))?;
        let file = out.join(format!("{nodes}.json"));
        return fs::write(file, text).map_err(|e| error(e.to_string()));
    }
    let mut sizes: Vec<Size> = Vec::new();
    for entry in fs::read_dir(&out).map_err(|e| error(e.to_string()))? {
        let file = entry.map_err(|e| error(e.to_string()))?.path();
        if file.extension().is_some_and(|e| e == "json") {
            let text = fs::read_to_string(&file).map_err(|e| error(e.to_string()))?;
            sizes.push(serde_json::from_str(&text).map_err(|e| error(e.to_string()))?);
        }
    }
    sizes.sort_by_key(|s| s.nodes);
    print!("{}", table(&sizes));
    plot(&sizes, &out.join("slopes.svg")).map_err(|e| error(e.to_string()))
}
