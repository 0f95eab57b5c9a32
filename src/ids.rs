//! Names and identifiers of teams, adapters, endpoints, nodes, keys, routes and requests.
//!
//! A name is a reference-counted string, so it is cheap to clone. Most names come from
//! the configuration document. Attempt and request identifiers are random 128-bit
//! numbers that are unique over the whole fleet.

use std::fmt;
use std::hash::BuildHasherDefault;
use std::sync::Arc;

use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

/// Hash map with a fast, non-cryptographic hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, BuildHasherDefault<FxHasher>>;

/// Hash set with a fast, non-cryptographic hasher.
pub type Set<K> = std::collections::HashSet<K, BuildHasherDefault<FxHasher>>;

macro_rules! name {
    ($(#[$doc:meta])* $ident:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $ident(Arc<str>);

        impl $ident {
            /// Creates a name from its text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $ident {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl std::borrow::Borrow<str> for $ident {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $ident {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $ident {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }
    };
}

name!(
    /// Name of a team, the unit of rate limits, isolation and fairness.
    Team
);
name!(
    /// Name of an adapter, without its version.
    Adapter
);
name!(
    /// Version of an adapter.
    Version
);
name!(
    /// Name of an endpoint: a model engine or a plain service that requests are routed to.
    Endpoint
);
name!(
    /// Name of one incarnation of a node process; a restart gets a new one.
    Node
);
name!(
    /// Public identifier of an API key, not the key itself.
    KeyId
);
name!(
    /// Name of a route of the configuration document.
    Route
);

macro_rules! random_id {
    ($(#[$doc:meta])* $ident:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $ident(pub u128);

        impl $ident {
            /// Parses 32 hexadecimal digits; `None` for any other text.
            pub fn parse(text: &str) -> Option<Self> {
                (text.len() == 32).then(|| u128::from_str_radix(text, 16).ok()).flatten().map(Self)
            }
        }

        impl fmt::Display for $ident {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl fmt::Debug for $ident {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }
    };
}

random_id!(
    /// Identifier of one attempt to run a request on one endpoint.
    AttemptId
);
random_id!(
    /// Identifier of one request of a caller, common to all its attempts.
    RequestId
);

/// Adapter with a version; an empty adapter name stands for the base model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterRef {
    /// The adapter's name.
    pub adapter: Adapter,
    /// The adapter's version.
    pub version: Version,
}

impl AdapterRef {
    /// Creates a reference from the texts of the two names.
    pub fn new(adapter: &str, version: &str) -> Self {
        Self { adapter: adapter.into(), version: version.into() }
    }
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}

/// Deterministic 64-bit hash for rendezvous hashing, equal on all nodes.
///
/// Uses FNV-1a with a final mix instead of a library hasher, because nodes of
/// different builds must agree on it.
pub fn stable_hash<T: AsRef<[u8]>>(parts: &[T]) -> u64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for part in parts {
        for b in part.as_ref().iter().chain(&[0xff]) {
            h = (h ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^= h >> 33;
    h = h.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}
