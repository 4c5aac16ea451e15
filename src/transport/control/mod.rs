//! The control plane of a node: peers, configuration, membership and leaving.

mod clock;
mod follow;
mod hear;
mod link;
mod read;
mod server;
mod share;
mod start;

use std::{cell::RefCell, rc::Rc};

use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::{
    coordination::{gate::Gate, router::Router},
    state::{
        counters::Counters, id::Incarnation, journal::Journal, settings::Settings,
        store::ConfigStore,
    },
    transport::net::Net,
};
use share::Shared;

/// Inputs of the control plane of a node.
pub struct Control<N: Net> {
    /// Network used to dial peers and the platform services.
    pub net: N,
    /// Settings of the process.
    pub settings: Settings,
    /// The configuration in effect; only the control plane changes it.
    pub store: Rc<ConfigStore>,
    /// Admission control of the backend server; receives the node state, the configuration and the
    /// requests suspected of crashing a server.
    pub gate: Gate,
    /// Upstream selection; receives configuration, loads, leaving nodes and the instance list.
    pub router: Router,
    /// Counters of the process.
    pub counters: Rc<Counters>,
    /// Journal of decisions.
    pub journal: Rc<RefCell<Journal>>,
    /// Random generator, seeded from the settings.
    pub rng: fastrand::Rng,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// Cancelled when the node starts to leave: by the owner when the process is told to stop, and
    /// by the control plane when the backend server drains or the instance list marks the instance
    /// as leaving.
    pub leaving: CancellationToken,
}

/// Runs the control plane until `stop` is cancelled, and returns after all its tasks have ended.
///
/// `listener` accepts connections from peers at the control address of the settings.
pub async fn run<N: Net>(control: Control<N>, listener: N::Listener, stop: CancellationToken) {
    let shared = Shared::new(control);
    let mut tasks = JoinSet::new();
    tasks.spawn_local(server::accept(shared.clone(), listener, stop.clone()));
    tasks.spawn_local(clock::watch(shared.clone(), stop.clone()));
    tasks.spawn_local(start::run(shared.clone(), stop.clone()));
    tasks.spawn_local(link::manage(shared.clone(), stop.clone()));
    tasks.spawn_local(follow::run(shared.clone(), stop.clone()));
    tasks.spawn_local(read::configuration(shared.clone(), stop.clone()));
    tasks.spawn_local(read::instances(shared.clone(), stop.clone()));
    tasks.spawn_local(read::reports(shared.clone(), stop.clone()));
    tasks.spawn_local(clock::leave(shared, stop));
    while let Some(ended) = tasks.join_next().await {
        if let Err(e) = ended
            && e.is_panic()
        {
            std::panic::resume_unwind(e.into_panic());
        }
    }
}
