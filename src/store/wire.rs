//! Messages of the store's HTTP API, in CBOR. The serde names are those of the API; everything else in this
//! repository uses the names of the fields here.

use ciborium::Value;
use serde::{Deserialize, Serialize};

/// A key with its present value.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub data: Value,
    /// The store's revision at which the key last changed.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// One response to a range read: keys of one prefix in their order.
#[derive(Clone, Debug, Deserialize)]
pub struct RangePage {
    /// Keys and values in the order of the keys.
    pub rows: Vec<KeyValue>,
    /// There are further keys after the last one.
    pub more: bool,
    /// The store's revision at which the page was read. A watch since then misses no change.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A condition of a transaction: the key last changed at this revision, or is absent if that is 0.
#[derive(Clone, Debug, Serialize)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The revision that the key must have; 0 if it must be absent.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

impl Precondition {
    /// A precondition that `key` has this revision, or is absent if that is 0.
    pub fn new(key: impl Into<String>, revision: u64) -> Self {
        Precondition {
            key: key.into(),
            revision,
        }
    }
}

/// A change that a transaction makes.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Change {
    /// Sets a key.
    Write {
        /// The key.
        write: String,
        /// Its new value.
        data: Value,
        /// The lease whose end deletes the key.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        delete: String,
    },
}

impl Change {
    /// Sets a key that lives until it is deleted.
    pub fn write(key: impl Into<String>, data: Value) -> Self {
        Change::Write {
            write: key.into(),
            data,
            lease_id: None,
        }
    }

    /// Sets a key that is deleted at the end of a lease.
    pub fn write_with_lease(key: impl Into<String>, data: Value, lease_id: u64) -> Self {
        Change::Write {
            write: key.into(),
            data,
            lease_id: Some(lease_id),
        }
    }

    /// Deletes a key.
    pub fn delete(key: impl Into<String>) -> Self {
        Change::Delete { delete: key.into() }
    }
}

/// A change of a watched key: `write` and `data` are set, or `delete` is.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchEvent {
    /// The key that was written.
    #[serde(default)]
    pub write: Option<String>,
    /// The key that was deleted.
    #[serde(default)]
    pub delete: Option<String>,
    /// The value that was written.
    #[serde(default)]
    pub data: Option<Value>,
    /// The store's revision of the change.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// One response to a watch.
#[derive(Debug, Deserialize)]
pub struct WatchBatch {
    /// The store's revision up to which the events are complete: where the next watch begins.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes in the order in which they were made.
    #[serde(rename = "log")]
    pub events: Vec<WatchEvent>,
}

/// A transaction: all changes if all preconditions hold, else none.
#[derive(Serialize)]
pub(super) struct TransactionRequest<'a> {
    #[serde(rename = "guards")]
    pub preconditions: &'a [Precondition],
    #[serde(rename = "apply")]
    pub changes: &'a [Change],
}

/// The response to a transaction that was committed (200) or had a conflict (409).
#[derive(Deserialize)]
pub(super) struct TransactionResponse {
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(rename = "failed", default)]
    pub failed_keys: Vec<String>,
}

/// The response to a request that the store calls invalid (400).
#[derive(Deserialize)]
pub(super) struct ErrorResponse {
    #[serde(default)]
    pub error: Option<String>,
}

/// The store's error text for a transaction with a lease that has ended.
pub(super) const NO_SUCH_LEASE: &str = "no such lease";

/// A request for a new lease.
#[derive(Serialize)]
pub(super) struct GrantLeaseRequest {
    #[serde(rename = "lifeMs")]
    pub duration_ms: u64,
}

/// The response with a new lease.
#[derive(Deserialize)]
pub(super) struct GrantLeaseResponse {
    #[serde(rename = "permit")]
    pub lease_id: u64,
}
