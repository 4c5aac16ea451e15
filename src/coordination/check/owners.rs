//! Owners of folders, and of the objects in them.

use std::collections::BTreeMap;

use super::{Entry, Fault, Index, OWNER_FILE, Site, fault::Findings};
use crate::state::{id::OwnerName, object::Object};

pub(super) fn check(index: &Index<'_>, findings: &mut Findings) {
    if index.set.files.is_empty() {
        return;
    }
    let owners = folder_owners(index, findings);
    check_folders(index, &owners, findings);
    for entry in &index.set.entries {
        check_owner(index, &owners, entry, findings);
    }
}

/// The owner of each folder, with the entry that declares it.
type Owners<'a> = BTreeMap<&'a str, (&'a Entry, &'a OwnerName)>;

fn folder_owners<'a>(index: &Index<'a>, findings: &mut Findings) -> Owners<'a> {
    let mut owners = Owners::new();
    for entry in &index.set.entries {
        let file = &index.set.files[entry.file];
        match (&entry.object, file.is_owner_file()) {
            (Object::Owner(owner), true) => {
                let Some((first, _)) = owners.get(file.folder()) else {
                    owners.insert(file.folder(), (entry, &owner.name));
                    continue;
                };
                let message = format!("{OWNER_FILE} names two owners");
                let fault = Fault::new("second-owner", entry.site("name"), message, "second one");
                findings.push(fault.related(first.site("name"), "first one"));
            }
            (Object::Owner(owner), false) => {
                let message = format!("owner {} is declared outside {OWNER_FILE}", owner.name);
                let fault = Fault::new("stray-owner", entry.site("kind"), message, "an owner");
                findings.push(fault.help(format!("move it to the {OWNER_FILE} of its folder")));
            }
            (object, true) => {
                let (noun, name) = (object.kind().noun(), object.name());
                let message = format!("{OWNER_FILE} declares {noun} {name}");
                let fault = Fault::new("stray-object", entry.site("kind"), message, "not an owner");
                findings.push(fault.help("move it to another file of the folder"));
            }
            _ => {}
        }
    }
    owners
}

fn check_folders(index: &Index<'_>, owners: &Owners<'_>, findings: &mut Findings) {
    let mut previous = None;
    for (position, file) in index.set.files.iter().enumerate() {
        let folder = file.folder();
        let has_file = index
            .set
            .files
            .iter()
            .any(|f| f.folder() == folder && f.is_owner_file());
        if owners.contains_key(folder) || previous == Some(folder) || has_file {
            continue;
        }
        previous = Some(folder);
        let site = Site {
            file: position,
            range: 0..0,
        };
        let shown = if folder.is_empty() { "." } else { folder };
        let message = format!("folder {shown} has no {OWNER_FILE}");
        let fault = Fault::new("no-owner", site, message, "objects without an owner");
        findings.push(fault.help(format!("add {shown}/{OWNER_FILE} with one Owner object")));
    }
}

fn check_owner(index: &Index<'_>, owners: &Owners<'_>, entry: &Entry, findings: &mut Findings) {
    let folder = index.set.files[entry.file].folder();
    let Some((owner_entry, owner)) = owners.get(folder) else {
        return;
    };
    let declared = entry.object.owner();
    if declared == *owner || matches!(entry.object, Object::Owner(_)) {
        return;
    }
    let (noun, name) = (entry.object.kind().noun(), entry.object.name());
    let message = format!("{noun} {name} of {declared} lies in a folder of {owner}");
    let fault = Fault::new(
        "foreign-owner",
        entry.site("owner"),
        message,
        format!("this folder belongs to {owner}"),
    );
    findings.push(fault.related(owner_entry.site("name"), "owner of the folder"));
}
