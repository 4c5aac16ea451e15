//! `comfreybay-sidecar`: runs the node beside one backend server of a platform.

mod reload;

use std::{io, path::PathBuf, process::ExitCode, rc::Rc};

use pico_args::Arguments;
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    sync::Notify,
    task::{JoinSet, LocalSet},
};
use tokio_util::sync::CancellationToken;

use self::reload::SettingsFile;
use super::{Error, Result, finish, log as logging};
use crate::{
    protocol::directory::{Directory, HeaderNames},
    state::{
        mesh::settings::{InvalidSettings, Settings},
        settings::Log,
    },
    transport::{
        mesh::{Mesh, node},
        tcp::TcpNet,
    },
};

const HELP: &str = "\
Runs the node beside one backend server of a platform until SIGTERM or SIGINT.

Usage:
  comfreybay-sidecar [SETTINGS] [--print-config]

Without SETTINGS, the file is named by the platform's environment variable. It is read again at
SIGHUP and when it has changed. A file with a fault is reported and leaves the settings in effect;
so does one that changes more than the bounds and the store's address, which needs a restart.

Options:
  --print-config  prints the settings as the node understands them and exits
  --help          prints this text
  --version       prints the version

Exit codes: 0 after a planned stop, 1 for faults in the settings or at the start, 2 for a wrong
command line.
";

/// The parts of the sidecar that depend on its platform.
pub trait Platform {
    /// Translation between the platform's store and the types of this crate.
    type Directory: Directory;

    /// Creates the translation for the platform's store.
    fn directory(&self) -> Self::Directory;
    /// Names of the headers that the platform's callers and backend servers use.
    fn names(&self) -> HeaderNames;
    /// Path of the settings file as given by the platform.
    fn settings_path(&self) -> Option<PathBuf>;
    /// Parses the text of the settings file.
    ///
    /// # Errors
    /// A setting is missing or malformed.
    fn settings(&self, text: &str) -> Result<Settings, InvalidSettings>;
}

/// Runs the command, and returns the exit code of the process.
pub fn run<P: Platform>(args: Arguments, platform: &P) -> ExitCode {
    finish(execute(args, platform))
}

fn execute<P: Platform>(mut args: Arguments, platform: &P) -> Result<()> {
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    if args.contains("--version") {
        println!("comfreybay-sidecar {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let print = args.contains("--print-config");
    let path = match args.finish().as_slice() {
        [] => platform.settings_path(),
        [path] if !path.to_string_lossy().starts_with('-') => Some(path.into()),
        _ => {
            return Err(Error::Usage(
                "expected at most one settings file".to_owned(),
            ));
        }
    };
    let path = path.ok_or_else(|| {
        Error::Usage("no settings file given, and the platform names none".to_owned())
    })?;
    let file = SettingsFile::open(path)?;
    let settings = file.parse(platform)?;
    if print {
        println!("{settings:#?}");
        return Ok(());
    }
    start(platform, settings, file)
}

fn start<P: Platform>(platform: &P, settings: Settings, file: SettingsFile) -> Result<()> {
    let sink = logging::setup_stdout(&Log::default())?;
    let result = run_node(platform, settings, file);
    sink.close();
    result
}

fn run_node<P: Platform>(platform: &P, settings: Settings, file: SettingsFile) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Error::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(platform, settings, file))
}

async fn serve<P: Platform>(platform: &P, settings: Settings, file: SettingsFile) -> Result<()> {
    let net = TcpNet::new(settings.inbound.ip());
    let stop = CancellationToken::new();
    let mut tasks = JoinSet::new();
    let reload = Rc::new(Notify::new());
    let signals = watch_signals(stop.clone(), reload.clone()).map_err(Error::Runtime)?;
    tasks.spawn_local(signals);
    let (name, service) = (settings.name.clone(), settings.service.clone());
    log::info!(name:%, service:%; "node starts");
    let mesh = Mesh::new(net, settings, platform.names(), platform.directory());
    let mesh = Rc::new(mesh);
    let reloads = reload::run(&mesh, platform, file, &reload);
    let result = tokio::select! {
        biased;
        result = node::run(mesh.clone(), stop.clone()) => result,
        never = reloads => match never {},
    };
    stop.cancel();
    while tasks.join_next().await.is_some() {}
    result?;
    log::info!(name:%; "node stopped");
    Ok(())
}

/// Cancels `stop` at SIGTERM or SIGINT, and notifies `reload` at SIGHUP.
fn watch_signals(
    stop: CancellationToken,
    reload: Rc<Notify>,
) -> io::Result<impl Future<Output = ()>> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    Ok(async move {
        loop {
            let name = tokio::select! {
                biased;
                () = stop.cancelled() => return,
                _ = term.recv() => "SIGTERM",
                _ = int.recv() => "SIGINT",
                _ = hup.recv() => {
                    reload.notify_one();
                    continue;
                }
            };
            log::info!(signal = name; "node stops");
            stop.cancel();
        }
    })
}
