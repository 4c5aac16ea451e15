//! Validation of a set of objects as a whole.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
};

use crate::state::object::{Kind, Object};

mod addresses;
mod chains;
mod compose;
mod fault;
mod harm;
mod index;
mod names;
mod owners;
mod paths;
mod ranges;
mod references;

pub use compose::{PART_MAX_BYTES, compose};
pub use fault::{Fault, Severity, Site, nearest};
pub use harm::hop_ms;
pub use index::Index;

use fault::Findings;

/// Most services on one chain, the entry included.
pub const DEPTH_MAX: usize = 7;

/// Name of the file that names a folder's owner.
pub const OWNER_FILE: &str = "owner.yaml";

/// A file that objects were read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceFile {
    /// Path below the root of the tree, with `/` between the parts.
    pub path: String,
}

impl SourceFile {
    /// The folder that the file lies in; empty for the root of the tree.
    pub fn folder(&self) -> &str {
        self.path.rsplit_once('/').map_or("", |(folder, _)| folder)
    }

    /// Whether the file names the owner of its folder.
    pub fn names_owner(&self) -> bool {
        self.path.rsplit('/').next() == Some(OWNER_FILE)
    }
}

/// Byte ranges of the values of one object in its file, by path such as `zones/0/name`.
///
/// The path of a key is that of its value followed by `#`; the empty path is the object itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Spans(BTreeMap<String, Range<usize>>);

impl Spans {
    /// Records where a value lies.
    pub fn insert(&mut self, path: impl Into<String>, range: Range<usize>) {
        self.0.insert(path.into(), range);
    }

    /// Where a value lies, or the closest value around it that is recorded.
    pub fn get(&self, path: &str) -> Range<usize> {
        let mut path = path;
        loop {
            if let Some(range) = self.0.get(path) {
                return range.clone();
            }
            if path.is_empty() {
                return 0..0;
            }
            path = path.rsplit_once('/').map_or("", |(parent, _)| parent);
        }
    }
}

/// An object and where it was read from.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Position in [`ObjectSet::files`].
    pub file: usize,
    /// The object.
    pub object: Object,
    /// Where its values lie.
    pub spans: Spans,
}

/// All objects of a tree.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ObjectSet {
    /// The files read, by path.
    pub files: Vec<SourceFile>,
    /// The objects read.
    pub entries: Vec<Entry>,
    /// Objects that are declared but could not be read, so that references to them are not
    /// reported as dangling.
    pub unreadable: BTreeSet<(Kind, String)>,
    /// Whether a file could not be parsed. What it declares is unknown, so rules about missing
    /// objects are not applied.
    pub partial: bool,
}

impl ObjectSet {
    /// A set of objects that were not read from files.
    ///
    /// ```
    /// use comfreybay::coordination::check::{ObjectSet, check};
    /// let faults = check(&ObjectSet::of([]));
    /// assert_eq!(faults[0].code, "no-deployment");
    /// ```
    pub fn of(objects: impl IntoIterator<Item = Object>) -> Self {
        let entry = |object| Entry {
            file: 0,
            object,
            spans: Spans::default(),
        };
        Self {
            entries: objects.into_iter().map(entry).collect(),
            ..Self::default()
        }
    }
}

/// Checks a set of objects; gives all faults and warnings, by file and position.
pub fn check(set: &ObjectSet) -> Vec<Fault> {
    let index = Index::new(set);
    let mut found = Findings::default();
    owners::check(&index, &mut found);
    names::check(&index, &mut found);
    references::check(&index, &mut found);
    ranges::check(&index, &mut found);
    addresses::check(&index, &mut found);
    chains::check(&index, &mut found);
    paths::check(&index, &mut found);
    compose::check(&index, &mut found);
    harm::check(&index, &mut found);
    found.sorted()
}
