//! Messages of the store's HTTP API, encoded in CBOR. The serde names are defined by the API; all other code uses the
//! names of the Rust fields.

use ciborium::Value;
use serde::{Deserialize, Serialize};

/// A key with its current value.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValue {
    /// Name of the key.
    pub key: String,
    /// Value of the key.
    pub data: Value,
    /// Store revision at which the key last changed.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// One page of a range read.
#[derive(Clone, Debug, Deserialize)]
pub struct RangePage {
    /// Keys and values, in key order.
    pub rows: Vec<KeyValue>,
    /// True if further keys follow the last one.
    pub more: bool,
    /// Store revision at which the page was read. A watch from this revision on misses no change.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// Precondition of a transaction on the revision of one key.
#[derive(Clone, Debug, Serialize)]
pub struct Precondition {
    /// Name of the key.
    pub key: String,
    /// Revision at which the key must have last changed; 0 if the key must be absent.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

impl Precondition {
    /// Creates a precondition that `key` last changed at `revision`, or is absent if `revision` is 0.
    pub fn new(key: impl Into<String>, revision: u64) -> Self {
        Precondition {
            key: key.into(),
            revision,
        }
    }
}

/// A change made by a transaction.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Change {
    /// Sets a key.
    Write {
        /// Key to write.
        write: String,
        /// New value of the key.
        data: Value,
        /// Id of the lease to which the key is attached: the key is deleted when the lease ends.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        delete: String,
    },
}

impl Change {
    /// Creates a change that sets a key, which exists until it is deleted.
    pub fn write(key: impl Into<String>, data: Value) -> Self {
        Change::Write {
            write: key.into(),
            data,
            lease_id: None,
        }
    }

    /// Creates a change that sets a key, which is deleted when the lease ends.
    pub fn write_with_lease(key: impl Into<String>, data: Value, lease_id: u64) -> Self {
        Change::Write {
            write: key.into(),
            data,
            lease_id: Some(lease_id),
        }
    }

    /// Creates a change that deletes a key.
    pub fn delete(key: impl Into<String>) -> Self {
        Change::Delete { delete: key.into() }
    }
}

/// A change of a watched key. Either `write` and `data` are set, or `delete`.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchEvent {
    /// Key that was written.
    #[serde(default)]
    pub write: Option<String>,
    /// Key that was deleted.
    #[serde(default)]
    pub delete: Option<String>,
    /// Value that was written.
    #[serde(default)]
    pub data: Option<Value>,
    /// Store revision of the change.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// One response to a watch.
#[derive(Debug, Deserialize)]
pub struct WatchBatch {
    /// Store revision up to which the events are complete, and from which the next watch continues.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Changes in the order in which they were made.
    #[serde(rename = "log")]
    pub events: Vec<WatchEvent>,
}

/// Request to make all changes if all preconditions hold, otherwise none.
#[derive(Serialize)]
pub(super) struct TransactionRequest<'a> {
    #[serde(rename = "guards")]
    pub preconditions: &'a [Precondition],
    #[serde(rename = "apply")]
    pub changes: &'a [Change],
}

/// Response to a transaction that was committed (200) or had a conflict (409).
#[derive(Deserialize)]
pub(super) struct TransactionResponse {
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(rename = "failed", default)]
    pub failed_keys: Vec<String>,
}

/// Response to a request that the store rejected as invalid (400).
#[derive(Deserialize)]
pub(super) struct ErrorResponse {
    #[serde(default)]
    pub error: Option<String>,
}

/// Error text of the store for a transaction with a lease that has ended.
pub(super) const NO_SUCH_LEASE: &str = "no such lease";

/// Request for a new lease.
#[derive(Serialize)]
pub(super) struct GrantLeaseRequest {
    #[serde(rename = "lifeMs")]
    pub duration_ms: u64,
}

/// Response with the id of a new lease.
#[derive(Deserialize)]
pub(super) struct GrantLeaseResponse {
    #[serde(rename = "permit")]
    pub lease_id: u64,
}
