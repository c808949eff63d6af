//! The key-value store that keeps what must survive a controller: its client and what is stored by several
//! slices in the same way.
//!
//! - `client`: [`Store`], the operations: reads, transactions, leases, watches;
//! - `connection`: what all requests share: the request rate, availability, observations of links;
//! - `wire`: the messages of the store's API; `value`: stored values;
//! - `error`: [`StoreError`], which tells whether a request may have been executed;
//! - [`paged_map`]: many small entries packed into few values;
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
