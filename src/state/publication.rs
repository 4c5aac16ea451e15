//! A published configuration as content-addressed parts: a head, buckets and pieces.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{
    Error, Result,
    id::{Digest, Revision, ServiceName},
    object::{Chain, Class, Deployment, Limit, Service, Upstream},
};

/// Number of buckets that the services are distributed over.
///
/// With 1,300 services a bucket lists about 41 digests, so a change of one service transfers about
/// 2 KB of bucket.
pub const BUCKETS: usize = 32;

/// Version of the publication format.
pub const FORMAT: u32 = 1;

/// One service and everything that applies to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    /// The service.
    pub service: Service,
    /// Its upstreams, ordered by name.
    pub upstreams: Vec<Upstream>,
    /// Limits on it.
    pub limits: Vec<Limit>,
    /// Chains that pass through it.
    pub chains: Vec<Chain>,
    /// Classes of those chains.
    pub classes: Vec<Class>,
}

/// Digests of the pieces of the services whose names hash to one bucket.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Bucket {
    /// Digest of each service's piece.
    pub services: BTreeMap<ServiceName, Digest>,
}

/// The root of a publication.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the publication format.
    pub format: u32,
    /// Revision of the publication.
    pub revision: Revision,
    /// The deployment.
    pub deployment: Deployment,
    /// Digest of each bucket; [`BUCKETS`] of them.
    pub buckets: Vec<Digest>,
}

impl Head {
    /// The digest of the whole publication, which is that of the encoded head.
    pub fn digest(&self) -> Digest {
        Digest::of(&encode(self))
    }
}

/// A whole publication.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Publication {
    /// The root.
    pub head: Head,
    /// All buckets, by digest.
    pub buckets: BTreeMap<Digest, Bucket>,
    /// All pieces, by digest.
    pub pieces: BTreeMap<Digest, Piece>,
}

impl Publication {
    /// Builds the parts of a publication from the pieces of all services.
    pub fn new(revision: Revision, deployment: Deployment, pieces: Vec<Piece>) -> Self {
        let mut lists = vec![Bucket::default(); BUCKETS];
        let mut by_digest = BTreeMap::new();
        for piece in pieces {
            let digest = Digest::of(&encode(&piece));
            let name = piece.service.name.clone();
            lists[bucket_of(&name)].services.insert(name, digest);
            by_digest.insert(digest, piece);
        }
        let digests: Vec<_> = lists.iter().map(|b| Digest::of(&encode(b))).collect();
        let buckets = digests.iter().copied().zip(lists).collect();
        let head = Head {
            format: FORMAT,
            revision,
            deployment,
            buckets: digests,
        };
        Self {
            head,
            buckets,
            pieces: by_digest,
        }
    }
}

/// The index of the bucket that lists a service.
pub fn bucket_of(service: &ServiceName) -> usize {
    usize::from(Digest::of(service.as_str().as_bytes()).0[0]) % BUCKETS
}

/// The canonical encoding of a part, which its digest is computed from.
pub fn encode<T: Serialize>(part: &T) -> Vec<u8> {
    serde_json::to_vec(part).expect("parts have string keys and serializers that can't fail")
}

/// Decodes a part after checking it against the digest by which it was requested.
///
/// # Errors
/// The digest differs, or the content is not a part of this type.
pub fn decode<T: DeserializeOwned>(
    what: &'static str,
    digest: Digest,
    content: &[u8],
) -> Result<T> {
    let actual = Digest::of(content);
    if actual != digest {
        return Err(Error::Digest {
            expected: digest.to_string(),
            actual: actual.to_string(),
        });
    }
    let error = |e: serde_json::Error| Error::Decode {
        what,
        reason: e.to_string(),
    };
    serde_json::from_slice(content).map_err(error)
}
