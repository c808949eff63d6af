//! The client of the key-value store: reads, transactions, leases and watches.

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

/// How long a request may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a range read may take: its response is larger.
const RANGE_TIMEOUT: Duration = Duration::from_millis(3000);
/// How much longer than its wait a watch may take.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// What became of a transaction that the store has decided on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// All changes were made.
    Committed {
        /// The store's revision of the changes.
        revision: u64,
    },
    /// Nothing was changed, since preconditions did not hold.
    Conflict {
        /// The keys whose preconditions failed.
        failed: Vec<String>,
    },
}

/// The client of the key-value store that all threads of a controller share.
pub struct Store {
    connection: Connection,
}

impl Store {
    /// A client of the store at `addr`. `rate` is this controller's share of the store's request rate, in
    /// requests per second.
    pub fn new(addr: SocketAddr, rate: f64, os: Arc<dyn Os>) -> Self {
        Store {
            connection: Connection::new(addr, rate, os),
        }
    }

    /// The same client, which leaves in `observations` what its calls show of the links to the store.
    pub fn with_observations(mut self, observations: Option<Arc<ObservationQueue>>) -> Self {
        self.connection.observations = observations;
        self
    }

    /// When the store last answered this controller with anything but 503.
    pub fn last_answered_at(&self) -> Moment {
        self.connection.last_answered_at()
    }

    /// False for a while after a request failed, until another one is answered. Peers may reach the
    /// store sooner then than another try of this controller.
    pub fn is_answering(&self, now: Moment) -> bool {
        self.connection.is_answering(now)
    }

    /// Reads a key; None if it is absent.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotExecuted`] and [`StoreError::OutcomeUnknown`]; both mean that nothing is known.
    pub fn get(&self, key: &str, priority: StorePriority) -> Result<Option<KeyValue>, StoreError> {
        self.get_within(key, priority, CALL_TIMEOUT)
    }

    /// Reads a key as [`Store::get`] does, within `timeout`.
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

    /// Reads the keys that begin with `prefix` in their order, at most `limit`, from the first one after
    /// `after`.
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

    /// Makes all changes if all preconditions hold, else none (compare-and-swap).
    ///
    /// # Errors
    ///
    /// [`StoreError::NotExecuted`]: nothing was or will be changed. [`StoreError::LeaseExpired`]: the same,
    /// since a lease of a change has ended. [`StoreError::OutcomeUnknown`]: the changes may have been made,
    /// or may still be.
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

    /// Asks for a lease that expires `duration` after its grant or last renewal. Returns its id.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotExecuted`], or [`StoreError::OutcomeUnknown`]: there may be a lease that nobody
    /// knows; it expires.
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

    /// Renews a lease for its whole duration.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseExpired`] if there is no such lease any more; with the other errors it may or may
    /// not have been renewed.
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

    /// Ends a lease, which deletes its keys. It is no error if the lease has ended before.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotExecuted`] and [`StoreError::OutcomeUnknown`]; the lease expires by itself then.
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

    /// Waits until keys that begin with `prefix` have changed since the revision `since`, for `wait` at the
    /// longest. The batch is empty if nothing has changed.
    ///
    /// # Errors
    ///
    /// [`StoreError::WatchExpired`] if the store no longer has all changes since then; else those of
    /// [`Store::get`].
    pub fn watch(&self, prefix: &str, since: u64, wait: Micros) -> Result<WatchBatch, StoreError> {
        let wait_ms = wait.0 / 1000;
        let request = StoreRequest {
            method: "GET",
            path: &format!("/changes?starts={prefix}&since={since}&holdMs={wait_ms}"),
            body: &[],
            priority: StorePriority::Normal,
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

/// The error of a transaction that the store calls invalid: a lease of it has ended, or it is malformed.
fn invalid_transaction(request: &StoreRequest<'_>, body: &[u8]) -> StoreError {
    let error = decode::<ErrorResponse>(body).ok().and_then(|r| r.error);
    if error.as_deref() == Some(NO_SUCH_LEASE) {
        return StoreError::LeaseExpired;
    }
    let reason = error.unwrap_or_else(|| "no reason given".to_string());
    log::error!(reason = reason.as_str(); "transaction malformed");
    request.not_executed(NotExecutedReason::Malformed(reason))
}
