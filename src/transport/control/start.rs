//! The empty start: what a node does until its first configuration is in effect.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use futures::future::join_all;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::{
    follow::{self, READ_MS, RemovalDelay},
    link::{visit, within},
    share::Shared,
};
use crate::{
    coordination::follow::{COLD_START_PEERS_MAX, ColdStart},
    protocol::platform::{LIST_MAX_BYTES, VALUE_MAX_BYTES, head_path, list_path, read_list},
    state::{counters::Counter, id::Revision},
    transport::{net::Net, platform::PlatformClient},
};

/// Time between rounds of questions. Nodes of one rack that start at once spread over it.
const ROUND_MS: u64 = 500;

/// Starts the node, and starts it over when it was paused before it had a configuration.
pub async fn run<N: Net>(shared: Rc<Shared<N>>, stop: CancellationToken) {
    let mut woken = shared.woken.subscribe();
    loop {
        tokio::select! {
            biased;
            () = stop.cancelled() => return,
            _ = woken.changed() => {}
            () = start(&shared) => return,
        }
        if shared.store.config().is_some() {
            return;
        }
    }
}

async fn start<N: Net>(shared: &Shared<N>) {
    let noticed = Instant::now();
    if let Some(config) = shared.store.config() {
        shared.follower.start_accepting(config.revision);
        shared.accepted(config.revision, noticed);
        return;
    }
    let asked = loop {
        match find(shared).await {
            Some(asked) => break asked,
            None => sleep(shared.jitter(ROUND_MS, 2 * ROUND_MS)).await,
        }
    };
    let mut rule = ColdStart::new(asked.iter().copied());
    let mut best: Option<(Revision, SocketAddr)> = None;
    while shared.store.config().is_none() {
        for (at, revision) in ask_all(shared, &rule.unanswered()).await {
            rule.record_answer(at, revision);
            best = best.max(Some((revision, at)));
        }
        if let Some(floor) = rule.min_revision() {
            shared.follower.start_accepting(floor);
            from_peer(shared, best, noticed).await;
            if shared.store.config().is_none() {
                from_service(shared, noticed).await;
            }
        }
        if shared.store.config().is_none() {
            sleep(shared.jitter(ROUND_MS, 2 * ROUND_MS)).await;
        }
    }
}

/// The nodes to ask: the seeds and those of the instance list, in random order.
///
/// `None` while neither names another node and the list could not be read: a node that cannot
/// find any other must not take itself for the only one.
async fn find<N: Net>(shared: &Shared<N>) -> Option<Vec<SocketAddr>> {
    let settings = &shared.settings;
    let mut found: BTreeSet<_> = settings.seeds.iter().copied().collect();
    let listed = listed(shared).await;
    let read = listed.is_some();
    if found.len() < COLD_START_PEERS_MAX {
        found.extend(listed.into_iter().flatten());
    }
    found.remove(&settings.control);
    let mut asked: Vec<_> = found.into_iter().collect();
    shared.rng.borrow_mut().shuffle(&mut asked);
    asked.truncate(COLD_START_PEERS_MAX);
    (read || !asked.is_empty()).then_some(asked)
}

/// Control addresses of the instances of the own service. The list has addresses of servers; the
/// nodes of a service share a control port.
async fn listed<N: Net>(shared: &Shared<N>) -> Option<Vec<SocketAddr>> {
    let settings = &shared.settings;
    let mut client = PlatformClient::new(shared.net.clone(), settings.instances);
    shared.counters.add(Counter::ListReads, 1);
    let path = list_path(&settings.service);
    let limit = Duration::from_millis(READ_MS);
    let answer = client.get(&path, LIST_MAX_BYTES, limit).await.ok()?;
    let list = read_list(&answer.body?)?;
    let others = list.iter().filter(|i| i.name != settings.name);
    let address = |text: &str| {
        let whole = text.parse::<SocketAddr>().map(|a| a.ip());
        whole.or_else(|_| text.parse()).ok()
    };
    let control = |ip| SocketAddr::new(ip, settings.control.port());
    Some(
        others
            .filter_map(|i| address(&i.address))
            .map(control)
            .collect(),
    )
}

async fn ask_all<N: Net>(shared: &Shared<N>, nodes: &[SocketAddr]) -> Vec<(SocketAddr, Revision)> {
    let ask = async |at: SocketAddr| {
        let status = visit(shared, at, async |client| {
            within(follow::status(&client)).await
        });
        let held = status.await.ok()?.held;
        Some((at, held.map(|h| h.0).unwrap_or_default()))
    };
    let answers = join_all(nodes.iter().map(|at| ask(*at))).await;
    answers.into_iter().flatten().collect()
}

async fn from_peer<N: Net>(
    shared: &Shared<N>,
    best: Option<(Revision, SocketAddr)>,
    noticed: Instant,
) {
    let Some((revision, at)) = best else {
        return;
    };
    if revision == Revision::default() {
        return;
    }
    let taken = visit(shared, at, async |client| {
        let Some(content) = within(follow::head(&client)).await? else {
            return Ok(());
        };
        follow::take(shared, content, Some(client), RemovalDelay::None, noticed).await;
        Ok(())
    });
    if let Err(e) = taken.await {
        log::debug!("peer={at} could not give its configuration: {e}");
    }
}

async fn from_service<N: Net>(shared: &Shared<N>, noticed: Instant) {
    let mut client = PlatformClient::new(shared.net.clone(), shared.settings.configuration);
    shared.counters.add(Counter::ConfigReads, 1);
    let limit = Duration::from_millis(READ_MS);
    let answer = client.get(head_path(), VALUE_MAX_BYTES, limit).await;
    match answer.map(|a| a.body) {
        Ok(Some(content)) => {
            follow::take(shared, content, None, RemovalDelay::None, noticed).await;
        }
        _ => shared.counters.add(Counter::ConfigReadsFailed, 1),
    }
}
