//! A fake of the platform's store, and its paths and formats.

use comfreybay::{
    protocol::directory::{Changes, Directory, Item, Page},
    state::mesh::{backend::InstanceId, revision::Epoch},
};
use tokio::sync::Notify;

use super::*;

pub const STORE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 8, 0, 1)), 9000);

/// A fake directory store. An item's revision is its position in the list, counted from 1.
#[derive(Default)]
pub struct FakeStore {
    items: RefCell<Vec<Item>>,
    /// Number of times that the store was restored from a copy.
    restores: std::cell::Cell<u64>,
    changed: Notify,
    /// Whether the store answers every request with 503.
    pub down: std::cell::Cell<bool>,
    /// Each connection's node address, and whether the store has stopped answering on it.
    conns: RefCell<Vec<(IpAddr, Rc<std::cell::Cell<bool>>)>>,
    /// Number of watch requests received.
    pub watches: std::cell::Cell<usize>,
    /// Time that the store takes for each answer.
    pub delay: std::cell::Cell<Duration>,
    /// Nodes that the store answers with 503.
    pub turned_away: RefCell<std::collections::BTreeSet<IpAddr>>,
    /// Nodes that the store does not answer, on open connections and on new ones.
    pub ignored: RefCell<std::collections::BTreeSet<IpAddr>>,
}

impl FakeStore {
    pub fn put(&self, item: impl FnOnce(u64) -> Item) {
        let mut items = self.items.borrow_mut();
        let revision = items.len() as u64 + 1;
        items.push(item(revision));
        self.changed.notify_waiters();
    }

    /// Restores the store from a copy that holds the items up to a revision.
    pub fn restore(&self, revision: u64) {
        self.items.borrow_mut().truncate(revision as usize);
        self.restores.set(self.restores.get() + 1);
        self.changed.notify_waiters();
    }

    /// Answers a node with 503 from now on, also where it waits.
    pub fn turn_away(&self, ip: IpAddr) {
        self.turned_away.borrow_mut().insert(ip);
        self.changed.notify_waiters();
    }

    /// Stops answering on the connections that are open now from an address; later ones are
    /// answered.
    pub fn silence(&self, ip: IpAddr) {
        for (_, silent) in self.conns.borrow().iter().filter(|(at, _)| *at == ip) {
            silent.set(true);
        }
    }

    pub fn revision(&self) -> u64 {
        self.items.borrow().len() as u64
    }
}

/// Decodes answers `FROM TO`: the items after revision FROM, up to TO.
pub struct TestDirectory(pub Rc<FakeStore>);

impl TestDirectory {
    fn read(&self, body: &[u8]) -> (Vec<Item>, u64) {
        let text = std::str::from_utf8(body).unwrap();
        let (from, to) = text.split_once(' ').unwrap();
        let (from, to): (usize, usize) = (from.parse().unwrap(), to.parse().unwrap());
        (self.0.items.borrow()[from..to].to_vec(), to as u64)
    }
}

/// The id of the server that an item is about; `None` for routes.
fn key(item: &Item) -> Option<&InstanceId> {
    match item {
        Item::Backend { id, .. } | Item::Removed { id, .. } => Some(id),
        Item::Routes { .. } => None,
    }
}

fn is_removal(item: &Item) -> bool {
    matches!(item, Item::Removed { .. })
}

impl Directory for TestDirectory {
    fn list_path(&self, _after: Option<&str>) -> String {
        "/0/0".to_owned()
    }

    fn watch_path(&self, revision: u64, wait: Duration) -> String {
        format!("/{revision}/{}", wait.as_millis())
    }

    fn epoch(&self, headers: &HeaderMap) -> Option<Epoch> {
        header(headers, "x-epoch").parse().ok()
    }

    fn parse_page(&self, body: &[u8]) -> comfreybay::protocol::directory::Result<Page> {
        let (items, revision) = self.read(body);
        let is_last = |item: &Item, at: usize| items[at + 1..].iter().all(|i| key(i) != key(item));
        let listed = items.iter().enumerate();
        let listed = listed.filter(|(at, item)| !is_removal(item) && is_last(item, *at));
        Ok(Page {
            items: listed.map(|(_, item)| item.clone()).collect(),
            cursor: None,
            revision,
        })
    }

    fn parse_changes(&self, body: &[u8]) -> comfreybay::protocol::directory::Result<Changes> {
        let (items, revision) = self.read(body);
        Ok(Changes { items, revision })
    }
}

pub async fn serve_store(net: MemoryNet, store: Rc<FakeStore>) {
    serve_store_at(net, STORE, store).await;
}

pub async fn serve_store_at<N: Net>(net: N, at: SocketAddr, store: Rc<FakeStore>) {
    let mut listener = net.bind(at).await.unwrap();
    while let Ok((conn, from)) = listener.accept().await {
        let silent = Rc::new(std::cell::Cell::new(false));
        store.conns.borrow_mut().push((from.ip(), silent.clone()));
        let store = store.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let (store, silent) = (store.clone(), silent.clone());
            async move {
                let mut answer = answer(&store, request.uri().path()).await;
                tokio::time::sleep(store.delay.get()).await;
                if store.turned_away.borrow().contains(&from.ip()) {
                    *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                }
                if silent.get() || store.ignored.borrow().contains(&from.ip()) {
                    std::future::pending::<()>().await;
                }
                Ok::<_, Infallible>(answer)
            }
        });
        let conn = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(conn), service);
        tokio::task::spawn_local(conn);
    }
}

async fn answer(store: &FakeStore, path: &str) -> Response<Full<Bytes>> {
    let (from, wait) = path[1..].split_once('/').unwrap();
    let (from, wait): (u64, u64) = (from.parse().unwrap(), wait.parse().unwrap());
    let is_known = || from <= store.revision();
    if wait > 0 && !store.down.get() {
        store.watches.set(store.watches.get() + 1);
        let until = tokio::time::Instant::now() + Duration::from_millis(wait);
        while store.revision() == from {
            let changed = store.changed.notified();
            if tokio::time::timeout_at(until, changed).await.is_err() {
                break;
            }
        }
    }
    let status = match store.down.get() {
        true => StatusCode::SERVICE_UNAVAILABLE,
        false if is_known() => StatusCode::OK,
        false => StatusCode::GONE,
    };
    let text = format!("{} {}", from.min(store.revision()), store.revision());
    let answer = Response::builder().status(status);
    let answer = answer.header("x-epoch", (store.restores.get() + 1).to_string());
    answer.body(Full::from(text)).unwrap()
}
