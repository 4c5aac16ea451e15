//! Validation of all objects of a configuration tree together.

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
pub use harm::hop_min_ms;
pub use index::Index;

use fault::Findings;

/// Maximum number of services on one path through a chain, including the entry.
pub const DEPTH_MAX: usize = 7;

/// Name of the file that declares the owner of its folder.
pub const OWNER_FILE: &str = "owner.yaml";

/// A file that objects were read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceFile {
    /// Path relative to the root of the tree, with `/` as the separator.
    pub path: String,
}

impl SourceFile {
    /// The folder that contains the file; empty for the root of the tree.
    pub fn folder(&self) -> &str {
        self.path.rsplit_once('/').map_or("", |(folder, _)| folder)
    }

    /// Whether this file has to declare the owner of its folder.
    pub fn is_owner_file(&self) -> bool {
        self.path.rsplit('/').next() == Some(OWNER_FILE)
    }
}

/// Byte ranges of the values of one object in its file, by path such as `zones/0/name`.
///
/// The path of a key is that of its value followed by `#`; the empty path is the object itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Spans(BTreeMap<String, Range<usize>>);

impl Spans {
    /// Records the byte range of a value.
    pub fn insert(&mut self, path: impl Into<String>, range: Range<usize>) {
        self.0.insert(path.into(), range);
    }

    /// The byte range of a value, or of the innermost recorded value around it; `0..0` if none is.
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
    /// Index into [`ObjectSet::files`].
    pub file: usize,
    /// The object.
    pub object: Object,
    /// Byte ranges of its values.
    pub spans: Spans,
}

/// All objects of a tree.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ObjectSet {
    /// The files read, sorted by path.
    pub files: Vec<SourceFile>,
    /// The objects read.
    pub entries: Vec<Entry>,
    /// Kind and name of objects that are declared but could not be read, so that references to
    /// them are not reported as dangling. The name is empty if it could not be read either.
    pub unreadable: BTreeSet<(Kind, String)>,
    /// Whether objects may be missing from the set, for instance because a file could not be
    /// parsed. Rules about missing objects are then not applied.
    pub partial: bool,
}

impl ObjectSet {
    /// Creates a set of objects that were not read from files.
    ///
    /// ```
    /// use comfreybay::coordination::check::{ObjectSet, check};
    /// let faults = check(&ObjectSet::from_objects([]));
    /// assert_eq!(faults[0].code, "no-deployment");
    /// ```
    pub fn from_objects(objects: impl IntoIterator<Item = Object>) -> Self {
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

/// Checks a set of objects and returns all faults and warnings, sorted by file and position.
pub fn check(set: &ObjectSet) -> Vec<Fault> {
    let index = Index::new(set);
    let mut findings = Findings::default();
    owners::check(&index, &mut findings);
    names::check(&index, &mut findings);
    references::check(&index, &mut findings);
    ranges::check(&index, &mut findings);
    addresses::check(&index, &mut findings);
    chains::check(&index, &mut findings);
    paths::check(&index, &mut findings);
    compose::check(&index, &mut findings);
    harm::check(&index, &mut findings);
    findings.sorted()
}
