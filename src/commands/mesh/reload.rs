//! Changes of the settings file while the node runs.

use std::{convert::Infallible, fs, path::PathBuf, rc::Rc, time::Duration};

use tokio::{sync::Notify, time::timeout};

use super::{
    super::{Error, Result},
    Platform,
};
use crate::{
    protocol::directory::Directory,
    state::mesh::settings::Settings,
    transport::{mesh::Mesh, net::Net},
};

/// Interval at which the file is compared with the one read last, for changes without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The settings file and its text when it was read last.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    text: String,
}

impl SettingsFile {
    /// Reads the file.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn open(path: PathBuf) -> Result<Self> {
        let mut file = Self {
            path,
            text: String::new(),
        };
        file.refresh()?;
        Ok(file)
    }

    /// Reads the file again, and returns whether its text has changed.
    fn refresh(&mut self) -> Result<bool> {
        let text = fs::read_to_string(&self.path).map_err(|source| Error::Read {
            path: self.path.clone(),
            source,
        })?;
        let has_changed = text != self.text;
        self.text = text;
        Ok(has_changed)
    }

    /// The settings in the text that was read last.
    ///
    /// # Errors
    /// A setting is missing, malformed or out of range.
    pub fn parse<P: Platform>(&self, platform: &P) -> Result<Settings> {
        let settings = platform.settings(&self.text).and_then(Settings::checked);
        settings.map_err(|fault| Error::SidecarSettings {
            path: self.path.clone(),
            fault,
        })
    }
}

/// Puts the settings in effect each time that `reload` is notified or the file has changed.
pub async fn run<P: Platform, N: Net, D: Directory>(
    mesh: &Rc<Mesh<N, D>>,
    platform: &P,
    mut file: SettingsFile,
    reload: &Notify,
) -> Infallible {
    let mut is_readable = true;
    loop {
        let is_requested = timeout(CHECK_INTERVAL, reload.notified()).await.is_ok();
        let refreshed = file.refresh();
        let was_readable = std::mem::replace(&mut is_readable, refreshed.is_ok());
        match refreshed {
            Ok(has_changed) if has_changed || is_requested => apply(mesh, platform, &file),
            Ok(_) => {}
            // The file may be absent for a while; this is reported once, not at each check.
            Err(error) if was_readable || is_requested => report(&file, &error),
            Err(_) => {}
        }
    }
}

fn apply<P: Platform, N: Net, D: Directory>(mesh: &Mesh<N, D>, platform: &P, file: &SettingsFile) {
    let applied = file.parse(platform).and_then(|settings| {
        mesh.reload(&settings)
            .map_err(|fault| Error::SidecarSettings {
                path: file.path.clone(),
                fault,
            })
    });
    match applied {
        Ok(()) => log::info!(file:% = file.path.display(); "settings are in effect"),
        Err(error) => report(file, &error),
    }
}

fn report(file: &SettingsFile, error: &Error) {
    let cause = std::error::Error::source(error).map(ToString::to_string);
    let cause = cause.unwrap_or_default();
    log::warn!(file:% = file.path.display(), error:%, cause; "settings are not changed");
}
