//! Stand-in for the platform's store.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

#[derive(Debug, Clone)]
struct Item {
    /// `None` if the item was removed.
    value: Option<String>,
    revision: u64,
    created: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Connections opened so far.
    opened: u64,
    /// Connections opened before this number get no answer any more.
    silent_below: u64,
    /// Machines whose packets to and from the store are dropped.
    cut: BTreeSet<IpAddr>,
}

/// The store; clones share its state.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self {
            address,
            state: Arc::default(),
        };
        store.state.0.lock().unwrap().revision = 400;
        let own = store.clone();
        thread::spawn(move || {
            for conn in listener.incoming().flatten() {
                let store = own.clone();
                thread::spawn(move || store.serve(conn));
            }
        });
        Ok(store)
    }

    /// Writes an item, and returns the moment of the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        self.change(key, Some(base64(value.as_bytes())))
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) -> Instant {
        self.change(key, None)
    }

    fn change(&self, key: &str, value: Option<String>) -> Instant {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let known = state.items.get(key).filter(|item| item.value.is_some());
        let created = known.map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
        };
        state.items.insert(key.to_owned(), item);
        self.state.1.notify_all();
        Instant::now()
    }

    /// Makes the open connections silent for good, without a reset. New ones work.
    pub fn silence(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.silent_below = state.opened;
    }

    /// Drops all packets between the store and a machine until [`Store::heal`].
    pub fn cut(&self, machine: IpAddr) {
        self.state.0.lock().unwrap().cut.insert(machine);
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.cut.clear();
        self.state.1.notify_all();
    }

    fn serve(&self, mut conn: TcpStream) {
        let Ok(from) = conn.peer_addr().map(|at| at.ip()) else {
            return;
        };
        let number = {
            let mut state = self.state.0.lock().unwrap();
            state.opened += 1;
            state.opened
        };
        while let Ok(Some(request)) = http::read(&mut conn) {
            let Some((status, body)) = self.answer(&request, from, number) else {
                // The caller sees neither data nor the end of the connection.
                loop {
                    thread::sleep(Duration::from_secs(3_600));
                }
            };
            let headers = [("Content-Type", "application/json")];
            if http::write(&mut conn, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The answer to a request; `None` if it never arrives.
    fn answer(
        &self,
        request: &http::Message,
        from: IpAddr,
        number: u64,
    ) -> Option<(&'static str, String)> {
        let number_of = |name| {
            request
                .query(name)
                .and_then(|v| v.parse().ok())
                .unwrap_or(0u64)
        };
        let is_lost = |state: &State| state.cut.contains(&from) || number <= state.silent_below;
        let mut state = self.state.0.lock().unwrap();
        if is_lost(&state) {
            return None;
        }
        if request.target().starts_with("/api/kv-range") {
            let items = state.items.iter().filter(|(_, item)| item.value.is_some());
            let items: Vec<_> = items.map(|(key, item)| record(key, item)).collect();
            let items = items.join(",");
            let revision = state.revision;
            let body =
                format!(r#"{{"items":[{items}],"more_pages":false,"store_revision":{revision}}}"#);
            return Some(("HTTP/1.1 200 OK", body));
        }
        if !request.target().starts_with("/api/kv-watch") {
            return Some(("HTTP/1.1 404 Not Found", "{}".to_owned()));
        }
        let after = number_of("after");
        let end = Instant::now() + Duration::from_millis(number_of("wait_ms"));
        loop {
            let now = Instant::now();
            if state.revision > after || now >= end {
                break;
            }
            state = self.state.1.wait_timeout(state, end - now).unwrap().0;
            if is_lost(&state) {
                return None;
            }
        }
        if is_lost(&state) {
            return None;
        }
        let mut events: Vec<_> = state
            .items
            .iter()
            .filter(|(_, i)| i.revision > after)
            .collect();
        events.sort_by_key(|(_, item)| item.revision);
        let events: Vec<_> = events.iter().map(|(key, item)| record(key, item)).collect();
        let (events, revision) = (events.join(","), state.revision);
        let body = format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#);
        Some(("HTTP/1.1 200 OK", body))
    }
}

fn record(key: &str, item: &Item) -> String {
    let revision = item.revision;
    let Some(value) = &item.value else {
        return format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#);
    };
    let created = item.created;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let all = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = DIGITS[(all >> (18 - 6 * at)) as usize & 63];
            text.push(if at > group.len() { '=' } else { digit.into() });
        }
    }
    text
}
