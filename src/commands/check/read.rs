//! Reads objects from YAML files.

use std::{collections::BTreeSet, fs, io, path::Path};

use crate::{
    commands::{
        report::Source,
        yaml::{self, Fields, FromYaml, Node, ReadContext, Value},
    },
    coordination::check::{Entry, Fault, ObjectSet, SourceFile},
    state::object::{
        Chain, Class, Control, Deployment, Favour, Kind, Limit, Object, Owner, Service, Upstream,
        Zone, default_repeatable, default_retries, default_shed_header,
    },
};

/// Deeper nesting of folders is an error, which also stops at cycles of symbolic links.
const FOLDER_MAX_DEPTH: usize = 16;

/// The objects of a tree, their files, and the faults found so far.
#[derive(Debug, Default)]
pub struct Tree {
    /// The objects.
    pub set: ObjectSet,
    /// The files that the objects were read from.
    pub sources: Vec<Source>,
    /// Faults in single objects; the checks of the whole tree add theirs.
    pub faults: Vec<Fault>,
}

impl Tree {
    /// Reads all files `*.yaml` and `*.yml` below `root`, in order of their paths.
    ///
    /// # Errors
    /// A folder or file cannot be read.
    pub fn read(root: &Path) -> io::Result<Self> {
        let mut paths = vec![];
        collect(root, "", 0, &mut paths)?;
        paths.sort();
        let mut tree = Self::default();
        for path in paths {
            let bytes = fs::read(root.join(&path))?;
            let display_path = root.join(&path).display().to_string();
            tree.add(path, display_path, &bytes);
        }
        Ok(tree)
    }

    /// Adds the objects of one file; `path` is relative to the root, `display_path` is for reports.
    pub fn add(&mut self, path: String, display_path: String, bytes: &[u8]) {
        let file = self.set.files.len();
        self.set.files.push(SourceFile { path });
        self.sources.push(Source::new(display_path, bytes));
        let documents = match yaml::parse(file, bytes) {
            Ok(documents) => documents,
            Err(fault) => {
                self.faults.push(*fault);
                self.set.partial = true;
                return;
            }
        };
        for document in documents.iter().filter(|d| d.value != Node::Null) {
            let text = std::str::from_utf8(bytes).unwrap_or_default();
            let mut context = ReadContext::new(file, text, &mut self.faults);
            let object = object(&mut context, document);
            let spans = context.spans;
            match object {
                Some(object) => self.set.entries.push(Entry {
                    file,
                    object,
                    spans,
                }),
                None => record_unreadable(document, &mut self.set.unreadable),
            }
        }
    }
}

/// Collects the paths of all YAML files in `folder`, which is relative to `root`.
fn collect(root: &Path, folder: &str, depth: usize, paths: &mut Vec<String>) -> io::Result<()> {
    if depth > FOLDER_MAX_DEPTH {
        let message = format!("folder {folder} is nested more than {FOLDER_MAX_DEPTH} deep");
        return Err(io::Error::other(message));
    }
    for entry in fs::read_dir(root.join(folder))? {
        let name = entry?.file_name().to_string_lossy().into_owned();
        let path = match folder {
            "" => name.clone(),
            folder => format!("{folder}/{name}"),
        };
        if name.starts_with('.') {
            continue;
        }
        if root.join(&path).is_dir() {
            collect(root, &path, depth + 1, paths)?;
        } else if name.ends_with(".yaml") || name.ends_with(".yml") {
            paths.push(path);
        }
    }
    Ok(())
}

/// Records kind and name of an object that could not be read, so that references to it are not
/// reported as dangling.
fn record_unreadable(document: &Value, unreadable: &mut BTreeSet<(Kind, String)>) {
    let Node::Map(items) = &document.value else {
        return;
    };
    let text = |key: &str| {
        let (_, value) = items.iter().find(|(k, _)| k.value == key)?;
        match &value.value {
            Node::Text(text) => Some(text.as_str()),
            _ => None,
        }
    };
    let kind = text("kind").and_then(|t| Kind::ALL.into_iter().find(|k| k.as_str() == t));
    if let Some(kind) = kind {
        unreadable.insert((kind, text("name").unwrap_or_default().to_owned()));
    }
}

fn object(context: &mut ReadContext<'_>, document: &Value) -> Option<Object> {
    let mut fields = Fields::new(context, document, "")?;
    let Some(value) = fields.value("kind") else {
        fields.missing("kind");
        return None;
    };
    let kinds = Kind::ALL.map(|k| (k.as_str(), k));
    let context = fields.context();
    let site = context.site(value.referenced);
    context.spans.insert("kind", site.range);
    let object = match context.choice(value, &kinds)? {
        Kind::Owner => owner(&mut fields).map(Object::Owner),
        Kind::Deployment => deployment(&mut fields).map(Object::Deployment),
        Kind::Service => service(&mut fields).map(Object::Service),
        Kind::Upstream => upstream(&mut fields).map(Object::Upstream),
        Kind::Class => class(&mut fields).map(Object::Class),
        Kind::Chain => chain(&mut fields).map(Object::Chain),
        Kind::Limit => limit(&mut fields).map(Object::Limit),
    };
    fields.finish();
    object
}

// Each function reads all keys before returning, even after a fault, so that all faults are
// reported.

fn owner(f: &mut Fields<'_, '_, '_>) -> Option<Owner> {
    let (name, contact) = (f.required("name"), f.required("contact"));
    Some(Owner {
        name: name?,
        contact: contact?,
    })
}

fn deployment(f: &mut Fields<'_, '_, '_>) -> Option<Deployment> {
    let (name, owner, favour) = (
        f.required("name"),
        f.required("owner"),
        f.required("favour"),
    );
    let (control, zones) = (
        f.with_default("control", Control::default()),
        f.required("zones"),
    );
    Some(Deployment {
        name: name?,
        owner: owner?,
        favour: favour?,
        control: control?,
        zones: zones?,
    })
}

fn service(f: &mut Fields<'_, '_, '_>) -> Option<Service> {
    let (name, owner) = (f.required("name"), f.required("owner"));
    let shed_header = f.with_default("shed_header", default_shed_header());
    Some(Service {
        name: name?,
        owner: owner?,
        shed_header: shed_header?,
    })
}

fn upstream(f: &mut Fields<'_, '_, '_>) -> Option<Upstream> {
    let (name, owner, service) = (
        f.required("name"),
        f.required("owner"),
        f.required("service"),
    );
    let (zone, public, peer) = (f.required("zone"), f.required("public"), f.required("peer"));
    let (control, slots) = (f.required("control"), f.required("slots"));
    let connections = f.required("connections");
    Some(Upstream {
        name: name?,
        owner: owner?,
        service: service?,
        zone: zone?,
        public: public?,
        peer: peer?,
        control: control?,
        slots: slots?,
        connections: connections?,
    })
}

fn class(f: &mut Fields<'_, '_, '_>) -> Option<Class> {
    let (name, owner) = (f.required("name"), f.required("owner"));
    let (importance, important) = (f.required("importance"), f.with_default("important", false));
    let (repeatable, deadline_ms) = (
        f.with_default("repeatable", default_repeatable()),
        f.required("deadline_ms"),
    );
    let retries = f.with_default("retries", default_retries());
    Some(Class {
        name: name?,
        owner: owner?,
        importance: importance?,
        important: important?,
        repeatable: repeatable?,
        deadline_ms: deadline_ms?,
        retries: retries?,
    })
}

fn chain(f: &mut Fields<'_, '_, '_>) -> Option<Chain> {
    let (name, owner, class) = (f.required("name"), f.required("owner"), f.required("class"));
    let (entry, method, path) = (
        f.required("entry"),
        f.required("method"),
        f.required("path"),
    );
    let calls = f.optional("calls");
    Some(Chain {
        name: name?,
        owner: owner?,
        class: class?,
        entry: entry?,
        method: method?,
        path: path?,
        calls: calls?.unwrap_or_default(),
    })
}

fn limit(f: &mut Fields<'_, '_, '_>) -> Option<Limit> {
    let (name, owner, service) = (
        f.required("name"),
        f.required("owner"),
        f.required("service"),
    );
    let (class, in_flight) = (f.required("class"), f.required("in_flight"));
    Some(Limit {
        name: name?,
        owner: owner?,
        service: service?,
        class: class?,
        in_flight: in_flight?,
    })
}

impl FromYaml for Zone {
    fn from_yaml(context: &mut ReadContext<'_>, value: &Value, path: &str) -> Option<Self> {
        let mut f = Fields::new(context, value, path)?;
        let (name, region) = (f.required("name"), f.required("region"));
        f.finish();
        Some(Self {
            name: name?,
            region: region?,
        })
    }
}

impl FromYaml for Favour {
    fn from_yaml(context: &mut ReadContext<'_>, value: &Value, _: &str) -> Option<Self> {
        let choices = [("goodput", Self::Goodput), ("recovery", Self::Recovery)];
        context.choice(value, &choices)
    }
}

impl FromYaml for Control {
    fn from_yaml(context: &mut ReadContext<'_>, value: &Value, _: &str) -> Option<Self> {
        let choices = [
            ("adaptive", Self::Adaptive),
            ("ranked", Self::Ranked),
            ("fixed", Self::Fixed),
            ("off", Self::Off),
        ];
        context.choice(value, &choices)
    }
}
