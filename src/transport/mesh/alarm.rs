//! Messages to the readers whose connections to the platform's store may have fallen silent.
//!
//! Such a connection shows no error: a change that the store would send on it never arrives. What
//! silences the connection of one node may have silenced those of all, and only an overdue answer
//! shows it. The node that notices first tells the other readers, which then renew their watches on
//! new connections. The connections of some readers may also fall silent, or be cut off, without those
//! of the sentinels; the sentinels therefore tell the others of each change that they read. If they
//! are cut off themselves, the reader that ranks next does.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures::future::join_all;
use http::{HeaderMap, Request, Response, StatusCode};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    protocol::{
        call::{read, write},
        header,
    },
    state::{
        counters::Counter,
        mesh::{readers::SENTINELS, revision::StoreRevision},
    },
};

use super::{
    super::{chunks::Chunks, net::Net, reply::Body},
    shared::Mesh,
};

/// Time allowed for an answer. The connection to the other node may be silent, too, so a new one is
/// tried then.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between the turns of readers that are no sentinels. Several can be cut off from the store at
/// once, and their turns have to pass well within the shortest time limit for changes, 2 s.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);

/// Tells the other readers that the connection to the store had fallen silent.
pub async fn raise<N: Net, D>(mesh: Rc<Mesh<N, D>>) {
    tell_readers(&mesh, header::STORE_SILENT).await;
}

/// Tells the other readers that this node has read a change. Those whose watches don't return it
/// soon renew them.
///
/// A node that is no sentinel waits for its turn, by its `rank` among the readers, and tells nobody
/// if another one has told it of the change by then.
pub async fn announce_change<N: Net, D>(mesh: Rc<Mesh<N, D>>, rank: usize) {
    let latest = mesh.progress.borrow().latest();
    if rank >= SENTINELS {
        let turn = u32::try_from(rank - SENTINELS + 1).unwrap_or(u32::MAX);
        sleep(ANNOUNCE_INTERVAL.saturating_mul(turn)).await;
        if mesh.announced.get() >= latest {
            return;
        }
    }
    mesh.counters.add(Counter::ConfigAnnounced, 1);
    tell_readers(&mesh, header::STORE_CHANGED).await;
}

/// Those that were readers until recently are told as well, as other nodes may still ask them.
async fn tell_readers<N: Net, D>(mesh: &Mesh<N, D>, message: &'static str) {
    let own = mesh.own_peer();
    let mut readers = mesh.readers.borrow().clone();
    readers.extend(mesh.former_readers.borrow().at(Instant::now()));
    let others = readers.into_iter().filter(|reader| *reader != own);
    let sent = others.map(async |reader| {
        for _ in 0..2 {
            let Ok(mut request) =
                Request::post(format!("http://{reader}/")).body(Chunks::default())
            else {
                return;
            };
            write(request.headers_mut(), message, &1);
            mesh.write_progress(request.headers_mut());
            let sent = mesh.links.send(reader, request);
            if matches!(timeout(ANSWER_TIMEOUT, sent).await, Ok(Ok(_))) {
                return;
            }
            mesh.links.renew(reader);
        }
        log::info!(node:% = reader, message; "node could not be told about the store");
    });
    join_all(sent).await;
}

/// Whether a request of another node is one of these messages.
pub fn is_request(headers: &HeaderMap) -> bool {
    headers.contains_key(header::STORE_SILENT) || headers.contains_key(header::STORE_CHANGED)
}

/// Makes this node renew its watch at the store: at once after a silence, and after a change only if
/// its watch doesn't return it soon.
pub fn answer<N: Net, D>(mesh: &Mesh<N, D>, headers: &HeaderMap) -> Response<Body> {
    mesh.read_progress(headers);
    let told: Option<StoreRevision> = read(headers, header::REVISION).ok().flatten();
    if headers.contains_key(header::STORE_CHANGED) {
        let latest = mesh.announced.get().max(told.unwrap_or_default());
        mesh.announced.set(latest);
    }
    if headers.contains_key(header::STORE_SILENT) {
        mesh.counters.add(Counter::ConfigAlarms, 1);
        mesh.store_alarm.notify_one();
    }
    let mut response = Response::new(Body::whole(Bytes::new()));
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}
