//! The cold start: finds a first configuration for a node that has none.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use futures::future::join_all;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::{
    follow::{self, READ_TIMEOUT_MS, ReadDelay},
    link::{call_once, with_timeout},
    share::Shared,
};
use crate::{
    coordination::follow::{COLD_START_PEERS_MAX, ColdStart},
    protocol::platform::{LIST_MAX_BYTES, VALUE_MAX_BYTES, head_path, list_path, read_list},
    state::{counters::Counter, id::Revision},
    transport::{net::Net, platform::PlatformClient},
};

/// Shortest time between two rounds of requests; jitter adds up to the same time, which spreads the
/// load when the nodes of a rack start at once.
const ROUND_INTERVAL_MS: u64 = 500;

/// Runs the cold start, and restarts it when the process was paused before it had a configuration.
pub async fn run<N: Net>(shared: Rc<Shared<N>>, stop: CancellationToken) {
    let mut pauses = shared.pauses.subscribe();
    loop {
        tokio::select! {
            biased;
            () = stop.cancelled() => return,
            _ = pauses.changed() => {}
            () = start(&shared) => return,
        }
        if shared.store.config().is_some() {
            return;
        }
    }
}

/// Uses a stored configuration, or asks nodes and the configuration service until one is in effect.
async fn start<N: Net>(shared: &Shared<N>) {
    let first_seen = Instant::now();
    if let Some(config) = shared.store.config() {
        shared.follower.start_accepting(config.revision);
        shared.apply_config(config.revision, first_seen);
        return;
    }
    let nodes = loop {
        match find_nodes(shared).await {
            Some(nodes) => break nodes,
            None => sleep(shared.jitter(ROUND_INTERVAL_MS, 2 * ROUND_INTERVAL_MS)).await,
        }
    };
    let mut cold_start = ColdStart::new(nodes.iter().copied());
    let mut best: Option<(Revision, SocketAddr)> = None;
    while shared.store.config().is_none() {
        for (at, revision) in ask_all(shared, &cold_start.unanswered()).await {
            cold_start.record_answer(at, revision);
            best = best.max(Some((revision, at)));
        }
        if let Some(floor) = cold_start.min_revision() {
            shared.follower.start_accepting(floor);
            fetch_from_peer(shared, best, first_seen).await;
            if shared.store.config().is_none() {
                fetch_from_service(shared, first_seen).await;
            }
        }
        if shared.store.config().is_none() {
            sleep(shared.jitter(ROUND_INTERVAL_MS, 2 * ROUND_INTERVAL_MS)).await;
        }
    }
}

/// The nodes to ask for a configuration: the seeds and the instances on the list, in random order.
///
/// `None` while there are no other seeds and the list could not be read: a node that cannot find
/// others must not assume that it is the only one.
async fn find_nodes<N: Net>(shared: &Shared<N>) -> Option<Vec<SocketAddr>> {
    let settings = &shared.settings;
    let mut found: BTreeSet<_> = settings.seeds.iter().copied().collect();
    let listed = listed_addresses(shared).await;
    let read = listed.is_some();
    if found.len() < COLD_START_PEERS_MAX {
        found.extend(listed.into_iter().flatten());
    }
    found.remove(&settings.control);
    let mut nodes: Vec<_> = found.into_iter().collect();
    shared.rng.borrow_mut().shuffle(&mut nodes);
    nodes.truncate(COLD_START_PEERS_MAX);
    (read || !nodes.is_empty()).then_some(nodes)
}

/// Control addresses of the other instances of this node's service; `None` if the read fails.
///
/// The instance list has the addresses of the backend servers. All nodes of a service use the same
/// control port.
async fn listed_addresses<N: Net>(shared: &Shared<N>) -> Option<Vec<SocketAddr>> {
    let settings = &shared.settings;
    let mut client = PlatformClient::new(shared.net.clone(), settings.instances);
    shared.counters.add(Counter::ListReads, 1);
    let path = list_path(&settings.service);
    let limit = Duration::from_millis(READ_TIMEOUT_MS);
    let answer = client.get(&path, LIST_MAX_BYTES, limit).await.ok()?;
    let list = read_list(&answer.body?)?;
    let others = list.iter().filter(|i| i.name != settings.name);
    let address = |text: &str| {
        let with_port = text.parse::<SocketAddr>().map(|a| a.ip());
        with_port.or_else(|_| text.parse()).ok()
    };
    let control = |ip| SocketAddr::new(ip, settings.control.port());
    Some(
        others
            .filter_map(|i| address(&i.address))
            .map(control)
            .collect(),
    )
}

/// Fetches the revision in effect at each node; nodes that do not answer are left out.
async fn ask_all<N: Net>(shared: &Shared<N>, nodes: &[SocketAddr]) -> Vec<(SocketAddr, Revision)> {
    let ask = async |at: SocketAddr| {
        let status = call_once(shared, at, async |client| {
            with_timeout(follow::fetch_status(&client)).await
        });
        let held = status.await.ok()?.held;
        Some((at, held.map(|h| h.0).unwrap_or_default()))
    };
    let answers = join_all(nodes.iter().map(|at| ask(*at))).await;
    answers.into_iter().flatten().collect()
}

/// Fetches the configuration from the node with the newest revision.
async fn fetch_from_peer<N: Net>(
    shared: &Shared<N>,
    best: Option<(Revision, SocketAddr)>,
    first_seen: Instant,
) {
    let Some((revision, at)) = best else {
        return;
    };
    if revision == Revision::default() {
        return;
    }
    let call = call_once(shared, at, async |client| {
        let Some(content) = with_timeout(follow::fetch_head(&client)).await? else {
            return Ok(());
        };
        follow::fetch_and_accept(shared, content, Some(client), ReadDelay::None, first_seen).await;
        Ok(())
    });
    if let Err(e) = call.await {
        log::debug!("peer={at} did not return its head, trying the configuration service: {e}");
    }
}

/// Fetches the configuration from the configuration service.
async fn fetch_from_service<N: Net>(shared: &Shared<N>, first_seen: Instant) {
    let mut client = PlatformClient::new(shared.net.clone(), shared.settings.configuration);
    shared.counters.add(Counter::ConfigReads, 1);
    let limit = Duration::from_millis(READ_TIMEOUT_MS);
    let answer = client.get(head_path(), VALUE_MAX_BYTES, limit).await;
    match answer.map(|a| a.body) {
        Ok(Some(content)) => {
            follow::fetch_and_accept(shared, content, None, ReadDelay::None, first_seen).await;
        }
        _ => shared.counters.add(Counter::ConfigReadsFailed, 1),
    }
}
