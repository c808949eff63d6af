//! Errors of requests to the key-value store.

use crate::http::cbor::DecodeError;
use crate::http::client::CallError;
use thiserror::Error;

/// Error of a request to the store. The variants distinguish whether the store may have executed the request.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store has not executed the request and never will.
    #[error("{request} not executed: {source}")]
    NotExecuted {
        /// Method and path of the request.
        request: String,
        /// Reason why the store has not executed it.
        source: NotExecutedReason,
    },
    /// The store may have executed the request, or may still execute it. The caller has to read the keys back before
    /// it makes decisions that depend on the outcome.
    #[error("outcome of {request} unknown: {source}")]
    OutcomeUnknown {
        /// Method and path of the request.
        request: String,
        /// Reason why the outcome is unknown.
        source: UnknownOutcomeReason,
    },
    /// The lease has expired or was ended; nothing was executed.
    #[error("lease expired")]
    LeaseExpired,
    /// The store no longer keeps all changes since the revision of the watch. The caller has to read the keys again.
    #[error("store no longer keeps the changes of prefix {prefix} since revision {since}")]
    WatchExpired {
        /// Prefix of the watched keys.
        prefix: String,
        /// Revision after which changes were requested.
        since: u64,
    },
    /// The value of a key is not in a format that this version reads.
    #[error("malformed value of key {key}")]
    MalformedValue {
        /// Key of the malformed value.
        key: String,
    },
}

/// Reason why a request is guaranteed not to have been executed.
#[derive(Debug, Error)]
pub enum NotExecutedReason {
    /// This controller has used up its share of the store's request rate.
    #[error("request rate limit of this controller exhausted")]
    RateExhausted,
    /// The store answered 429 (too many requests).
    #[error("429 too many requests")]
    TooManyRequests,
    /// The store answered 503 (unavailable).
    #[error("503 unavailable")]
    Unavailable,
    /// The store rejected the transaction as malformed, which should never happen. Contains the store's reason.
    #[error("malformed transaction: {0}")]
    Malformed(String),
    /// The caller's deadline had passed before the request was sent.
    #[error("deadline passed before the request was sent")]
    DeadlinePassed,
    /// The request was not sent, or the store is unreachable.
    #[error(transparent)]
    Call(CallError),
}

/// Reason why the outcome of a request is unknown.
#[derive(Debug, Error)]
pub enum UnknownOutcomeReason {
    /// The connection failed after the request was sent, or the timeout passed.
    #[error(transparent)]
    Call(CallError),
    /// The store answered with a status that is not defined for this request.
    #[error("unexpected status {0}")]
    UnexpectedStatus(u16),
    /// The body of the response can't be decoded.
    #[error(transparent)]
    Malformed(#[from] DecodeError),
}
