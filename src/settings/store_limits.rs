//! Limits of the key-value store.

use serde::Deserialize;

/// What a stored value's quotes and braces may take beside its contents, in bytes.
const VALUE_OVERHEAD: usize = 16;

/// Limits of the key-value store.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreSettings {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// The size of a value, in KiB.
    pub value_kb: f64,
    /// Preconditions and changes in one transaction.
    pub txn_ops: usize,
    /// Limits that will hold from some moment on, without notice.
    #[serde(default)]
    pub next: Option<StoreLimits>,
}

/// Limits that will change; those that are absent stay.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct StoreLimits {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// The size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Preconditions and changes in one transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StoreSettings {
    /// The limits that are obeyed: the stricter ones of now and later. What is written today, and what
    /// grows by being written anew, must still be taken after a change that nobody tells of.
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

    /// Bytes that a value may have, in the form in which limits count them.
    pub fn value_bytes(&self) -> usize {
        ((self.value_kb * 1024.0) as usize).saturating_sub(VALUE_OVERHEAD)
    }
}
