//! The key-value store, which holds all state that must survive a controller: its client, and storage formats that
//! several modules share.
//!
//! - `client`: [`Store`], with the operations: reads, transactions, leases, watches;
//! - `connection`: state shared by all requests: rate limit, availability, observations of links;
//! - `wire`: messages of the store's API; `value`: stored values;
//! - `error`: [`StoreError`], which distinguishes whether a request may have been executed;
//! - [`paged_map`]: a map that packs many small entries into few values;
//! - [`token_bucket`]: rate limits.

#![warn(missing_docs)]

mod client;
mod connection;
mod error;
pub mod paged_map;
pub mod token_bucket;
mod value;
mod wire;

pub use client::{Store, TransactionOutcome};
pub use connection::StorePriority;
pub use error::{NotExecutedReason, StoreError, UnknownOutcomeReason};
pub use value::{from_value, to_value};
pub use wire::{Change, KeyValue, Precondition, RangePage, WatchBatch, WatchEvent};
