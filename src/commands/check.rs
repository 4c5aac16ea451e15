//! `comfreybay-check`: checks a tree of objects and writes the publication.

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use pico_args::Arguments;
use serde::Serialize;

use super::{Error, Result, finish, report};
use crate::{
    coordination::check::{Index, Severity, check, compose},
    state::{
        id::Revision,
        object::Kind,
        publication::{Publication, encode},
    },
};

mod diff;
mod explain;
mod read;

pub use diff::diff;
pub use explain::explain;
pub use read::Tree;

const HELP: &str = "\
Checks a tree of objects and writes the publication for the configuration service.

Usage:
  comfreybay-check DIR [--out FILE] [--revision N] [--json]
  comfreybay-check explain DIR NAME
  comfreybay-check diff OLD NEW

Commands:
  explain  shows who owns the objects of a name and which objects refer to them
  diff     says what a change does to each service; OLD and NEW are trees or publications

Options:
  --out FILE    writes the publication to FILE; its revision has to rise
  --revision N  revision of the publication [default: 1]
  --json        prints the result and all findings as JSON
  --help        prints this text
  --version     prints the version

Exit codes: 0 without faults, 1 with faults, 2 for a wrong command line.
";

/// The command to run, as parsed from the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
    /// Checks a tree.
    Check(Options),
    /// Shows the owner and references of the objects of a name.
    Explain {
        /// The tree of objects.
        dir: PathBuf,
        /// Name of the objects.
        name: String,
    },
    /// Compares two trees or publications.
    Diff {
        /// The tree or publication before the change.
        old: PathBuf,
        /// The tree or publication after the change.
        new: PathBuf,
    },
}

/// Options of a check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The tree of objects.
    pub dir: PathBuf,
    /// File that the publication is written to.
    pub out: Option<PathBuf>,
    /// Revision of the publication.
    pub revision: Revision,
    /// Whether the result is printed as JSON.
    pub json: bool,
}

impl Command {
    /// Parses the command line.
    ///
    /// # Errors
    /// An option or argument is unknown, missing or malformed.
    pub fn parse(mut args: Arguments) -> Result<Self> {
        if args.contains("--help") {
            return Ok(Self::Help);
        }
        if args.contains("--version") {
            return Ok(Self::Version);
        }
        let json = args.contains("--json");
        let out = args.opt_value_from_os_str("--out", |s| Ok::<_, Error>(PathBuf::from(s)))?;
        let revision = args.opt_value_from_str("--revision")?;
        let mut free = vec![];
        for arg in args.finish() {
            if arg.to_string_lossy().starts_with('-') {
                return Err(Error::Usage(format!("unknown option {}", arg.display())));
            }
            free.push(arg);
        }
        let no_options = !json && out.is_none() && revision.is_none();
        match free.as_slice() {
            [command, dir, name] if command == "explain" && no_options => Ok(Self::Explain {
                dir: dir.into(),
                name: name.to_string_lossy().into_owned(),
            }),
            [command, old, new] if command == "diff" && no_options => Ok(Self::Diff {
                old: old.into(),
                new: new.into(),
            }),
            [dir] if dir != "explain" && dir != "diff" => Ok(Self::Check(Options {
                dir: dir.into(),
                out,
                revision: revision.unwrap_or(Revision(1)),
                json,
            })),
            _ => Err(Error::Usage(
                "expected DIR, explain DIR NAME or diff OLD NEW".to_owned(),
            )),
        }
    }
}

/// Runs the command, and returns the exit code of the process.
pub fn run(args: Arguments) -> ExitCode {
    finish(Command::parse(args).and_then(execute))
}

fn execute(command: Command) -> Result<()> {
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("comfreybay-check {}", env!("CARGO_PKG_VERSION")),
        Command::Check(options) => return check_tree(&options),
        Command::Explain { dir, name } => print!("{}", explain(&load(&dir)?, &name)?),
        Command::Diff { old, new } => print!("{}", diff(&publication(&old)?, &publication(&new)?)),
    }
    Ok(())
}

/// Reads the objects of a tree and checks them.
fn load(dir: &Path) -> Result<Tree> {
    let read_error = |source| Error::Read {
        path: dir.to_owned(),
        source,
    };
    if dir.is_file() {
        return Err(Error::Usage(format!("{} is not a folder", dir.display())));
    }
    if !dir.exists() {
        return Err(Error::Usage(format!(
            "folder {} does not exist",
            dir.display()
        )));
    }
    let mut tree = Tree::read(dir).map_err(read_error)?;
    tree.faults.extend(check(&tree.set));
    let position = |f: &crate::coordination::check::Fault| (f.site.file, f.site.range.start);
    tree.faults.sort_by_key(position);
    Ok(tree)
}

/// Reads a publication from a file, or composes it from a tree.
///
/// # Errors
/// The tree has faults, which are printed to standard error, or a file cannot be read.
pub fn publication(path: &Path) -> Result<Publication> {
    if path.is_file() {
        return read_publication(path);
    }
    let tree = load(path)?;
    tree.compose(Revision(1)).ok_or_else(|| {
        let text = report::text(&tree.sources, &tree.faults, report::is_terminal());
        eprint!("{text}");
        Error::Faults
    })
}

fn read_publication(path: &Path) -> Result<Publication> {
    let bytes = fs::read(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    serde_json::from_slice(&bytes).map_err(|source| Error::Publication {
        path: path.to_owned(),
        source,
    })
}

impl Tree {
    /// Composes the publication; `None` when there is any fault.
    pub fn compose(&self, revision: Revision) -> Option<Publication> {
        if self.faults.iter().any(|f| f.severity == Severity::Fault) {
            return None;
        }
        compose(&Index::new(&self.set), revision)
    }

    fn count(&self, kind: Kind) -> usize {
        let entries = self.set.entries.iter();
        entries.filter(|e| e.object.kind() == kind).count()
    }
}

#[derive(Debug, Serialize)]
struct Counts {
    owners: usize,
    services: usize,
    upstreams: usize,
    classes: usize,
    chains: usize,
    limits: usize,
}

impl Counts {
    fn new(tree: &Tree) -> Self {
        Self {
            owners: tree.count(Kind::Owner),
            services: tree.count(Kind::Service),
            upstreams: tree.count(Kind::Upstream),
            classes: tree.count(Kind::Class),
            chains: tree.count(Kind::Chain),
            limits: tree.count(Kind::Limit),
        }
    }
}

#[derive(Debug, Serialize)]
struct Summary<'a> {
    deployment: Option<String>,
    revision: Revision,
    digest: Option<String>,
    counts: Counts,
    findings: Vec<report::Finding<'a>>,
}

fn check_tree(options: &Options) -> Result<()> {
    let tree = load(&options.dir)?;
    let publication = tree.compose(options.revision);
    let summary = Summary {
        deployment: publication
            .as_ref()
            .map(|p| p.head.deployment.name.to_string()),
        revision: options.revision,
        digest: publication.as_ref().map(|p| p.head.digest().to_string()),
        counts: Counts::new(&tree),
        findings: report::findings(&tree.sources, &tree.faults),
    };
    if options.json {
        let text = serde_json::to_string_pretty(&summary).expect("the summary has string keys");
        println!("{text}");
    } else {
        let text = report::text(&tree.sources, &tree.faults, report::is_terminal());
        eprint!("{text}");
        print!("{}", summary_text(&tree, &summary));
    }
    let publication = publication.ok_or(Error::Faults)?;
    match &options.out {
        Some(path) => write(path, &publication),
        None => Ok(()),
    }
}

fn summary_text(tree: &Tree, summary: &Summary<'_>) -> String {
    let warnings = tree
        .faults
        .iter()
        .filter(|f| f.severity == Severity::Warning)
        .count();
    let findings = format!(
        "{} faults, {warnings} warnings",
        tree.faults.len() - warnings
    );
    let Counts {
        owners,
        services,
        upstreams,
        classes,
        chains,
        limits,
    } = &summary.counts;
    let counts = format!(
        "{owners} owners, {services} services, {upstreams} upstreams, {classes} classes, \
         {chains} chains, {limits} limits"
    );
    let (Some(deployment), Some(digest)) = (&summary.deployment, &summary.digest) else {
        return format!("{counts}\n{findings}; nothing can be published\n");
    };
    let revision = summary.revision;
    format!("deployment {deployment}, revision {revision}\ndigest {digest}\n{counts}\n{findings}\n")
}

/// Writes a publication, unless nodes that have the one in the file would refuse it.
fn write(path: &Path, publication: &Publication) -> Result<()> {
    let write_error = |source| Error::Write {
        path: path.to_owned(),
        source,
    };
    let bytes = encode(publication);
    if path.exists() {
        let current = read_publication(path)?.head;
        let same = current.digest() == publication.head.digest();
        if current.revision >= publication.head.revision && !same {
            return Err(Error::Revision {
                path: path.to_owned(),
                current: current.revision.0,
            });
        }
    }
    // A temporary file is renamed, so that readers never see a partial publication.
    let temporary = path.with_extension("part");
    fs::write(&temporary, bytes).map_err(write_error)?;
    fs::rename(&temporary, path).map_err(write_error)
}
