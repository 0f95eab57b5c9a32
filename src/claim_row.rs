//! Format of claim rows: key, value and stored answer.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::error::{Error, Result};
use crate::ids::{AttemptId, Endpoint, Node, Route, Team};
use crate::storage::Row;
use crate::time::Ms;

/// Prefix of the keys of all claim rows.
pub const CLAIM_PREFIX: &str = "claim/";

/// Key of a claim row: a digest of route, team and `Idempotency-Key` header.
///
/// ```
/// let key = sycamorefork::claim::row_key(&"bookings".into(), &"team".into(), "order-1");
/// assert_eq!(key.len(), "claim/".len() + 64);
/// ```
pub fn row_key(route: &Route, team: &Team, key: &str) -> String {
    let mut hash = Sha256::new();
    for part in [route.as_str(), team.as_str(), key] {
        // A length prefix makes the concatenation unambiguous.
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    format!("{CLAIM_PREFIX}{}", hex::encode(hash.finalize()))
}

/// Digest that tells whether two calls with the same key have the same body.
pub fn body_digest(body: &[u8]) -> String {
    hex::encode(Sha256::digest(body))
}

/// Answer of an endpoint, stored to replay it to later calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, repeated in a replay.
    pub headers: Vec<(String, String)>,
    /// The body; empty if it was omitted.
    #[serde(with = "base64_bytes")]
    pub body: Bytes,
    /// Whether the body was too large to store.
    #[serde(rename = "cut", default, skip_serializing_if = "std::ops::Not::not")]
    pub body_omitted: bool,
}

impl ClaimAnswer {
    /// Approximate size in bytes.
    pub(crate) fn size(&self) -> usize {
        self.body.len() + self.headers.iter().map(|(n, v)| n.len() + v.len()).sum::<usize>()
    }

    /// Drops body and headers.
    pub(crate) fn omit_body(&mut self) {
        self.body = Bytes::new();
        self.headers = Vec::new();
        self.body_omitted = true;
    }
}

mod base64_bytes {
    use base64::Engine;
    use base64::prelude::BASE64_STANDARD;
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer, de};

    pub fn serialize<S: Serializer>(body: &Bytes, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&BASE64_STANDARD.encode(body))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(d)?;
        BASE64_STANDARD.decode(text).map(Bytes::from).map_err(de::Error::custom)
    }
}

/// State of a claim row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// The node may send the call or has sent it.
    Running,
    /// The call ran and its answer is known.
    Ended,
    /// The call may have run.
    Unknown,
    /// The attempt did not run and never will; another attempt may replace the row.
    Void,
}

/// Value of a claim row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Digest of the body.
    pub digest: String,
    /// The attempt that holds the claim.
    #[serde(with = "attempt_hex")]
    pub attempt: AttemptId,
    /// The node that made the claim.
    pub node: Node,
    /// The endpoint of the attempt.
    pub endpoint: Endpoint,
    /// State of the attempt.
    pub state: ClaimState,
    /// Time of the call, in milliseconds since the Unix epoch.
    pub created: Ms,
    /// The answer of an ended call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<ClaimAnswer>,
}

impl ClaimRow {
    /// Parses the value of a row.
    ///
    /// # Errors
    /// Fails if the value is not a valid claim.
    pub fn parse(row: &Row) -> Result<Self> {
        serde_json::from_slice(&row.value).map_err(|e| Error::input(&row.key, e))
    }

    pub(crate) fn value(&self) -> Bytes {
        // Serializing a struct with string keys into memory does not fail.
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }
}

mod attempt_hex {
    use serde::{Deserialize, Deserializer, Serializer, de};

    use crate::ids::AttemptId;

    pub fn serialize<S: Serializer>(id: &AttemptId, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(id)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<AttemptId, D::Error> {
        let text = String::deserialize(d)?;
        AttemptId::parse(&text).ok_or_else(|| de::Error::custom("attempt id is not 32 hex digits"))
    }
}
