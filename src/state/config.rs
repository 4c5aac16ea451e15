//! The configuration in effect at a node.

use std::collections::BTreeMap;

use super::{
    id::{ClassName, Digest, Revision, ServiceName, UpstreamName},
    object::{Chain, Class, Deployment, Upstream},
    publication::{Piece, Publication},
};

/// A consistent set of pieces of one publication. Shared as `Rc<Config>` and never modified.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Revision of the publication.
    pub revision: Revision,
    /// Digest of the publication's head.
    pub digest: Digest,
    /// The deployment.
    pub deployment: Deployment,
    /// The pieces held, by service.
    pub pieces: BTreeMap<ServiceName, Piece>,
}

impl Config {
    /// A configuration with all pieces of a publication.
    pub fn from_publication(publication: &Publication) -> Self {
        let pieces = publication.pieces.values();
        Self {
            revision: publication.head.revision,
            digest: publication.head.digest(),
            deployment: publication.head.deployment.clone(),
            pieces: pieces
                .map(|p| (p.service.name.clone(), p.clone()))
                .collect(),
        }
    }

    /// The chain and class of a request that enters at `service`; the longest matching path prefix
    /// wins.
    pub fn classify(
        &self,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> Option<(&Chain, &Class)> {
        let piece = self.pieces.get(service)?;
        let matches =
            |c: &&Chain| c.entry == *service && c.method == method && path.starts_with(&c.path);
        let chain = piece
            .chains
            .iter()
            .filter(matches)
            .max_by_key(|c| c.path.len())?;
        Some((chain, self.class(&chain.class)?))
    }

    /// A class by name.
    pub fn class(&self, name: &ClassName) -> Option<&Class> {
        self.pieces
            .values()
            .flat_map(|p| &p.classes)
            .find(|c| c.name == *name)
    }

    /// The upstreams of a service.
    pub fn upstreams(&self, service: &ServiceName) -> &[Upstream] {
        self.pieces.get(service).map_or(&[], |p| &p.upstreams)
    }

    /// An upstream by name, of any service held.
    pub fn upstream(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.pieces
            .values()
            .flat_map(|p| &p.upstreams)
            .find(|u| u.name == *name)
    }
}
