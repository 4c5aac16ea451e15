//! The owner of an object and the references from and to it.

use std::fmt::Write;

use super::Tree;
use crate::{
    commands::{Error, Result, report},
    coordination::check::{Entry, nearest},
    state::object::{Kind, Object},
};

/// Describes the objects of a name: position in the files, owner, references from and to them.
///
/// # Errors
/// No object has the name.
pub fn explain(tree: &Tree, name: &str) -> Result<String> {
    let entries = &tree.set.entries;
    let mut out = String::new();
    for entry in entries.iter().filter(|e| e.object.name() == name) {
        describe(tree, entry, &mut out);
    }
    if out.is_empty() {
        let known = entries.iter().map(|e| e.object.name());
        return Err(Error::Name {
            name: name.to_owned(),
            help: nearest(name, known).map(|n| format!("did you mean {n}?")),
        });
    }
    Ok(out)
}

fn push_line(out: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a string does not fail.
    let _ = writeln!(out, "{text}");
}

/// Appends the description of one object.
fn describe(tree: &Tree, entry: &Entry, out: &mut String) {
    let object = &entry.object;
    let place = report::place(&tree.sources, &entry.site("name"));
    push_line(
        out,
        format_args!("{} {} ({place})", object.kind().noun(), object.name()),
    );
    let owner = object.owner();
    let contact = tree.set.entries.iter().find_map(|e| match &e.object {
        Object::Owner(o) if o.name == *owner => Some(o.contact.as_str()),
        _ => None,
    });
    let contact = contact.unwrap_or("not declared");
    push_line(out, format_args!("  owner: {owner} ({contact})"));
    for (key, kind, name) in references(object) {
        push_line(out, format_args!("  {key}: {} {name}", kind.noun()));
    }
    let mut referrers = vec![];
    for other in &tree.set.entries {
        for (key, kind, name) in references(&other.object) {
            if kind == object.kind() && name == object.name() {
                referrers.push((other, key));
            }
        }
    }
    if object.kind() == Kind::Owner {
        let owned = tree
            .set
            .entries
            .iter()
            .filter(|e| e.object.owner() == owner);
        referrers.extend(
            owned
                .filter(|e| *e != entry)
                .map(|e| (e, "owner".to_owned())),
        );
    }
    if referrers.is_empty() {
        push_line(out, format_args!("  no object refers to it"));
        return;
    }
    push_line(out, format_args!("  referred to by:"));
    for (other, key) in referrers {
        let (noun, name, owner) = (
            other.object.kind().noun(),
            other.object.name(),
            other.object.owner(),
        );
        let place = report::place(&tree.sources, &other.site("name"));
        push_line(
            out,
            format_args!("    {noun} {name} of {owner}, as {key} ({place})"),
        );
    }
}

/// The references from an object: the key, and the kind and name of the object referred to.
fn references(object: &Object) -> Vec<(String, Kind, &str)> {
    let key = |key: &str| key.to_owned();
    match object {
        Object::Owner(_) | Object::Deployment(_) | Object::Service(_) | Object::Class(_) => vec![],
        Object::Upstream(o) => vec![(key("service"), Kind::Service, o.service.as_str())],
        Object::Limit(o) => vec![
            (key("service"), Kind::Service, o.service.as_str()),
            (key("class"), Kind::Class, o.class.as_str()),
        ],
        Object::Chain(o) => {
            let mut all = vec![
                (key("class"), Kind::Class, o.class.as_str()),
                (key("entry"), Kind::Service, o.entry.as_str()),
            ];
            for (caller, called) in &o.calls {
                for name in called {
                    all.push((format!("called by {caller}"), Kind::Service, name.as_str()));
                }
            }
            all
        }
    }
}
