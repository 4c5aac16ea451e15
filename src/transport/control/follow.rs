//! Fetches published configurations from peers and from the configuration service.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::{
    link::{CallResult, call_once, with_timeout},
    share::{RevisionHint, Shared},
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

/// Shortest pause between two rounds of fetching missing parts; jitter adds up to the same time.
const ROUND_INTERVAL_MS: u64 = 150;
/// Rounds before the fetch of a publication is abandoned. A later hint starts a new fetch.
const ROUNDS_MAX: u32 = 40;
/// Maximum number of rounds in which a node asks only peers before it reads a part from the
/// configuration service; a part of another service always has this delay.
const READ_DELAY_ROUNDS: u32 = 8;
/// Time limit of one read from a platform service.
pub const READ_TIMEOUT_MS: u64 = 2_000;

/// Delay before a node reads missing parts from the configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadDelay {
    /// Missing parts are read at once.
    None,
    /// Peers are asked first. The two best-ranked nodes of a service read its parts at once, and
    /// each further pair one round later.
    Ranked,
}

/// Fetches the encoded head of the configuration in effect at a node.
pub async fn fetch_head(client: &node::Client) -> CallResult<Option<Bytes>> {
    let response = client.head_request().send().promise.await?;
    let content = response.get()?.get_content()?;
    Ok((!content.is_empty()).then(|| Bytes::copy_from_slice(content)))
}

/// Fetches the status of a node: its state and its configuration version.
pub async fn fetch_status(client: &node::Client) -> CallResult<Status> {
    let response = client.status_request().send().promise.await?;
    Ok(Status::read(response.get()?.get_status()?)?)
}

/// Fetches parts by digest from a node, in the order of `digests`; `None` where it has no usable
/// copy.
pub async fn fetch_parts(
    client: &node::Client,
    digests: &[Digest],
) -> CallResult<Vec<Option<Bytes>>> {
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

/// Fetches the configuration whenever a peer reports a newer revision than the current one.
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
            () = fetch_publication(&shared, &hint) => {}
        }
    }
}

/// Fetches the head from the peer of a hint, over its link if there is one, then the missing parts.
async fn fetch_publication<N: Net>(shared: &Shared<N>, hint: &RevisionHint) {
    let client = {
        let links = shared.links.borrow();
        links.get(&hint.peer).map(|l| l.client.clone())
    };
    let content = match client.clone() {
        Some(client) => with_timeout(fetch_head(&client)).await,
        None => match control_address(shared, &hint.peer) {
            Some(at) => call_once(shared, at, async |c| with_timeout(fetch_head(&c)).await).await,
            None => return,
        },
    };
    let Ok(Some(content)) = content else {
        return;
    };
    fetch_and_accept(shared, content, client, ReadDelay::Ranked, hint.first_seen).await;
}

fn control_address<N: Net>(shared: &Shared<N>, name: &UpstreamName) -> Option<SocketAddr> {
    let config = shared.store.config()?;
    config.upstream(name).map(|u| u.control)
}

/// Fetches the missing parts of the publication with the head `content`, and puts it in effect if
/// it may replace the current configuration.
///
/// `from` is the node that sent the head, if a peer did.
pub async fn fetch_and_accept<N: Net>(
    shared: &Shared<N>,
    content: Bytes,
    from: Option<node::Client>,
    read_delay: ReadDelay,
    first_seen: Instant,
) -> Option<OfferOutcome> {
    let result = assemble(shared, content, from, read_delay, first_seen).await;
    if let Err(e) = &result {
        shared.counters.add(Counter::ConfigInvalid, 1);
        shared.record_decision(DecisionKind::ConfigRefused, "part".into(), e.to_string());
    }
    result.ok().flatten()
}

async fn assemble<N: Net>(
    shared: &Shared<N>,
    content: Bytes,
    from: Option<node::Client>,
    read_delay: ReadDelay,
    first_seen: Instant,
) -> Result<Option<OfferOutcome>, FollowError> {
    shared.check_pause();
    let mut assembly = Assembly::new(shared.settings.service.clone(), content)?;
    let (revision, digest) = (assembly.revision(), assembly.digest());
    match shared.follower.evaluate(revision, digest) {
        OfferOutcome::Accepted => {}
        OfferOutcome::Conflict => {
            shared.record_conflict(revision, digest, "a source".into());
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
        fetch_from_peers(shared, &mut assembly, from.as_ref()).await?;
        // Asking all links can take most of a second between regions, so the read delay counts
        // elapsed time and not iterations.
        let elapsed_rounds = start.elapsed().as_millis() as u64 / ROUND_INTERVAL_MS;
        read_missing_parts(shared, &mut assembly, read_delay, elapsed_rounds as u32).await?;
        if assembly.missing_parts(&shared.store)?.is_empty() {
            return shared.accept(assembly, first_seen).map(Some);
        }
        sleep(shared.jitter(ROUND_INTERVAL_MS, 2 * ROUND_INTERVAL_MS)).await;
        if round > 0 {
            fetch_from_holders(shared, &mut assembly).await?;
        }
    }
    Ok(None)
}

/// Fetches missing parts from the sender of the head, then from the linked peers, those of the
/// same service first.
async fn fetch_from_peers<N: Net>(
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
        // A bucket refers to pieces, which the same peer may also have.
        while fetch_from(shared, assembly, &client).await? {}
        if assembly.missing_parts(&shared.store)?.is_empty() {
            break;
        }
    }
    Ok(())
}

/// Fetches missing parts from one node; true if it returned any.
async fn fetch_from<N: Net>(
    shared: &Shared<N>,
    assembly: &mut Assembly,
    client: &node::Client,
) -> Result<bool, FollowError> {
    let mut missing = assembly.missing_parts(&shared.store)?;
    missing.truncate(FETCH_DIGESTS_MAX);
    if missing.is_empty() {
        return Ok(false);
    }
    let digests: Vec<_> = missing.iter().map(|p| p.digest).collect();
    let Ok(contents) = with_timeout(fetch_parts(client, &digests)).await else {
        return Ok(false);
    };
    let mut found = false;
    for (part, content) in missing.iter().zip(contents) {
        let Some(content) = content else {
            continue;
        };
        assembly.add(part, content)?;
        shared.counters.add(Counter::ConfigPulls, 1);
        found = true;
    }
    Ok(found)
}

/// For each of the first few missing parts, connects to a random node that needs the same part
/// and fetches from it.
async fn fetch_from_holders<N: Net>(
    shared: &Shared<N>,
    assembly: &mut Assembly,
) -> Result<(), FollowError> {
    let missing = assembly.missing_parts(&shared.store)?;
    for part in missing.iter().take(4) {
        let holder = {
            let holders = holders(shared, assembly, part);
            shared.rng.borrow_mut().choice(holders)
        };
        let Some(holder) = holder else {
            continue;
        };
        let call = call_once(shared, holder.control, async |client| {
            Ok(fetch_from(shared, assembly, &client).await)
        });
        if let Ok(result) = call.await {
            result?;
        }
    }
    Ok(())
}

/// The other nodes that need a part, among those listed in the current configuration.
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

/// Reads from the configuration service those missing parts whose read delay has passed.
async fn read_missing_parts<N: Net>(
    shared: &Shared<N>,
    assembly: &mut Assembly,
    read_delay: ReadDelay,
    round: u32,
) -> Result<(), FollowError> {
    let mut client = PlatformClient::new(shared.net.clone(), shared.settings.configuration);
    loop {
        let mut missing = assembly.missing_parts(&shared.store)?;
        missing.retain(|part| round >= first_read_round(shared, assembly, part, read_delay));
        if missing.is_empty() {
            return Ok(());
        }
        for part in missing {
            let path = match part.kind {
                PartKind::Bucket => bucket_path(&part.digest),
                PartKind::Piece => piece_path(&part.digest),
            };
            let limit = Duration::from_millis(READ_TIMEOUT_MS);
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

/// The first round in which this node reads a part from the configuration service.
///
/// The nodes of a service are ranked by rendezvous hash for each part of their service, so that
/// one or two of them read it and the others fetch it from these.
fn first_read_round<N: Net>(
    shared: &Shared<N>,
    assembly: &Assembly,
    part: &MissingPart,
    read_delay: ReadDelay,
) -> u32 {
    let (ReadDelay::Ranked, Some(config)) = (read_delay, shared.store.config()) else {
        return 0;
    };
    let own = &shared.settings.service;
    let is_own = match &part.service {
        Some(service) => service == own,
        None => assembly.bucket(bucket_of(own)) == Some(part.digest),
    };
    if !is_own {
        return READ_DELAY_ROUNDS;
    }
    let salt = part.digest.to_string();
    let rank = |name: &UpstreamName| rendezvous_score(&["part", &salt], name.as_str());
    let own_rank = rank(&shared.settings.name);
    let all = config.upstreams(own).iter();
    let ahead = all.filter(|u| rank(&u.name) < own_rank).count() as u32;
    (ahead / 2).min(READ_DELAY_ROUNDS)
}
