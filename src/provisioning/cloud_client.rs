//! Calls to the cloud. Each call takes a token, since the cloud limits the number of calls per second.

use super::ProvisioningRequest;
use super::wire::{
    Catalog, ListedMachine, MachineList, MachineNames, ProvisioningCall, is_no_capacity,
};
use crate::controller::Controller;
use crate::http::cbor::{DecodeError, decode, encode};
use crate::http::client::{CallError, ClientResponse};
use crate::store::token_bucket::TokenBucket;
use crate::time::{Micros, Moment};
use std::time::Duration;

/// Time that a call waits for its response.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Number of machines on a page of the machine list.
const LIST_PAGE: usize = 500;

/// Total time for which a list of many pages waits for tokens between its pages. A list that took longer would say
/// little about the time at which it was requested.
const LIST_TIMEOUT: Micros = Micros::from_secs(10);

/// Reason why a call to the cloud has no result.
#[derive(Debug, thiserror::Error)]
pub(super) enum CloudError {
    /// Not sent: no token is left.
    #[error("call to the cloud not sent: rate limit reached")]
    NoToken,
    /// Not executed: the cloud accepts no more calls for a while (status 429).
    #[error("call to the cloud throttled")]
    Throttled,
    /// The call failed; its source says whether it may have been executed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The cloud refused the request with this status.
    #[error("call to the cloud's {path} refused with status {status}")]
    Status { path: &'static str, status: u16 },
    /// Executed, but the response can't be decoded.
    #[error("malformed response from the cloud's {path}")]
    Malformed {
        path: &'static str,
        source: DecodeError,
    },
    /// The catalog names no machine type.
    #[error("the cloud's catalog names no machine types")]
    EmptyCatalog,
}

/// The cloud's response to a request for machines.
pub(super) enum ProvisioningResponse {
    /// The names of the new machines.
    Granted(Vec<String>),
    NoCapacity,
}

/// Outcome of listing all machines.
pub(super) struct ListOutcome {
    /// Number of pages that were requested.
    pub(super) pages: usize,
    /// All machines, or the error that prevented a complete list.
    pub(super) machines: Result<Vec<ListedMachine>, CloudError>,
}

const CATALOG_PATH: &str = "/catalog";
const LIST_PATH: &str = "/rentals";
const REQUEST_PATH: &str = "/rentals";
const RETURN_PATH: &str = "/rentals/return";

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const TOO_MANY_REQUESTS: u16 = 429;
const UNAVAILABLE: u16 = 503;

/// The body of a response with status 200, decoded.
fn decode_ok<T: serde::de::DeserializeOwned>(
    path: &'static str,
    response: &ClientResponse,
) -> Result<T, CloudError> {
    if response.status != OK {
        let status = response.status;
        return Err(CloudError::Status { path, status });
    }
    decode(&response.body).map_err(|source| {
        log::info!(path = path, reason:% = source; "malformed cloud response");
        CloudError::Malformed { path, source }
    })
}

impl Controller {
    /// Calls the cloud if a token is available. A response with status 429 suspends further calls for 0.5 to 1 s.
    fn cloud_call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<ClientResponse, CloudError> {
        let now = self.now();
        if !self.with_cloud_tokens(|tokens| tokens.take(1.0, now)) {
            return Err(CloudError::NoToken);
        }
        match self.cloud.call(method, path, body, CALL_TIMEOUT) {
            Ok(response) if response.status == TOO_MANY_REQUESTS => {
                let pause = Micros::from_millis(500 + fastrand::u64(0..500));
                self.with_cloud_tokens(|tokens| tokens.back_off(pause, now));
                Err(CloudError::Throttled)
            }
            Ok(response) => Ok(response),
            Err(error) => {
                log::debug!(path = path, reason:% = error; "cloud call failed");
                Err(CloudError::Call(error))
            }
        }
    }

    /// Runs `run` on the token bucket for calls to the cloud, under its lock.
    fn with_cloud_tokens<T>(&self, run: impl FnOnce(&mut TokenBucket) -> T) -> T {
        let mut tokens = self.cloud_bucket.lock().unwrap_or_else(|e| e.into_inner());
        run(&mut tokens)
    }

    /// Waits until a token is available, but not beyond `until`.
    fn await_cloud_token(&self, until: Moment) {
        let rate = self.settings.settings.cloud.rps;
        let wait = Micros::from_secs_f64(1.0 / rate);
        let is_empty = || self.with_cloud_tokens(|tokens| tokens.available(self.now()) < 1.0);
        while is_empty() && self.now() < until {
            self.os.sleep(wait.duration());
        }
    }

    /// Fetches the catalog; an empty catalog is an error.
    pub(super) fn fetch_catalog(&self) -> Result<Catalog, CloudError> {
        let response = self.cloud_call("GET", CATALOG_PATH, &[])?;
        let catalog: Catalog = decode_ok(CATALOG_PATH, &response)?;
        if catalog.machine_types.is_empty() {
            return Err(CloudError::EmptyCatalog);
        }
        Ok(catalog)
    }

    /// Fetches the complete list of machines, page by page.
    pub(super) fn fetch_machine_list(&self) -> ListOutcome {
        let requested_at = self.now();
        let mut pages = 0;
        let mut machines: Vec<ListedMachine> = Vec::new();
        loop {
            pages += 1;
            if pages > 1 {
                self.await_cloud_token(requested_at + LIST_TIMEOUT);
            }
            match self.fetch_list_page(machines.last()) {
                Ok(page) => {
                    let is_last = !page.more || page.machines.is_empty();
                    machines.extend(page.machines);
                    if is_last {
                        let machines = Ok(machines);
                        return ListOutcome { pages, machines };
                    }
                }
                Err(error) => {
                    let machines = Err(error);
                    return ListOutcome { pages, machines };
                }
            }
        }
    }

    /// Fetches the page of the machine list that follows a machine, or the first page.
    fn fetch_list_page(&self, after: Option<&ListedMachine>) -> Result<MachineList, CloudError> {
        let after = match after {
            Some(last) => format!("since={}&", last.name),
            None => String::new(),
        };
        let path = format!("{LIST_PATH}?{after}most={LIST_PAGE}");
        let response = self.cloud_call("GET", &path, &[])?;
        decode_ok(LIST_PATH, &response)
    }

    /// Sends a request for machines. After an error it may have been executed, and must be repeated.
    pub(super) fn send_provisioning_request(
        &self,
        request: &ProvisioningRequest,
    ) -> Result<ProvisioningResponse, CloudError> {
        let body = encode(&ProvisioningCall {
            request: &request.name,
            type_name: &request.type_name,
            zone: &request.offer.zone,
            spot: request.offer.spot,
            count: request.count,
        });
        let response = self.cloud_call("POST", REQUEST_PATH, &body)?;
        match response.status {
            UNAVAILABLE if is_no_capacity(&response.body) => Ok(ProvisioningResponse::NoCapacity),
            BAD_REQUEST => {
                log::error!(
                    request = request.name,
                    reason = "malformed";
                    "provisioning request refused"
                );
                Ok(ProvisioningResponse::NoCapacity)
            }
            _ => {
                let names: MachineNames = decode_ok(REQUEST_PATH, &response)?;
                Ok(ProvisioningResponse::Granted(names.machines))
            }
        }
    }

    /// Returns machines to the cloud; the result names those that are gone, with everything on them.
    pub(super) fn return_machines(&self, machines: Vec<String>) -> Result<Vec<String>, CloudError> {
        let body = encode(&MachineNames { machines });
        let response = self.cloud_call("POST", RETURN_PATH, &body)?;
        let names: MachineNames = decode_ok(RETURN_PATH, &response)?;
        Ok(names.machines)
    }
}
