//! Limits of the key-value store.

use serde::Deserialize;

/// Bytes reserved for the quotes and braces around the contents of a stored value.
const VALUE_OVERHEAD: usize = 16;

/// Limits of the key-value store.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreSettings {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of changes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of preconditions and changes in one transaction.
    pub txn_ops: usize,
    /// Limits that will apply from some later moment on, without notice.
    #[serde(default)]
    pub next: Option<StoreLimits>,
}

/// Future limits of the key-value store; those that are absent don't change.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct StoreLimits {
    /// Maximum number of requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Maximum number of changes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of preconditions and changes in one transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StoreSettings {
    /// The limits that this controller obeys: for each one, the stricter of its present and its future value. The
    /// store must still accept values that are written today, or that grow when they are rewritten, after the limits
    /// have changed without notice.
    pub fn strictest(&self) -> StoreSettings {
        let next = self.next.clone().unwrap_or_default();
        StoreSettings {
            rps: self.rps.min(next.rps.unwrap_or(self.rps)),
            write_rps: self.write_rps.min(next.write_rps.unwrap_or(self.write_rps)),
            value_kb: self.value_kb.min(next.value_kb.unwrap_or(self.value_kb)),
            txn_ops: self.txn_ops.min(next.txn_ops.unwrap_or(self.txn_ops)),
            next: None,
        }
    }

    /// Maximum size of a stored value, in bytes of the encoding to which the limits refer.
    pub fn value_bytes(&self) -> usize {
        ((self.value_kb * 1024.0) as usize).saturating_sub(VALUE_OVERHEAD)
    }
}
