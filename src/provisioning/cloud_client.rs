//! Calls to the cloud, each behind a token: the cloud limits how many it takes in a second.

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

/// How long a call waits for its response.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Machines on a page of the list.
const LIST_PAGE: usize = 500;

/// A list of many pages waits for tokens between them, for so long in all. One that took longer would
/// say little of the time at which it was asked for.
const LIST_TIMEOUT: Micros = Micros::from_secs(10);

/// Why a call to the cloud brought nothing.
#[derive(Debug, thiserror::Error)]
pub(super) enum CloudError {
    /// Not sent: the tokens are used up.
    #[error("no token for a call to the cloud")]
    NoToken,
    /// Not executed: the cloud takes no more calls for a while.
    #[error("the cloud throttles calls")]
    Throttled,
    /// May have been executed, according to the source.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The cloud refused the request with this status.
    #[error("the cloud answered {path} with status {status}")]
    Status { path: &'static str, status: u16 },
    /// Executed; the response can't be read.
    #[error("malformed response to {path}")]
    Malformed {
        path: &'static str,
        source: DecodeError,
    },
    /// The catalog names no machine type.
    #[error("the catalog is empty")]
    EmptyCatalog,
}

/// The cloud's answer to a request for machines.
pub(super) enum ProvisioningResponse {
    /// The names of the new machines.
    Granted(Vec<String>),
    NoCapacity,
}

/// What listing all machines came to.
pub(super) struct ListOutcome {
    /// How many pages were asked for.
    pub(super) pages: usize,
    /// All machines, or why there is no whole list.
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
        log::info!(path = path, reason:% = source; "malformed response of the cloud");
        CloudError::Malformed { path, source }
    })
}

impl Controller {
    /// Calls the cloud if there is a token. Status 429 stops further calls for a moment.
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
                log::debug!(path = path, reason:% = error; "cloud unreachable");
                Err(CloudError::Call(error))
            }
        }
    }

    /// Runs something on the tokens for calls to the cloud, under their lock.
    fn with_cloud_tokens<T>(&self, run: impl FnOnce(&mut TokenBucket) -> T) -> T {
        let mut tokens = self.cloud_bucket.lock().unwrap_or_else(|e| e.into_inner());
        run(&mut tokens)
    }

    /// Waits until there is a token, until then at the longest.
    fn await_cloud_token(&self, until: Moment) {
        let rate = self.settings.settings.cloud.rps;
        let wait = Micros::from_secs_f64(1.0 / rate);
        let is_empty = || self.with_cloud_tokens(|tokens| tokens.available(self.now()) < 1.0);
        while is_empty() && self.now() < until {
            self.os.sleep(wait.duration());
        }
    }

    /// Asks for the catalog, which is never empty.
    pub(super) fn fetch_catalog(&self) -> Result<Catalog, CloudError> {
        let response = self.cloud_call("GET", CATALOG_PATH, &[])?;
        let catalog: Catalog = decode_ok(CATALOG_PATH, &response)?;
        if catalog.machine_types.is_empty() {
            return Err(CloudError::EmptyCatalog);
        }
        Ok(catalog)
    }

    /// Asks for the whole list of machines, page by page.
    pub(super) fn fetch_machine_list(&self) -> ListOutcome {
        let asked = self.now();
        let mut pages = 0;
        let mut machines: Vec<ListedMachine> = Vec::new();
        loop {
            pages += 1;
            if pages > 1 {
                self.await_cloud_token(asked + LIST_TIMEOUT);
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

    /// Asks for the page that follows a machine, or for the first one.
    fn fetch_list_page(&self, after: Option<&ListedMachine>) -> Result<MachineList, CloudError> {
        let after = match after {
            Some(last) => format!("since={}&", last.name),
            None => String::new(),
        };
        let path = format!("{LIST_PATH}?{after}most={LIST_PAGE}");
        let response = self.cloud_call("GET", &path, &[])?;
        decode_ok(LIST_PATH, &response)
    }

    /// Sends a request for machines. After an error it may have been executed, and is to be repeated.
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

    /// Returns machines; the names of those that are gone then, with everything on them.
    pub(super) fn return_machines(&self, machines: Vec<String>) -> Result<Vec<String>, CloudError> {
        let body = encode(&MachineNames { machines });
        let response = self.cloud_call("POST", RETURN_PATH, &body)?;
        let names: MachineNames = decode_ok(RETURN_PATH, &response)?;
        Ok(names.machines)
    }
}
