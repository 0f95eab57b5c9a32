//! Generation, digests and redaction of API keys. Only digests of keys are stored.

use std::fmt;
use std::ops::Range;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use rand::CryptoRng;
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

use crate::config::KeyDigest;

/// Prefix of every generated key, by which checks recognize a key in clear text.
pub const KEY_PREFIX: &str = "sf_";

/// Fewest characters after the prefix for a text to count as a key. Fewer than a
/// generated key has, so that a truncated key is recognized as well.
const MIN_KEY_CHARS: usize = 16;

/// Random bytes in a key. 256 bits cannot be guessed, so the digest needs no salt.
const RANDOM_BYTES: usize = 32;

/// A key or other secret in memory. `Debug` and `Display` print `[key]` instead; `==`
/// takes constant time for secrets of equal length.
#[derive(Clone)]
pub struct Secret(String);

impl PartialEq for Secret {
    fn eq(&self, other: &Self) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl Eq for Secret {}

impl Secret {
    /// Wraps a secret.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The secret itself. Use it only in requests, never in logs or messages.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// SHA-256 digest of the secret.
    pub fn digest(&self) -> KeyDigest {
        digest(&self.0)
    }

    /// Whether the secret is empty.
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

/// Generates a key; returns it with its hexadecimal digest for the document.
pub fn generate_key(rng: &mut impl CryptoRng) -> (String, String) {
    let mut bytes = [0; RANDOM_BYTES];
    rng.fill_bytes(&mut bytes);
    let key = format!("{KEY_PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes));
    let digest = hex::encode(digest(&key));
    (key, digest)
}

/// SHA-256 digest of a key.
///
/// ```
/// use sycamorefork::keys;
/// assert!(keys::is_digest(&hex::encode(keys::digest("demo-key"))));
/// ```
pub fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}

/// Whether a presented credential has this digest. The comparison takes constant time.
pub fn matches_digest(presented: &str, expected: &KeyDigest) -> bool {
    digest(presented).ct_eq(expected).into()
}

/// Whether the text is a hexadecimal SHA-256 digest: 64 lower-case digits.
pub fn is_digest(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

/// Parses a digest of 64 lower-case hexadecimal digits.
pub fn parse_digest(text: &str) -> Option<KeyDigest> {
    let mut digest = KeyDigest::default();
    let valid = is_digest(text) && hex::decode_to_slice(text, &mut digest).is_ok();
    valid.then_some(digest)
}

/// Whether the whole text has the form of a generated key.
pub fn looks_like_key(text: &str) -> bool {
    matches!(find_keys(text).as_slice(), [only] if only.len() == text.len())
}

/// Byte ranges of the generated keys in a text.
pub fn find_keys(text: &str) -> Vec<Range<usize>> {
    let is_key_byte = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
    let mut found = Vec::new();
    let mut position = 0;
    while let Some(start) = text[position..].find(KEY_PREFIX).map(|i| position + i) {
        let bytes_taken = text[start..].bytes().take_while(|b| is_key_byte(*b)).count();
        let starts_word = start == 0 || !is_key_byte(text.as_bytes()[start - 1]);
        if starts_word && bytes_taken >= KEY_PREFIX.len() + MIN_KEY_CHARS {
            found.push(start..start + bytes_taken);
        }
        position = start + bytes_taken;
    }
    found
}

/// Replaces each generated key in the text by `[key]`.
pub fn redact(text: &str) -> String {
    let mut out = text.to_owned();
    for range in find_keys(text).into_iter().rev() {
        out.replace_range(range, "[key]");
    }
    out
}
