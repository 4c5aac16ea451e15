//! Reads YAML documents with the location of every value, and reports all faults.

use std::{collections::BTreeMap, fmt, net::SocketAddr, ops::Range, str::FromStr};

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::{DuplicateKeyPolicy, Location, Spanned};

use crate::{
    coordination::check::{Fault, Site, Spans, nearest},
    state::id::{
        ChainName, ClassName, DeploymentName, LimitName, OwnerName, RegionName, ServiceName,
        UpstreamName, ZoneName,
    },
};

mod fields;

pub use fields::Fields;

/// Enough for 26,000 upstreams in one file; the parser's default limit is 1,024 documents.
const DOCUMENTS_MAX: usize = 100_000;
/// About 20 values for each object.
const VALUES_MAX: usize = 2_000_000;
const PARSER_EVENTS_MAX: usize = 8_000_000;

/// A value whose type was inferred from its text.
#[derive(Debug, Clone, PartialEq)]
pub enum Node {
    /// No value.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A whole number.
    Int(i128),
    /// A number with a fraction or outside of 64 bits.
    Float,
    /// Text.
    Text(String),
    /// A list.
    List(Vec<Value>),
    /// A mapping, in which a key may occur more than once.
    Map(Vec<(Spanned<String>, Value)>),
}

/// A value with its location.
pub type Value = Spanned<Node>;

impl Node {
    fn type_name(&self) -> &'static str {
        match self {
            Self::Null => "nothing",
            Self::Bool(_) => "true or false",
            Self::Int(_) => "a whole number",
            Self::Float => "a number",
            Self::Text(_) => "text",
            Self::List(_) => "a list",
            Self::Map(_) => "a mapping",
        }
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Int(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Int(value.into()))
    }

    fn visit_f64<E>(self, _: f64) -> Result<Node, E> {
        Ok(Node::Float)
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Text(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Node, A::Error> {
        let mut list = vec![];
        while let Some(item) = items.next_element()? {
            list.push(item);
        }
        Ok(Node::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut items: A) -> Result<Node, A::Error> {
        let mut map = vec![];
        while let Some(item) = items.next_entry()? {
            map.push(item);
        }
        Ok(Node::Map(map))
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(NodeVisitor)
    }
}

/// Parses all documents of a file.
///
/// # Errors
/// The bytes are not UTF-8 or not YAML.
pub fn parse(file: usize, bytes: &[u8]) -> Result<Vec<Value>, Box<Fault>> {
    let text = std::str::from_utf8(bytes).map_err(|e| {
        let start = e.valid_up_to();
        let site = Site {
            file,
            range: start..start + 1,
        };
        Fault::new(
            "not-utf8",
            site,
            "file is not UTF-8 text",
            "first invalid byte",
        )
    })?;
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_documents: DOCUMENTS_MAX,
            max_nodes: VALUES_MAX,
            max_events: PARSER_EVENTS_MAX,
        },
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        with_snippet: false,
    };
    serde_saphyr::from_multiple_with_options(text, options).map_err(|e| {
        let location = e.location().unwrap_or(Location::UNKNOWN);
        let site = Site {
            file,
            range: byte_range(text, location),
        };
        let message = format!("could not parse YAML: {}", without_location(&e.to_string()));
        Box::new(Fault::new("syntax", site, message, "here"))
    })
}

/// Strips the location from the end of a parser message, as reports show the location separately.
fn without_location(message: &str) -> &str {
    message
        .rsplit_once(" at line ")
        .map_or(message, |(text, _)| text)
}

/// The byte range of a location; for syntax errors the parser gives only character offsets.
fn byte_range(text: &str, location: Location) -> Range<usize> {
    let span = location.span();
    if let (Some(start), Some(len)) = (span.byte_offset(), span.byte_len()) {
        return start as usize..(start + len) as usize;
    }
    let byte = |chars: u64| {
        let mut starts = text.char_indices().map(|(at, _)| at);
        starts.nth(chars as usize).unwrap_or(text.len())
    };
    byte(span.offset())..byte(span.offset() + span.len())
}

/// State shared by all values of a document while it is read.
#[derive(Debug)]
pub struct ReadContext<'a> {
    file: usize,
    text: &'a str,
    /// Byte ranges of the values read so far.
    pub spans: Spans,
    /// Faults found so far.
    pub faults: &'a mut Vec<Fault>,
}

impl<'a> ReadContext<'a> {
    /// Creates the state for a document in the file with index `file`.
    pub fn new(file: usize, text: &'a str, faults: &'a mut Vec<Fault>) -> Self {
        Self {
            file,
            text,
            spans: Spans::default(),
            faults,
        }
    }

    /// Converts a location of the parser to a site.
    pub fn site(&self, location: Location) -> Site {
        Site {
            file: self.file,
            range: byte_range(self.text, location),
        }
    }

    /// Reports a fault at a byte range of the document's file.
    pub fn fault(
        &mut self,
        code: &'static str,
        range: Range<usize>,
        message: impl Into<String>,
        label: impl Into<String>,
    ) {
        let site = Site {
            file: self.file,
            range,
        };
        self.faults.push(Fault::new(code, site, message, label));
    }

    fn wrong_type(&mut self, value: &Value, expected: &str) {
        let message = format!("expected {expected}, found {}", value.value.type_name());
        let site = self.site(value.referenced);
        let label = format!("expected {expected}");
        self.faults
            .push(Fault::new("wrong-type", site, message, label));
    }

    /// The text of a scalar as written in the file, so that a name such as `12` can be read.
    fn scalar_text<'v>(&self, value: &'v Value) -> Option<std::borrow::Cow<'v, str>> {
        match &value.value {
            Node::Text(text) => Some(text.as_str().into()),
            Node::Bool(_) | Node::Int(_) | Node::Float => {
                let text = self.text.get(byte_range(self.text, value.defined))?;
                Some(text.to_owned().into())
            }
            _ => None,
        }
    }

    /// Parses a scalar; reports a fault when it is not `expected`.
    fn parse_scalar<T: FromStr<Err: fmt::Display>>(
        &mut self,
        value: &Value,
        expected: &str,
    ) -> Option<T> {
        let Some(text) = self.scalar_text(value) else {
            self.wrong_type(value, expected);
            return None;
        };
        let error = match text.parse() {
            Ok(parsed) => return Some(parsed),
            Err(error) => error,
        };
        let site = self.site(value.referenced);
        let message = error.to_string();
        let label = format!("expected {expected}");
        self.faults
            .push(Fault::new("invalid-value", site, message, label));
        None
    }

    /// Reads one of a fixed set of words; reports a fault when it is none of them.
    pub fn choice<T: Copy>(&mut self, value: &Value, choices: &[(&str, T)]) -> Option<T> {
        let words: Vec<_> = choices.iter().map(|(word, _)| *word).collect();
        let expected = words.join(", ");
        let Some(text) = self.scalar_text(value) else {
            self.wrong_type(value, &format!("one of {expected}"));
            return None;
        };
        if let Some((_, choice)) = choices.iter().find(|(word, _)| *word == text) {
            return Some(*choice);
        }
        let site = self.site(value.referenced);
        let message = format!("{:?} is not known here", text.as_ref());
        let label = format!("expected one of {expected}");
        let near = nearest(&text, words).map(|w| format!("did you mean {w}?"));
        let fault = Fault::new("invalid-value", site, message, label);
        self.faults.push(fault.maybe_help(near));
        None
    }
}

/// A type that can be read from a YAML value.
pub trait FromYaml: Sized {
    /// Reads the value at `path`; `None` after a fault was reported.
    fn from_yaml(context: &mut ReadContext<'_>, value: &Value, path: &str) -> Option<Self>;
}

macro_rules! read_text {
    ($($type:ty, $expected:literal;)+) => {
        $(impl FromYaml for $type {
            fn from_yaml(context: &mut ReadContext<'_>, value: &Value, _: &str) -> Option<Self> {
                context.parse_scalar(value, $expected)
            }
        })+
    };
}

read_text! {
    String, "text";
    ServiceName, "a service name";
    UpstreamName, "an upstream name";
    ClassName, "a class name";
    ChainName, "a chain name";
    LimitName, "a limit name";
    ZoneName, "an availability zone";
    RegionName, "a region";
    OwnerName, "an owner name";
    DeploymentName, "a deployment name";
    SocketAddr, "an IP address and port";
}

macro_rules! read_number {
    ($($type:ty),+) => {
        $(impl FromYaml for $type {
            fn from_yaml(context: &mut ReadContext<'_>, value: &Value, _: &str) -> Option<Self> {
                let Node::Int(number) = value.value else {
                    context.wrong_type(value, "a whole number");
                    return None;
                };
                let read = Self::try_from(number).ok();
                if read.is_none() {
                    let site = context.site(value.referenced);
                    let message = format!("{number} is out of range");
                    let label = format!("expected 0 to {}", Self::MAX);
                    context.faults.push(Fault::new("out-of-range", site, message, label));
                }
                read
            }
        })+
    };
}

read_number!(u8, u32, u64);

impl FromYaml for bool {
    fn from_yaml(context: &mut ReadContext<'_>, value: &Value, _: &str) -> Option<Self> {
        let Node::Bool(flag) = value.value else {
            context.wrong_type(value, "true or false");
            return None;
        };
        Some(flag)
    }
}

impl<T: FromYaml> FromYaml for Vec<T> {
    fn from_yaml(context: &mut ReadContext<'_>, value: &Value, path: &str) -> Option<Self> {
        let Node::List(items) = &value.value else {
            context.wrong_type(value, "a list");
            return None;
        };
        let mut list = Some(vec![]);
        for (n, item) in items.iter().enumerate() {
            let path = format!("{path}/{n}");
            let read = read_value(context, item, &path);
            list = list.zip(read).map(|(mut list, read)| {
                list.push(read);
                list
            });
        }
        list
    }
}

impl<T: FromYaml> FromYaml for BTreeMap<ServiceName, T> {
    fn from_yaml(context: &mut ReadContext<'_>, value: &Value, path: &str) -> Option<Self> {
        let Node::Map(items) = &value.value else {
            context.wrong_type(value, "a mapping");
            return None;
        };
        let mut map = Some(Self::new());
        for (key, item) in items {
            let as_value = Spanned::new(Node::Text(key.value.clone()), key.referenced, key.defined);
            let name: Option<ServiceName> = context.parse_scalar(&as_value, "a service name");
            let path = format!("{path}/{}", key.value);
            let site = context.site(key.referenced);
            context.spans.insert(format!("{path}#"), site.range.clone());
            let read = read_value(context, item, &path);
            let Some((name, read)) = name.zip(read) else {
                map = None;
                continue;
            };
            let is_duplicate = map.as_mut().is_some_and(|m| m.insert(name, read).is_some());
            if is_duplicate {
                context.faults.push(duplicate_key(&key.value, site));
            }
        }
        map
    }
}

/// Reads a value and records its byte range under `path`.
fn read_value<T: FromYaml>(context: &mut ReadContext<'_>, value: &Value, path: &str) -> Option<T> {
    let site = context.site(value.referenced);
    context.spans.insert(path, site.range);
    T::from_yaml(context, value, path)
}

fn duplicate_key(key: &str, site: Site) -> Fault {
    Fault::new(
        "duplicate-key",
        site,
        format!("key {key:?} appears twice"),
        "second time",
    )
}
