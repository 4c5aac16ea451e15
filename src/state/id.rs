//! Newtypes for names, identifiers and revisions.

use std::{fmt, str::FromStr};

use data_encoding::HEXLOWER;
use serde::{Deserialize, Serialize};

use super::{Error, Result};

const NAME_MAX_BYTES: usize = 63;

fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    !text.is_empty() && text.len() <= NAME_MAX_BYTES && text.bytes().all(allowed)
}

/// Whether `text` is a name given by an operator, who may use any visible ASCII character.
fn is_visible_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_graphic();
    !text.is_empty() && text.len() <= NAME_MAX_BYTES && text.bytes().all(allowed)
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        name!(
            $(#[$doc])*
            ///
            /// One to 63 characters of `a-z`, `0-9`, `-` and `.`.
            $type, is_name, Name
        );
    };
    ($(#[$doc:meta])* $type:ident, $check:ident, $error:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(std::rc::Rc<str>);

        impl $type {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                if !$check(text) {
                    return Err(Error::$error(text.to_owned()));
                }
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

name!(
    /// Name of a service.
    ServiceName
);
name!(
    /// Name of an upstream: one backend server and the node beside it.
    UpstreamName
);
name!(
    /// Name of a request class.
    ClassName
);
name!(
    /// Name of a chain.
    ChainName
);
name!(
    /// Name of a limit.
    LimitName
);
name!(
    /// Name of an availability zone.
    ZoneName
);
name!(
    /// Name of a region.
    RegionName
);
name!(
    /// Name of an owner of configuration objects.
    OwnerName
);
name!(
    /// Name of a deployment.
    DeploymentName
);
name!(
    /// Name of an organisation that sends requests.
    ///
    /// One to 63 visible ASCII characters. The names are given by operators, and a name that is
    /// refused makes their whole configuration unusable.
    ///
    /// ```
    /// use comfreybay::state::id::OrganisationName;
    /// assert!("Pulo_780".parse::<OrganisationName>().is_ok());
    /// assert!("".parse::<OrganisationName>().is_err());
    /// assert!("two words".parse::<OrganisationName>().is_err());
    /// ```
    OrganisationName,
    is_visible_name,
    VisibleName
);

macro_rules! hex_id {
    ($(#[$doc:meta])* $type:ident, $bytes:literal, $what:literal) => {
        $(#[$doc])*
        ///
        /// Written as lowercase hexadecimal digits.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(pub [u8; $bytes]);

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                let error = || Error::Hex { what: $what, text: text.to_owned(), digits: 2 * $bytes };
                let bytes = HEXLOWER.decode(text.as_bytes()).map_err(|_| error())?;
                bytes.try_into().map(Self).map_err(|_| error())
            }
        }

        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(id: $type) -> Self {
                id.to_string()
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&HEXLOWER.encode(&self.0))
            }
        }
    };
}

hex_id!(
    /// BLAKE3 digest of some content.
    Digest,
    32,
    "digest"
);
hex_id!(
    /// Identifier of a client request, the same at every hop of its chain.
    RootId,
    16,
    "root request id"
);
hex_id!(
    /// Identifier of one call in progress at one node, passed on by its backend server.
    CallToken,
    16,
    "call token"
);
hex_id!(
    /// Identifier of one run of a node process, chosen at random when it starts.
    Incarnation,
    16,
    "incarnation"
);
hex_id!(
    /// BLAKE3 digest of a request's method, path and body, cut to 128 bits.
    Fingerprint,
    16,
    "fingerprint"
);

impl Digest {
    /// The digest of `content`.
    ///
    /// ```
    /// use comfreybay::state::id::Digest;
    /// assert_eq!(Digest::of(b"a"), Digest::of(b"a"));
    /// assert_ne!(Digest::of(b"a"), Digest::of(b"b"));
    /// ```
    pub fn of(content: &[u8]) -> Self {
        Self(*blake3::hash(content).as_bytes())
    }
}

macro_rules! random_id {
    ($type:ident) => {
        impl $type {
            /// A random identifier drawn from `rng`.
            pub fn random(rng: &mut fastrand::Rng) -> Self {
                Self(rng.u128(..).to_be_bytes())
            }
        }
    };
}

random_id!(RootId);
random_id!(CallToken);
random_id!(Incarnation);

/// Revision of a publication; later publications have higher ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Revision {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let error = |_| Error::Number {
            what: "revision",
            text: text.to_owned(),
        };
        text.parse().map(Self).map_err(error)
    }
}
