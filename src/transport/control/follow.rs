//! Fetches publications from peers and the configuration service.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::{
    link::{Answer, visit, within},
    share::{Hint, Shared},
};
use crate::{
    coordination::{
        follow::{Assembly, FollowError, MissingPart, PartKind},
        membership::rendezvous_score,
    },
    protocol::{
        message::{CONTENT_MAX_BYTES, FETCH_DIGESTS_MAX, Status},
        peer_capnp::node,
        platform::{VALUE_MAX_BYTES, bucket_path, piece_path},
    },
    state::{
        counters::Counter,
        id::{Digest, UpstreamName},
        journal::DecisionKind,
        object::Upstream,
        publication::bucket_of,
        store::OfferOutcome,
    },
    transport::{net::Net, platform::PlatformClient},
};

/// Pause between rounds of asking for missing parts, with jitter.
const ROUND_MS: u64 = 150;
/// Rounds before a publication is given up; a later hint starts again.
const ROUNDS_MAX: u32 = 40;
/// Rounds that a node waits for its peers before it reads a part of another service itself.
const PATIENCE: u32 = 8;
/// Longest wait for a value of the configuration service.
pub const READ_MS: u64 = 2_000;

/// How long a node leaves the configuration service alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalDelay {
    /// It reads missing parts at once.
    None,
    /// It asks peers first; the first two of a service's nodes read its parts at once.
    Ranked,
}

/// The encoded head in effect at a node.
pub async fn head(client: &node::Client) -> Answer<Option<Bytes>> {
    let response = client.head_request().send().promise.await?;
    let content = response.get()?.get_content()?;
    Ok((!content.is_empty()).then(|| Bytes::copy_from_slice(content)))
}

/// What a node says about its configuration.
pub async fn status(client: &node::Client) -> Answer<Status> {
    let response = client.status_request().send().promise.await?;
    Ok(Status::read(response.get()?.get_status()?)?)
}

/// Parts that a node holds, in the order asked for.
pub async fn fetch(client: &node::Client, digests: &[Digest]) -> Answer<Vec<Option<Bytes>>> {
    let mut request = client.fetch_request();
    let mut list = request.get().init_digests(digests.len() as u32);
    for (at, digest) in digests.iter().enumerate() {
        list.set(at as u32, &digest.0);
    }
    let response = request.send().promise.await?;
    let contents = response.get()?.get_contents()?;
    let read = |content: capnp::Result<&[u8]>| {
        let content = content?;
        let usable = !content.is_empty() && content.len() <= CONTENT_MAX_BYTES;
        Ok(usable.then(|| Bytes::copy_from_slice(content)))
    };
    contents.iter().take(digests.len()).map(read).collect()
}

/// Follows what peers announce.
pub async fn run<N: Net>(shared: Rc<Shared<N>>, stop: CancellationToken) {
    let mut hints = shared.hint.subscribe();
    loop {
        tokio::select! {
            biased;
            () = stop.cancelled() => return,
            _ = hints.changed() => {}
        }
        let hint = hints.borrow_and_update().clone();
        let Some(hint) = hint.filter(|h| h.revision > shared.store.revision()) else {
            continue;
        };
        tokio::select! {
            biased;
            () = stop.cancelled() => return,
            () = pull(&shared, &hint) => {}
        }
    }
}

async fn pull<N: Net>(shared: &Shared<N>, hint: &Hint) {
    let client = {
        let links = shared.links.borrow();
        links.get(&hint.from).map(|l| l.client.clone())
    };
    let content = match client.clone() {
        Some(client) => within(head(&client)).await,
        None => match address(shared, &hint.from) {
            Some(at) => visit(shared, at, async |c| within(head(&c)).await).await,
            None => return,
        },
    };
    let Ok(Some(content)) = content else {
        return;
    };
    take(shared, content, client, RemovalDelay::Ranked, hint.at).await;
}

fn address<N: Net>(shared: &Shared<N>, name: &UpstreamName) -> Option<SocketAddr> {
    let config = shared.store.config()?;
    config.upstream(name).map(|u| u.control)
}

/// Completes a publication from its head and puts it in effect if it may be.
pub async fn take<N: Net>(
    shared: &Shared<N>,
    content: Bytes,
    from: Option<node::Client>,
    patience: RemovalDelay,
    noticed: Instant,
) -> Option<OfferOutcome> {
    let done = assemble(shared, content, from, patience, noticed).await;
    if let Err(e) = &done {
        shared.counters.add(Counter::ConfigInvalid, 1);
        shared.decide(DecisionKind::ConfigRefused, "part".into(), e.to_string());
    }
    done.ok().flatten()
}

async fn assemble<N: Net>(
    shared: &Shared<N>,
    content: Bytes,
    from: Option<node::Client>,
    patience: RemovalDelay,
    noticed: Instant,
) -> Result<Option<OfferOutcome>, FollowError> {
    shared.check_pause();
    let mut assembly = Assembly::new(shared.settings.service.clone(), content)?;
    let (revision, digest) = (assembly.revision(), assembly.digest());
    match shared.follower.evaluate(revision, digest) {
        OfferOutcome::Accepted => {}
        OfferOutcome::Conflict => {
            shared.conflict(revision, digest, "a source".into());
            return Ok(Some(OfferOutcome::Conflict));
        }
        other => {
            let older = other == OfferOutcome::Older;
            shared.counters.add(Counter::ConfigOlder, older.into());
            return Ok(Some(other));
        }
    }
    let start = Instant::now();
    for round in 0..ROUNDS_MAX {
        if shared.follower.evaluate(revision, digest) != OfferOutcome::Accepted {
            return Ok(None);
        }
        ask_peers(shared, &mut assembly, from.as_ref()).await?;
        // Asking all links takes most of a second between regions, so turns are counted in time.
        let turn = start.elapsed().as_millis() as u64 / ROUND_MS;
        read_service(shared, &mut assembly, patience, turn as u32).await?;
        if assembly.missing_parts(&shared.store)?.is_empty() {
            return shared.accept(assembly, noticed).map(Some);
        }
        sleep(shared.jitter(ROUND_MS, 2 * ROUND_MS)).await;
        if round > 0 {
            ask_holders(shared, &mut assembly).await?;
        }
    }
    Ok(None)
}

/// Asks the source, then the linked peers, those of the own service first.
async fn ask_peers<N: Net>(
    shared: &Shared<N>,
    assembly: &mut Assembly,
    from: Option<&node::Client>,
) -> Result<(), FollowError> {
    let mut clients: Vec<_> = from.cloned().into_iter().collect();
    {
        let links = shared.links.borrow();
        let own = &shared.settings.service;
        let mut others: Vec<_> = links.values().collect();
        others.sort_by_key(|l| l.identity.service != *own);
        clients.extend(others.into_iter().map(|l| l.client.clone()));
    }
    for client in clients {
        // A peer that has one part may have those that it leads to.
        while ask(shared, assembly, &client).await? {}
        if assembly.missing_parts(&shared.store)?.is_empty() {
            break;
        }
    }
    Ok(())
}

/// Asks one node for the missing parts; true when it had some.
async fn ask<N: Net>(
    shared: &Shared<N>,
    assembly: &mut Assembly,
    client: &node::Client,
) -> Result<bool, FollowError> {
    let mut wanted = assembly.missing_parts(&shared.store)?;
    wanted.truncate(FETCH_DIGESTS_MAX);
    if wanted.is_empty() {
        return Ok(false);
    }
    let digests: Vec<_> = wanted.iter().map(|w| w.digest).collect();
    let Ok(contents) = within(fetch(client, &digests)).await else {
        return Ok(false);
    };
    let mut found = false;
    for (part, content) in wanted.iter().zip(contents) {
        let Some(content) = content else {
            continue;
        };
        assembly.add(part, content)?;
        shared.counters.add(Counter::ConfigPulls, 1);
        found = true;
    }
    Ok(found)
}

/// Visits one node of a service that the missing part is of, for each of a few parts.
async fn ask_holders<N: Net>(
    shared: &Shared<N>,
    assembly: &mut Assembly,
) -> Result<(), FollowError> {
    let wanted = assembly.missing_parts(&shared.store)?;
    for part in wanted.iter().take(4) {
        let holder = {
            let holders = holders(shared, assembly, part);
            shared.rng.borrow_mut().choice(holders)
        };
        let Some(holder) = holder else {
            continue;
        };
        let visited = visit(shared, holder.control, async |client| {
            Ok(ask(shared, assembly, &client).await)
        });
        if let Ok(asked) = visited.await {
            asked?;
        }
    }
    Ok(())
}

/// Nodes that need the same part, as far as the configuration held here knows them.
fn holders<N: Net>(shared: &Shared<N>, assembly: &Assembly, part: &MissingPart) -> Vec<Upstream> {
    let Some(config) = shared.store.config() else {
        return Vec::new();
    };
    let needs = |u: &&Upstream| match &part.service {
        Some(service) => u.service == *service,
        None => assembly.bucket(bucket_of(&u.service)) == Some(part.digest),
    };
    let all = config.pieces.values().flat_map(|p| &p.upstreams);
    let others = all.filter(|u| u.name != shared.settings.name);
    others.filter(needs).cloned().collect()
}

/// Reads missing parts from the configuration service when it is this node's turn.
async fn read_service<N: Net>(
    shared: &Shared<N>,
    assembly: &mut Assembly,
    patience: RemovalDelay,
    round: u32,
) -> Result<(), FollowError> {
    let mut client = PlatformClient::new(shared.net.clone(), shared.settings.configuration);
    loop {
        let mut wanted = assembly.missing_parts(&shared.store)?;
        wanted.retain(|part| round >= turn(shared, assembly, part, patience));
        if wanted.is_empty() {
            return Ok(());
        }
        for part in wanted {
            let path = match part.kind {
                PartKind::Bucket => bucket_path(&part.digest),
                PartKind::Piece => piece_path(&part.digest),
            };
            let limit = Duration::from_millis(READ_MS);
            shared.counters.add(Counter::ConfigReads, 1);
            let answer = client.get(&path, VALUE_MAX_BYTES, limit).await;
            let Ok(Some(content)) = answer.map(|a| a.body) else {
                shared.counters.add(Counter::ConfigReadsFailed, 1);
                return Ok(());
            };
            assembly.add(&part, content)?;
        }
    }
}

/// The round from which on this node reads a part from the configuration service.
///
/// The nodes of a service are ranked by hash for its own parts, so that one or two of them read
/// and the rest take the parts from them.
fn turn<N: Net>(
    shared: &Shared<N>,
    assembly: &Assembly,
    part: &MissingPart,
    patience: RemovalDelay,
) -> u32 {
    let (RemovalDelay::Ranked, Some(config)) = (patience, shared.store.config()) else {
        return 0;
    };
    let own = &shared.settings.service;
    let of_own = match &part.service {
        Some(service) => service == own,
        None => assembly.bucket(bucket_of(own)) == Some(part.digest),
    };
    if !of_own {
        return PATIENCE;
    }
    let salt = part.digest.to_string();
    let rank = |name: &UpstreamName| rendezvous_score(&["part", &salt], name.as_str());
    let mine = rank(&shared.settings.name);
    let all = config.upstreams(own).iter();
    let before = all.filter(|u| rank(&u.name) < mine).count() as u32;
    (before / 2).min(PATIENCE)
}
