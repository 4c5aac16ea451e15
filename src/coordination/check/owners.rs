//! Owners of folders and of the objects in them.

use std::collections::BTreeMap;

use super::{Entry, Fault, Index, OWNER_FILE, Site, fault::Findings};
use crate::state::{id::OwnerName, object::Object};

pub(super) fn check(index: &Index<'_>, found: &mut Findings) {
    if index.set.files.is_empty() {
        return;
    }
    let owners = owners(index, found);
    folders(index, &owners, found);
    for entry in &index.set.entries {
        owned(index, &owners, entry, found);
    }
}

type Owners<'a> = BTreeMap<&'a str, (&'a Entry, &'a OwnerName)>;

fn owners<'a>(index: &Index<'a>, found: &mut Findings) -> Owners<'a> {
    let mut owners = Owners::new();
    for entry in &index.set.entries {
        let file = &index.set.files[entry.file];
        match (&entry.object, file.names_owner()) {
            (Object::Owner(owner), true) => {
                let Some((first, _)) = owners.get(file.folder()) else {
                    owners.insert(file.folder(), (entry, &owner.name));
                    continue;
                };
                let message = format!("{OWNER_FILE} names two owners");
                let fault = Fault::new("second-owner", entry.site("name"), message, "second one");
                found.push(fault.related(first.site("name"), "first one"));
            }
            (Object::Owner(owner), false) => {
                let message = format!("owner {} is declared outside {OWNER_FILE}", owner.name);
                let fault = Fault::new("stray-owner", entry.site("kind"), message, "an owner");
                found.push(fault.help(format!("move it to the {OWNER_FILE} of its folder")));
            }
            (object, true) => {
                let (word, name) = (object.kind().noun(), object.name());
                let message = format!("{OWNER_FILE} declares {word} {name}");
                let fault = Fault::new("stray-object", entry.site("kind"), message, "not an owner");
                found.push(fault.help("move it to another file of the folder"));
            }
            _ => {}
        }
    }
    owners
}

fn folders(index: &Index<'_>, owners: &Owners<'_>, found: &mut Findings) {
    let mut last = None;
    for (position, file) in index.set.files.iter().enumerate() {
        let folder = file.folder();
        let known = index
            .set
            .files
            .iter()
            .any(|f| f.folder() == folder && f.names_owner());
        if owners.contains_key(folder) || last == Some(folder) || known {
            continue;
        }
        last = Some(folder);
        let site = Site {
            file: position,
            range: 0..0,
        };
        let shown = if folder.is_empty() { "." } else { folder };
        let message = format!("folder {shown} has no {OWNER_FILE}");
        let fault = Fault::new("no-owner", site, message, "objects without an owner");
        found.push(fault.help(format!("add {shown}/{OWNER_FILE} with one Owner object")));
    }
}

fn owned(index: &Index<'_>, owners: &Owners<'_>, entry: &Entry, found: &mut Findings) {
    let folder = index.set.files[entry.file].folder();
    let Some((first, owner)) = owners.get(folder) else {
        return;
    };
    let stated = entry.object.owner();
    if stated == *owner || matches!(entry.object, Object::Owner(_)) {
        return;
    }
    let (word, name) = (entry.object.kind().noun(), entry.object.name());
    let message = format!("{word} {name} of {stated} lies in a folder of {owner}");
    let fault = Fault::new(
        "foreign-owner",
        entry.site("owner"),
        message,
        format!("this folder belongs to {owner}"),
    );
    found.push(fault.related(first.site("name"), "owner of the folder"));
}
