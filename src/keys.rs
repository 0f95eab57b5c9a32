//! Callers' keys: generation and digests. The service stores digests only.

use std::fmt;
use std::ops::Range;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use rand::CryptoRng;
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

use crate::config::Digest;

/// Start of every generated key; lets checks recognise a key in clear text.
pub const PREFIX: &str = "sf_";

/// Characters after the prefix from which a text counts as a key, possibly a cut one.
const SHORTEST: usize = 16;

/// Random bytes of a key. 256 bits cannot be guessed, so the digest needs no salt.
const KEY_BYTES: usize = 32;

/// A key in memory. `Debug` and `Display` never show it; `==` takes constant time for
/// texts of one length.
#[derive(Clone)]
pub struct Secret(String);

impl PartialEq for Secret {
    fn eq(&self, other: &Self) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl Eq for Secret {}

impl Secret {
    /// Wraps a key.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The key itself, for use on the wire only.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// SHA-256 of the key.
    pub fn digest(&self) -> Digest {
        digest(&self.0)
    }

    /// Whether the key is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[key]")
    }
}

impl fmt::Display for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[key]")
    }
}

/// Generates a key and the hexadecimal digest that enters the document.
pub fn generate_key(rng: &mut impl CryptoRng) -> (String, String) {
    let mut bytes = [0; KEY_BYTES];
    rng.fill_bytes(&mut bytes);
    let key = format!("{PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes));
    let digest = hex::encode(digest(&key));
    (key, digest)
}

/// SHA-256 of a key.
///
/// ```
/// use sycamorefork::keys;
/// assert!(keys::is_digest(&hex::encode(keys::digest("demo-key"))));
/// ```
pub fn digest(key: &str) -> Digest {
    Sha256::digest(key.as_bytes()).into()
}

/// Whether a presented credential has this digest, in constant time.
pub fn matches(presented: &str, expected: &Digest) -> bool {
    digest(presented).ct_eq(expected).into()
}

/// Whether the text has the form of a digest: 64 lower-case hexadecimal digits.
pub fn is_digest(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

/// Parses 64 lower-case hexadecimal digits.
pub fn parse_digest(text: &str) -> Option<Digest> {
    let mut digest = Digest::default();
    let valid = is_digest(text) && hex::decode_to_slice(text, &mut digest).is_ok();
    valid.then_some(digest)
}

/// Whether the text has the form of a generated key.
pub fn looks_like_key(text: &str) -> bool {
    matches!(find_keys(text).as_slice(), [only] if only.len() == text.len())
}

/// Where a text contains generated keys, as byte ranges.
pub fn find_keys(text: &str) -> Vec<Range<usize>> {
    let inside = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
    let mut found = Vec::new();
    let mut at = 0;
    while let Some(start) = text[at..].find(PREFIX).map(|i| at + i) {
        let rest = text[start..].bytes().take_while(|b| inside(*b)).count();
        let begins = start == 0 || !inside(text.as_bytes()[start - 1]);
        if begins && rest >= PREFIX.len() + SHORTEST {
            found.push(start..start + rest);
        }
        at = start + rest;
    }
    found
}

/// The text with generated keys replaced by `[key]`.
pub fn redact(text: &str) -> String {
    let mut out = text.to_owned();
    for range in find_keys(text).into_iter().rev() {
        out.replace_range(range, "[key]");
    }
    out
}
