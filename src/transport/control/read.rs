//! Reads of the configuration service, the instance list and the report of the backend server.

use std::{rc::Rc, time::Duration};

use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::{
    follow::{self, READ_TIMEOUT_MS, ReadDelay},
    link::with_timeout,
    share::Shared,
};
use crate::{
    coordination::membership::reads_instance_list,
    protocol::{
        message::ListView,
        platform::{
            InstanceState, LIST_MAX_BYTES, VALUE_MAX_BYTES, head_path, list_path, read_list,
            wait_path,
        },
        report::{PATH, REPORT_MAX_BYTES, ServerReport},
    },
    state::{
        counters::Counter,
        id::UpstreamName,
        view::{NodeState, PeerStatus},
    },
    transport::{
        net::Net,
        platform::{Answer, PlatformClient},
    },
};

/// Longest time that the configuration service may hold a watch request for the head.
const WATCH_TIMEOUT_S: u64 = 20;
/// Interval at which a node checks whether it is a reader.
const READER_CHECK_INTERVAL_MS: u64 = 500;
/// Shortest pause before the head is read again; doubles after each failed read.
const BACKOFF_MIN_MS: u64 = 500;
/// Longest pause after failed reads of the head.
const BACKOFF_MAX_MS: u64 = 5_000;
/// Mean time between two reads of the instance list by one reader.
const LIST_INTERVAL_MS: u64 = 2_000;
/// An unchanged instance list is forwarded again after this time.
const LIST_REPEAT_S: u64 = 10;
/// A node reads the instance list itself when it has received none for this time.
const LIST_TIMEOUT_S: u64 = 15;
/// Interval at which the report of the backend server is polled.
const REPORT_INTERVAL_MS: u64 = 250;

/// Watches the head while this node is a reader of its availability zone.
pub async fn configuration<N: Net>(shared: Rc<Shared<N>>, stop: CancellationToken) {
    loop {
        let read = async {
            while !shared.readers.borrow().is_reader() {
                sleep(Duration::from_millis(READER_CHECK_INTERVAL_MS)).await;
            }
            watch(&shared).await;
        };
        tokio::select! {
            biased;
            () = stop.cancelled() => return,
            () = read => {}
        }
    }
}

/// Reads heads until this node is no longer a reader.
async fn watch<N: Net>(shared: &Shared<N>) {
    let mut client = PlatformClient::new(shared.net.clone(), shared.settings.configuration);
    let mut version: Option<String> = None;
    let mut backoff = BACKOFF_MIN_MS;
    while shared.readers.borrow().is_reader() {
        let path = match &version {
            Some(after) => wait_path(after, Duration::from_secs(WATCH_TIMEOUT_S)),
            None => head_path().to_owned(),
        };
        shared.counters.add(Counter::ConfigReads, 1);
        let limit = Duration::from_secs(WATCH_TIMEOUT_S) + Duration::from_millis(READ_TIMEOUT_MS);
        let answer = tokio::select! {
            biased;
            answer = client.get(&path, VALUE_MAX_BYTES, limit) => answer,
            () = wait_until_replaced(shared) => return,
        };
        shared.check_pause();
        let succeeded = answer.is_ok();
        shared
            .readers
            .borrow_mut()
            .record_read(succeeded, Instant::now());
        match answer {
            Ok(answer) => {
                backoff = BACKOFF_MIN_MS;
                let has_version = answer.version.is_some();
                handle_answer(shared, answer, &mut version).await;
                if !has_version {
                    sleep(shared.jitter(BACKOFF_MIN_MS, 2 * BACKOFF_MIN_MS)).await;
                }
            }
            Err(e) => {
                log::debug!(
                    "configuration service: head not read, retrying within {backoff} ms: {e}"
                );
                shared.counters.add(Counter::ConfigReadsFailed, 1);
                sleep(shared.jitter(backoff / 2, backoff)).await;
                backoff = (2 * backoff).min(BACKOFF_MAX_MS);
            }
        }
    }
}

/// Completes when this node is no longer a reader.
async fn wait_until_replaced<N: Net>(shared: &Shared<N>) {
    while shared.readers.borrow().is_reader() {
        sleep(Duration::from_millis(READER_CHECK_INTERVAL_MS)).await;
    }
}

/// Fetches the parts of a head in an answer and records the version to wait for next.
async fn handle_answer<N: Net>(shared: &Shared<N>, answer: Answer, version: &mut Option<String>) {
    let Some(content) = answer.body else {
        *version = answer.version.or(version.take());
        return;
    };
    let first_seen = Instant::now();
    let outcome =
        follow::fetch_and_accept(shared, content, None, ReadDelay::None, first_seen).await;
    // Without a version the next read returns at once, so a head with unread parts is retried.
    *version = answer.version.filter(|_| outcome.is_some());
    if outcome.is_none() {
        sleep(shared.jitter(BACKOFF_MIN_MS, 2 * BACKOFF_MIN_MS)).await;
    }
}

/// Reads the instance list, and forwards it to peers, while this node is a list reader of its
/// service.
pub async fn instances<N: Net>(shared: Rc<Shared<N>>, stop: CancellationToken) {
    let mut client = PlatformClient::new(shared.net.clone(), shared.settings.instances);
    let mut forwarded: Option<(Instant, ListView)> = None;
    let mut counter = 0;
    let start = Instant::now();
    loop {
        tokio::select! {
            biased;
            () = stop.cancelled() => return,
            () = sleep(shared.jitter(
                LIST_INTERVAL_MS / 2,
                LIST_INTERVAL_MS + LIST_INTERVAL_MS / 2,
            )) => {}
        }
        if !is_list_reader(&shared, start) {
            continue;
        }
        let read = tokio::select! {
            biased;
            () = stop.cancelled() => return,
            read = read_instances(&shared, &mut client, counter + 1) => read,
        };
        let Some(list) = read else {
            continue;
        };
        let repeat = Duration::from_secs(LIST_REPEAT_S);
        let is_repeat =
            |(at, old): &(Instant, ListView)| at.elapsed() < repeat && old.entries == list.entries;
        if forwarded.as_ref().is_some_and(is_repeat) {
            shared.list_received.set(Some(Instant::now()));
            continue;
        }
        counter += 1;
        shared.apply_list(&list);
        tokio::select! {
            biased;
            () = stop.cancelled() => return,
            () = forward_list(&shared, &list, None) => {}
        }
        forwarded = Some((Instant::now(), list));
    }
}

/// Whether this node is a list reader of its service or has received no list for too long.
fn is_list_reader<N: Net>(shared: &Shared<N>, start: Instant) -> bool {
    let Some(config) = shared.store.config() else {
        return false;
    };
    let last_received = shared.list_received.get().unwrap_or(start);
    let silent = last_received.elapsed() >= Duration::from_secs(LIST_TIMEOUT_S);
    let view = shared.view.borrow();
    let alive =
        |name: &UpstreamName| !matches!(view.status(name), PeerStatus::Down | PeerStatus::Leaving);
    let settings = &shared.settings;
    silent || reads_instance_list(&config, &settings.service, &settings.name, alive)
}

/// Reads the instance list of this node's service; `None` if the read fails.
async fn read_instances<N: Net>(
    shared: &Shared<N>,
    client: &mut PlatformClient<N>,
    counter: u32,
) -> Option<ListView> {
    shared.counters.add(Counter::ListReads, 1);
    let settings = &shared.settings;
    let path = list_path(&settings.service);
    let limit = Duration::from_millis(READ_TIMEOUT_MS);
    let answer = client.get(&path, LIST_MAX_BYTES, limit).await.ok()?;
    let listed = read_list(&answer.body?)?;
    let entry = |i: crate::protocol::platform::Instance| {
        let leaving = i.state == InstanceState::Leaving;
        (i.name, leaving)
    };
    Some(ListView {
        service: settings.service.clone(),
        origin: settings.name.clone(),
        counter,
        entries: listed.into_iter().map(entry).collect(),
    })
}

/// Sends an instance list to the linked peers of this node's service, except to its sender.
pub async fn forward_list<N: Net>(
    shared: &Shared<N>,
    list: &ListView,
    sender: Option<&UpstreamName>,
) {
    let clients: Vec<_> = {
        let links = shared.links.borrow();
        let own = &shared.settings.service;
        let same_service = links.values().filter(|l| l.identity.service == *own);
        let others = same_service.filter(|l| Some(&l.identity.name) != sender);
        others.map(|l| l.client.clone()).collect()
    };
    let send = async |client: crate::protocol::peer_capnp::node::Client| {
        let mut request = client.list_request();
        list.write(request.get().init_list());
        with_timeout(async { request.send().promise.await.map(|_| ()) }).await
    };
    futures::future::join_all(clients.into_iter().map(send)).await;
}

/// Polls the report of the backend server. The node leaves when the backend server drains.
pub async fn reports<N: Net>(shared: Rc<Shared<N>>, stop: CancellationToken) {
    let mut client = PlatformClient::new(shared.net.clone(), shared.settings.server);
    let mut ticks = interval(Duration::from_millis(REPORT_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let read = async {
            ticks.tick().await;
            let limit = Duration::from_millis(2 * REPORT_INTERVAL_MS);
            timeout(limit, client.get(PATH, REPORT_MAX_BYTES, limit)).await
        };
        let answer = tokio::select! {
            biased;
            () = stop.cancelled() => return,
            answer = read => answer,
        };
        let body = answer.ok().and_then(|a| a.ok()).and_then(|a| a.body);
        let Some(report) = body.and_then(|b| ServerReport::read(&b)) else {
            continue;
        };
        if shared.state.get() != NodeState::Leaving {
            shared.leave.borrow_mut().update_draining(report.draining);
            shared.check_leave();
        }
    }
}
