//! Organisations that may send requests, and the keys by which they are recognised.

use std::{collections::BTreeSet, fmt, rc::Rc};

use blake3::Hasher;
use thiserror::Error;

use crate::state::id::OrganisationName;

/// Purpose of the hash key, as BLAKE3 asks for it; changes with the way in which keys are hashed.
const HASH_CONTEXT: &str = "comfreybay 2025-01 keys of organisations";
/// Size of a key's hash; two of a million keys have the same one with a probability below 1e-26.
const HASH_BYTES: usize = 16;

/// Errors in a set of organisations. They name organisations, never keys.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum Error {
    /// Two organisations have the same name.
    #[error("could not accept organisation {0}: another one has the same name")]
    Duplicate(OrganisationName),
    /// Two organisations have a key in common.
    #[error("could not accept organisation {0}: {1} has one of its keys")]
    SharedKey(OrganisationName, OrganisationName),
    /// A limit is out of its range.
    #[error("could not accept organisation {name}: its {what} is {value}, expected at least 0")]
    Range {
        /// The organisation.
        name: OrganisationName,
        /// The limit.
        what: &'static str,
        /// Its value.
        value: String,
    },
}

/// Result of checking organisations.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Most requests that an organisation may send through all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub per_second: f64,
    /// Requests that may be sent at once after a time without any.
    pub burst: f64,
}

/// An organisation that sends requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Its priority, which comes before that of the route; 0 is the most important.
    pub priority: Option<u8>,
    /// Its limit; `None` if it has none.
    pub quota: Option<Quota>,
}

/// A checked set of organisations and their keys. Of a key, only a keyed hash is kept.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Organisations {
    all: Box<[Rc<Organisation>]>,
    keys: KeyTable,
}

impl Organisations {
    /// Checks organisations and their keys as one set.
    ///
    /// # Errors
    /// The first error found; no part of the set is usable then.
    ///
    /// ```
    /// use comfreybay::state::mesh::organisation::{Organisation, Organisations};
    /// let acme = Organisation { name: "Acme_1".parse()?, priority: None, quota: None };
    /// let all = Organisations::new(vec![(acme, vec!["k1".to_owned()])]).expect("valid");
    /// let found = all.find(b"k1").map(|organisation| organisation.name.as_str());
    /// assert_eq!(found, Some("Acme_1"));
    /// assert!(all.find(b"k2").is_none());
    /// # Ok::<(), comfreybay::state::Error>(())
    /// ```
    pub fn new(entries: Vec<(Organisation, Vec<String>)>) -> Result<Self> {
        let mut names = BTreeSet::new();
        for (organisation, _) in &entries {
            check(organisation)?;
            if !names.insert(&organisation.name) {
                return Err(Error::Duplicate(organisation.name.clone()));
            }
        }
        let keys = entries.iter().map(|(_, keys)| keys.as_slice());
        let keys = KeyTable::new(keys).map_err(|(owner, other)| {
            let name = |at: u32| entries[at as usize].0.name.clone();
            Error::SharedKey(name(other), name(owner))
        })?;
        let all = entries.into_iter().map(|(organisation, _)| organisation);
        let all = all.map(Rc::new).collect();
        Ok(Self { all, keys })
    }

    /// The organisation that has a key.
    pub fn find(&self, key: &[u8]) -> Option<&Rc<Organisation>> {
        self.all.get(self.keys.owner(key)? as usize)
    }

    /// All organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Organisation>> {
        self.all.iter()
    }

    /// Number of organisations.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are no organisations, so that no key is known.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Number of different keys.
    pub fn key_count(&self) -> usize {
        self.keys.entries.len()
    }
}

fn check(organisation: &Organisation) -> Result<()> {
    let Some(Quota { per_second, burst }) = organisation.quota else {
        return Ok(());
    };
    for (what, value) in [("rate", per_second), ("burst", burst)] {
        if !value.is_finite() || value < 0.0 {
            return Err(Error::Range {
                name: organisation.name.clone(),
                what,
                value: value.to_string(),
            });
        }
    }
    Ok(())
}

type KeyHash = [u8; HASH_BYTES];

/// Hashes of keys in ascending order, with the position of the organisation that has the key.
///
/// The hash key is derived from all keys of the table, so that the order of the hashes, and thereby
/// the time of a comparison, tells nothing about a key to someone who does not know the others.
#[derive(Clone, PartialEq)]
struct KeyTable {
    hash_key: [u8; blake3::KEY_LEN],
    entries: Box<[(KeyHash, u32)]>,
}

impl Default for KeyTable {
    fn default() -> Self {
        Self {
            hash_key: [0; blake3::KEY_LEN],
            entries: Box::default(),
        }
    }
}

impl KeyTable {
    /// The table of the keys of several owners, or the positions of two owners with a common key.
    fn new<'a>(
        owners: impl Iterator<Item = &'a [String]> + Clone,
    ) -> std::result::Result<Self, (u32, u32)> {
        let mut hasher = Hasher::new_derive_key(HASH_CONTEXT);
        for key in owners.clone().flatten() {
            hasher.update(&(key.len() as u64).to_be_bytes());
            hasher.update(key.as_bytes());
        }
        let hash_key = *hasher.finalize().as_bytes();
        let entry = |owner, key: &String| (hash(&hash_key, key.as_bytes()), owner);
        let mut entries: Vec<_> = (0..)
            .zip(owners)
            .flat_map(|(owner, keys)| keys.iter().map(move |key| entry(owner, key)))
            .collect();
        entries.sort_unstable();
        entries.dedup();
        let shared = entries.windows(2).find(|pair| pair[0].0 == pair[1].0);
        if let Some(pair) = shared {
            return Err((pair[0].1, pair[1].1));
        }
        Ok(Self {
            hash_key,
            entries: entries.into(),
        })
    }

    /// The position of the owner of a key. The empty key has none.
    fn owner(&self, key: &[u8]) -> Option<u32> {
        if key.is_empty() {
            return None;
        }
        let hash = hash(&self.hash_key, key);
        let found = self.entries.binary_search_by_key(&hash, |(hash, _)| *hash);
        found.ok().map(|at| self.entries[at].1)
    }
}

impl fmt::Debug for KeyTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyTable({} keys)", self.entries.len())
    }
}

fn hash(hash_key: &[u8; blake3::KEY_LEN], key: &[u8]) -> KeyHash {
    let mut prefix = [0; HASH_BYTES];
    prefix.copy_from_slice(&blake3::keyed_hash(hash_key, key).as_bytes()[..HASH_BYTES]);
    prefix
}
