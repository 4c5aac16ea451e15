//! A stand-in for the platform's store, as its page describes it.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http;

#[derive(Clone)]
struct Event {
    revision: u64,
    created: u64,
    key: String,
    value: Option<String>,
}

#[derive(Default)]
struct Content {
    events: Vec<Event>,
}

/// One address of the store.
#[derive(Default)]
pub struct Entrance {
    /// Whether the store answers nothing here.
    pub is_silent: AtomicBool,
    /// Number of calls.
    pub calls: AtomicU32,
}

/// The store; clones share its content.
#[derive(Clone, Default)]
pub struct Store {
    content: Arc<Mutex<Content>>,
    changed: Arc<Condvar>,
}

impl Store {
    /// Writes a value, or removes it.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let mut content = self.lock();
        let revision = content.revision() + 1;
        let before = content.events.iter().rev().find(|e| e.key == key);
        let created = before
            .filter(|e| e.value.is_some())
            .map_or(revision, |e| e.created);
        content.events.push(Event {
            revision,
            created,
            key: key.to_owned(),
            value: value.map(str::to_owned),
        });
        self.changed.notify_all();
    }

    /// Serves the store at an address until the process ends.
    pub fn serve(&self, at: SocketAddr) -> Arc<Entrance> {
        let listener = TcpListener::bind(at).expect("the address of the store is free");
        let (store, entrance) = (self.clone(), Arc::new(Entrance::default()));
        let own = entrance.clone();
        thread::spawn(move || {
            for conn in listener.incoming().flatten() {
                let (store, entrance) = (store.clone(), own.clone());
                thread::spawn(move || store.serve_conn(conn, &entrance));
            }
        });
        entrance
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve_conn(&self, mut conn: TcpStream, entrance: &Entrance) {
        let _ = conn.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(head)) = http::read_head(&mut conn, rest) {
            rest = head.rest;
            let target = head.line.split(' ').nth(1).unwrap_or_default().to_owned();
            entrance.calls.fetch_add(1, Ordering::SeqCst);
            let (status, body) = self.answer(&target);
            if entrance.is_silent.load(Ordering::SeqCst) {
                // The connection stays open, and nothing comes on it any more.
                loop {
                    thread::park();
                }
            }
            let text = format!(
                "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            if conn.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<_, _> = query.split('&').filter_map(|p| p.split_once('=')).collect();
        let number = |name| query.get(name).and_then(|n| n.parse().ok()).unwrap_or(0);
        let prefix = decode(query.get("path_prefix").copied().unwrap_or_default());
        match path {
            "/api/kv-range" => {
                let after = query.get("after").map(|key| decode(key));
                (200, self.lock().page(&prefix, after.as_deref()))
            }
            "/api/kv-watch" => self.watch(&prefix, number("after"), number("wait_ms")),
            _ => (404, String::new()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut content = self.lock();
        loop {
            let has_news = content.events.iter().any(|e| e.is_after(prefix, after));
            let left = until.saturating_duration_since(Instant::now());
            if has_news || left.is_zero() {
                return (200, content.changes(prefix, after));
            }
            let waited = self.changed.wait_timeout(content, left);
            content = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Content {
    fn revision(&self) -> u64 {
        self.events.last().map_or(1, |e| e.revision)
    }

    fn changes(&self, prefix: &str, after: u64) -> String {
        let events = self.events.iter().filter(|e| e.is_after(prefix, after));
        let events: Vec<_> = events.map(Event::json).collect();
        format!(
            "{{\"events\":[{}],\"store_revision\":{}}}",
            events.join(","),
            self.revision()
        )
    }

    fn page(&self, prefix: &str, after: Option<&str>) -> String {
        let mut last = BTreeMap::new();
        for event in &self.events {
            last.insert(event.key.as_str(), event);
        }
        let items = last.values().filter(|e| e.value.is_some());
        let items = items.filter(|e| e.key.starts_with(prefix));
        let items = items.filter(|e| after.is_none_or(|after| e.key.as_str() > after));
        let items: Vec<_> = items.map(|e| e.json()).collect();
        format!(
            "{{\"items\":[{}],\"more_pages\":false,\"store_revision\":{}}}",
            items.join(","),
            self.revision()
        )
    }
}

impl Event {
    fn is_after(&self, prefix: &str, after: u64) -> bool {
        self.revision > after && self.key.starts_with(prefix)
    }

    fn json(&self) -> String {
        let Self {
            revision,
            created,
            key,
            value,
        } = self;
        match value {
            Some(value) => format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}",
                base64(value.as_bytes())
            ),
            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
        }
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let hex = |b: Option<u8>| b.and_then(|b| char::from(b).to_digit(16));
        match byte {
            b'%' => {
                let (high, low) = (hex(rest.next()), hex(rest.next()));
                bytes.extend(high.zip(low).map(|(h, l)| (h * 16 + l) as u8));
            }
            byte => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at)) as usize & 63];
            text.push(if at <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
