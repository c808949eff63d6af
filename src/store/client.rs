//! Client of the key-value store: reads, transactions, leases and watches.

use super::connection::{Connection, StorePriority, StoreRequest, TRANSACTION_PATH};
use super::error::{NotExecutedReason, StoreError};
use super::wire::{
    Change, ErrorResponse, GrantLeaseRequest, GrantLeaseResponse, KeyValue, NO_SUCH_LEASE,
    Precondition, RangePage, TransactionRequest, TransactionResponse, WatchBatch,
};
use crate::http::cbor::{decode, encode};
use crate::link_health::ObservationQueue;
use crate::os::Os;
use crate::time::{Micros, Moment};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a request other than a range read or a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a range read, longer than [`CALL_TIMEOUT`] because the response is larger.
const RANGE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time by which the timeout of a watch exceeds its wait.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// Outcome of a transaction, as reported by the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// All preconditions held, and all changes were made.
    Committed {
        /// Store revision of the changes.
        revision: u64,
    },
    /// At least one precondition did not hold, and nothing was changed.
    Conflict {
        /// Keys whose preconditions failed.
        failed: Vec<String>,
    },
}

/// Client of the key-value store, shared by all threads of a controller.
pub struct Store {
    connection: Connection,
}

impl Store {
    /// Creates a client of the store at `addr`. `rate` is this controller's share of the store's request rate, in
    /// requests per second.
    pub fn new(addr: SocketAddr, rate: f64, os: Arc<dyn Os>) -> Self {
        Store {
            connection: Connection::new(addr, rate, os),
        }
    }

    /// The same client, which adds the outcome of each call to `observations`, as an observation of the link to the
    /// store.
    pub fn with_observations(mut self, observations: Option<Arc<ObservationQueue>>) -> Self {
        self.connection.observations = observations;
        self
    }

    /// Time at which the store last answered this controller with a status other than 503.
    pub fn last_answered_at(&self) -> Moment {
        self.connection.last_answered_at()
    }

    /// Returns false for a while after a failed request, unless another request has been answered since. In that time
    /// a peer may reach the store sooner than a retry by this controller.
    pub fn is_answering(&self, now: Moment) -> bool {
        self.connection.is_answering(now)
    }

    /// Reads a key. Returns `None` if the key is absent.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotExecuted`] and [`StoreError::OutcomeUnknown`]; after both, the key may or may not exist.
    pub fn get(&self, key: &str, priority: StorePriority) -> Result<Option<KeyValue>, StoreError> {
        self.get_within(key, priority, CALL_TIMEOUT)
    }

    /// Reads a key like [`Store::get`], but with the given `timeout`.
    ///
    /// # Errors
    ///
    /// Those of [`Store::get`].
    pub fn get_within(
        &self,
        key: &str,
        priority: StorePriority,
        timeout: Duration,
    ) -> Result<Option<KeyValue>, StoreError> {
        let request = StoreRequest {
            method: "GET",
            path: &format!("/store/{key}"),
            body: &[],
            priority,
            timeout,
        };
        let response = self.connection.send(&request)?;
        match response.status {
            200 => Ok(Some(request.decode(&response.body)?)),
            404 => Ok(None),
            status => Err(request.unexpected_status(status)),
        }
    }

    /// Reads at most `limit` keys that start with `prefix`, in key order, beginning with the first key after `after`.
    ///
    /// # Errors
    ///
    /// Those of [`Store::get`].
    pub fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
        priority: StorePriority,
    ) -> Result<RangePage, StoreError> {
        let since = after.map(|key| format!("&since={key}")).unwrap_or_default();
        let request = StoreRequest {
            method: "GET",
            path: &format!("/store?starts={prefix}{since}&most={limit}"),
            body: &[],
            priority,
            timeout: RANGE_TIMEOUT,
        };
        let response = self.connection.send(&request)?;
        match response.status {
            200 => request.decode(&response.body),
            status => Err(request.unexpected_status(status)),
        }
    }

    /// Atomically makes all changes if all preconditions hold, otherwise none (compare-and-swap).
    ///
    /// # Errors
    ///
    /// - [`StoreError::NotExecuted`]: no change was made, or will be made.
    /// - [`StoreError::LeaseExpired`]: no change was made, because the lease of one of them has ended.
    /// - [`StoreError::OutcomeUnknown`]: the changes may have been made, or may still be made later.
    pub fn transact(
        &self,
        preconditions: &[Precondition],
        changes: &[Change],
        priority: StorePriority,
    ) -> Result<TransactionOutcome, StoreError> {
        let body = encode(&TransactionRequest {
            preconditions,
            changes,
        });
        let request = StoreRequest {
            method: "POST",
            path: TRANSACTION_PATH,
            body: &body,
            priority,
            timeout: CALL_TIMEOUT,
        };
        let response = self.connection.send(&request)?;
        match response.status {
            200 => {
                let committed: TransactionResponse = request.decode(&response.body)?;
                Ok(TransactionOutcome::Committed {
                    revision: committed.revision,
                })
            }
            409 => {
                let conflict: TransactionResponse = request.decode(&response.body)?;
                Ok(TransactionOutcome::Conflict {
                    failed: conflict.failed_keys,
                })
            }
            400 => Err(invalid_transaction(&request, &response.body)),
            status => Err(request.unexpected_status(status)),
        }
    }

    /// Requests a lease that expires `duration` after its grant or last renewal. Returns the id of the lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotExecuted`], or [`StoreError::OutcomeUnknown`]: the store may have granted a lease whose id is
    /// unknown; that lease expires without renewals.
    pub fn grant_lease(&self, duration: Micros) -> Result<u64, StoreError> {
        let body = encode(&GrantLeaseRequest {
            duration_ms: duration.0 / 1000,
        });
        let request = StoreRequest {
            method: "POST",
            path: "/holds",
            body: &body,
            priority: StorePriority::Leadership,
            timeout: CALL_TIMEOUT,
        };
        let response = self.connection.send(&request)?;
        match response.status {
            200 => Ok(request
                .decode::<GrantLeaseResponse>(&response.body)?
                .lease_id),
            status => Err(request.unexpected_status(status)),
        }
    }

    /// Renews a lease for its full duration.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseExpired`] if the lease no longer exists. After any other error the lease may or may not
    /// have been renewed.
    pub fn renew_lease(&self, lease_id: u64, timeout: Duration) -> Result<(), StoreError> {
        let request = StoreRequest {
            method: "POST",
            path: &format!("/holds/{lease_id}/renew"),
            body: &[],
            priority: StorePriority::Leadership,
            timeout,
        };
        match self.connection.send(&request)?.status {
            200 => Ok(()),
            404 => Err(StoreError::LeaseExpired),
            status => Err(request.unexpected_status(status)),
        }
    }

    /// Ends a lease, which deletes the keys attached to it. Succeeds if the lease has already ended.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotExecuted`] and [`StoreError::OutcomeUnknown`]; the lease then expires without renewals.
    pub fn end_lease(&self, lease_id: u64) -> Result<(), StoreError> {
        let request = StoreRequest {
            method: "DELETE",
            path: &format!("/holds/{lease_id}"),
            body: &[],
            priority: StorePriority::Leadership,
            timeout: CALL_TIMEOUT,
        };
        match self.connection.send(&request)?.status {
            200..=299 | 404 => Ok(()),
            status => Err(request.unexpected_status(status)),
        }
    }

    /// Waits up to `wait` for changes after revision `since` of keys that start with `prefix`. The batch is empty if
    /// nothing has changed.
    ///
    /// # Errors
    ///
    /// [`StoreError::WatchExpired`] if the store no longer keeps all changes since that revision; otherwise those of
    /// [`Store::get`].
    pub fn watch(&self, prefix: &str, since: u64, wait: Micros) -> Result<WatchBatch, StoreError> {
        let wait_ms = wait.0 / 1000;
        let request = StoreRequest {
            method: "GET",
            path: &format!("/changes?starts={prefix}&since={since}&holdMs={wait_ms}"),
            body: &[],
            priority: StorePriority::Leadership,
            timeout: wait.duration() + WATCH_GRACE,
        };
        let response = self.connection.send(&request)?;
        match response.status {
            200 => request.decode(&response.body),
            410 => Err(StoreError::WatchExpired {
                prefix: prefix.to_string(),
                since,
            }),
            status => Err(request.unexpected_status(status)),
        }
    }
}

/// Error for a transaction that the store rejected as invalid (400): a lease that it uses has ended, or it is
/// malformed.
fn invalid_transaction(request: &StoreRequest<'_>, body: &[u8]) -> StoreError {
    let error = decode::<ErrorResponse>(body).ok().and_then(|r| r.error);
    if error.as_deref() == Some(NO_SUCH_LEASE) {
        return StoreError::LeaseExpired;
    }
    let reason = error.unwrap_or_else(|| "no reason given".to_string());
    log::error!(reason = reason.as_str(); "store rejected a malformed transaction");
    request.not_executed(NotExecutedReason::Malformed(reason))
}
