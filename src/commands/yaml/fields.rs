//! Reads the keys of a mapping.

use serde_saphyr::{Location, Spanned};

use super::{FromYaml, Node, ReadContext, Value, duplicate_key, read_value};
use crate::coordination::check::{Fault, nearest};

/// Reads the keys of a mapping.
///
/// Each key that is asked for becomes a known key; [`Fields::finish`] reports the others.
#[derive(Debug)]
pub struct Fields<'r, 'a, 'v> {
    context: &'r mut ReadContext<'a>,
    items: &'v [(Spanned<String>, Value)],
    path: String,
    start: Location,
    known: Vec<&'static str>,
}

impl<'r, 'a, 'v> Fields<'r, 'a, 'v> {
    /// Creates a reader of the keys of `value`; `None` after reporting that it is no mapping.
    pub fn new(context: &'r mut ReadContext<'a>, value: &'v Value, path: &str) -> Option<Self> {
        let Node::Map(items) = &value.value else {
            context.wrong_type(value, "a mapping");
            return None;
        };
        let start = items
            .first()
            .map_or(value.referenced, |(k, _)| k.referenced);
        let site = context.site(start);
        context.spans.insert(path, site.range);
        Some(Self {
            context,
            items,
            path: path.to_owned(),
            start,
            known: vec![],
        })
    }

    /// The value of a key, if present.
    pub fn value(&mut self, key: &'static str) -> Option<&'v Value> {
        self.known.push(key);
        let found = self.items.iter().find(|(k, _)| k.value == key);
        found.map(|(_, value)| value)
    }

    /// Reads a required key; `None` after a fault was reported.
    pub fn required<T: FromYaml>(&mut self, key: &'static str) -> Option<T> {
        let Some(value) = self.value(key) else {
            self.missing(key);
            return None;
        };
        self.read(key, value)
    }

    /// Reads a key that may be absent or empty; `None` only after a fault was reported.
    pub fn optional<T: FromYaml>(&mut self, key: &'static str) -> Option<Option<T>> {
        match self.value(key) {
            None => Some(None),
            Some(value) if value.value == Node::Null => Some(None),
            Some(value) => self.read(key, value).map(Some),
        }
    }

    /// Reads a key that has a default; `None` only after a fault was reported.
    pub fn with_default<T: FromYaml>(&mut self, key: &'static str, default: T) -> Option<T> {
        match self.value(key) {
            None => Some(default),
            Some(value) => self.read(key, value),
        }
    }

    /// Reports a required key as missing.
    pub fn missing(&mut self, key: &'static str) {
        let site = self.context.site(self.start);
        let message = format!("key {key:?} is missing");
        let fault = Fault::new("missing-key", site, message, "missing");
        self.context.faults.push(fault);
    }

    fn read<T: FromYaml>(&mut self, key: &'static str, value: &Value) -> Option<T> {
        let path = match self.path.as_str() {
            "" => key.to_owned(),
            path => format!("{path}/{key}"),
        };
        read_value(self.context, value, &path)
    }

    /// The state shared by all values of the document.
    pub fn context(&mut self) -> &mut ReadContext<'a> {
        self.context
    }

    /// Reports unknown and repeated keys.
    pub fn finish(self) {
        for (n, (key, _)) in self.items.iter().enumerate() {
            let site = self.context.site(key.referenced);
            let known = self.known.contains(&key.value.as_str());
            if !known {
                let near = nearest(&key.value, self.known.iter().copied());
                let help = near.map_or_else(
                    || format!("known keys: {}", self.known.join(", ")),
                    |near| format!("did you mean {near}?"),
                );
                let message = format!("key {:?} is not known here", key.value);
                let fault = Fault::new("unknown-key", site, message, "unknown key");
                self.context.faults.push(fault.help(help));
            } else if self.items[..n].iter().any(|(k, _)| k.value == key.value) {
                self.context.faults.push(duplicate_key(&key.value, site));
            }
        }
    }
}
