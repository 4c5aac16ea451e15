//! The keys of a mapping.

use serde_saphyr::{Location, Spanned};

use super::{Node, Read, Reading, Value, duplicate_key, read_at};
use crate::coordination::check::{Fault, nearest};

/// Reads the keys of a mapping; every key asked for is a known one.
#[derive(Debug)]
pub struct Fields<'r, 'a, 'v> {
    reading: &'r mut Reading<'a>,
    items: &'v [(Spanned<String>, Value)],
    path: String,
    start: Location,
    known: Vec<&'static str>,
}

impl<'r, 'a, 'v> Fields<'r, 'a, 'v> {
    /// Begins to read a mapping; `None` after a fault when the value is none.
    pub fn new(reading: &'r mut Reading<'a>, value: &'v Value, path: &str) -> Option<Self> {
        let Node::Map(items) = &value.value else {
            reading.wrong(value, "a mapping");
            return None;
        };
        let start = items
            .first()
            .map_or(value.referenced, |(k, _)| k.referenced);
        let site = reading.site(start);
        reading.spans.insert(path, site.range);
        Some(Self {
            reading,
            items,
            path: path.to_owned(),
            start,
            known: vec![],
        })
    }

    /// The value of a key, if it is present.
    pub fn value(&mut self, key: &'static str) -> Option<&'v Value> {
        self.known.push(key);
        let found = self.items.iter().find(|(k, _)| k.value == key);
        found.map(|(_, value)| value)
    }

    /// Reads a key that has to be present.
    pub fn required<T: Read>(&mut self, key: &'static str) -> Option<T> {
        let Some(value) = self.value(key) else {
            self.missing(key);
            return None;
        };
        self.read(key, value)
    }

    /// Reads a key that may be absent or empty; `None` only after a fault.
    pub fn optional<T: Read>(&mut self, key: &'static str) -> Option<Option<T>> {
        match self.value(key) {
            None => Some(None),
            Some(value) if value.value == Node::Null => Some(None),
            Some(value) => self.read(key, value).map(Some),
        }
    }

    /// Reads a key with a default; `None` only after a fault.
    pub fn or<T: Read>(&mut self, key: &'static str, default: T) -> Option<T> {
        match self.value(key) {
            None => Some(default),
            Some(value) => self.read(key, value),
        }
    }

    /// Reports a key that has to be present and is not.
    pub fn missing(&mut self, key: &'static str) {
        let site = self.reading.site(self.start);
        let message = format!("key {key:?} is missing");
        let fault = Fault::new("missing-key", site, message, "missing");
        self.reading.faults.push(fault);
    }

    fn read<T: Read>(&mut self, key: &'static str, value: &Value) -> Option<T> {
        let path = match self.path.as_str() {
            "" => key.to_owned(),
            path => format!("{path}/{key}"),
        };
        read_at(self.reading, value, &path)
    }

    /// What is common to the values of the document.
    pub fn reading(&mut self) -> &mut Reading<'a> {
        self.reading
    }

    /// Reports unknown and repeated keys.
    pub fn finish(self) {
        for (n, (key, _)) in self.items.iter().enumerate() {
            let site = self.reading.site(key.referenced);
            let known = self.known.contains(&key.value.as_str());
            if !known {
                let near = nearest(&key.value, self.known.iter().copied());
                let help = near.map_or_else(
                    || format!("known keys: {}", self.known.join(", ")),
                    |near| format!("did you mean {near}?"),
                );
                let message = format!("key {:?} is not known here", key.value);
                let fault = Fault::new("unknown-key", site, message, "unknown key");
                self.reading.faults.push(fault.help(help));
            } else if self.items[..n].iter().any(|(k, _)| k.value == key.value) {
                self.reading.faults.push(duplicate_key(&key.value, site));
            }
        }
    }
}
