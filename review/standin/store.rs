//! The platform's metadata store: lists and watches over one table with one revision counter.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::net::{Conn, Message, base64};

#[derive(Default)]
struct Table {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Revision and JSON of each change.
    events: Vec<(u64, String)>,
}

#[derive(Default)]
pub struct Store {
    table: Mutex<Table>,
    changed: Condvar,
}

fn item(key: &str, value: &str, revision: u64) -> String {
    let value = base64(value.as_bytes());
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
    )
}

impl Store {
    /// Writes an item, unless it has this value already. Returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut table = self.table.lock().unwrap();
        if table
            .items
            .get(key)
            .is_some_and(|(known, _)| known == value)
        {
            return table.revision;
        }
        table.revision += 1;
        let revision = table.revision;
        let event = item(key, value, revision);
        table
            .items
            .insert(key.to_owned(), (value.to_owned(), revision));
        table.events.push((revision, event));
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        let mut table = self.table.lock().unwrap();
        if table.items.remove(key).is_none() {
            return;
        }
        table.revision += 1;
        let revision = table.revision;
        let event = format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#);
        table.events.push((revision, event));
        self.changed.notify_all();
    }

    pub fn serve(self: &Arc<Self>, at: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(at)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(request)) = conn.read() {
                        let body = store.answer(&request);
                        let kind = [("Content-Type", "application/json".to_owned())];
                        if conn
                            .write("HTTP/1.1 200 OK", &kind, body.as_bytes())
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        Ok(())
    }

    fn answer(&self, request: &Message) -> String {
        let target = request.target();
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v);
            found
                .replace("%2F", "/")
                .replace("%2D", "-")
                .replace("%2E", ".")
        };
        match target.starts_with("/api/kv-watch") {
            true => {
                let after = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                self.watch(after, wait)
            }
            false => {
                let table = self.table.lock().unwrap();
                let after = field("after");
                let items = table.items.iter().filter(|(key, _)| **key > after);
                let items: Vec<_> = items.map(|(k, (v, r))| item(k, v, *r)).collect();
                let (items, revision) = (items.join(","), table.revision);
                format!(r#"{{"items":[{items}],"more_pages":false,"store_revision":{revision}}}"#)
            }
        }
    }

    fn watch(&self, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut table = self.table.lock().unwrap();
        loop {
            let events = table.events.iter().filter(|(at, _)| *at > after);
            let events: Vec<_> = events.map(|(_, event)| event.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), table.revision);
                return format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#);
            }
            table = self.changed.wait_timeout(table, left).unwrap().0;
        }
    }
}
