//! The leader's loop that synchronizes its machines with the cloud: machine list, requests and returns.

use super::cloud_client::ProvisioningResponse;
use super::{ProvisioningRequest, ProvisioningResult};
use crate::controller::Controller;
use crate::time::{Micros, Moment};
use std::time::Duration;

/// Time between two steps of the loop.
const STEP_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two fetches of the machine list.
const LIST_INTERVAL: Micros = Micros::from_secs(3);

/// Time between two fetches of the machine list while a new leader waits for machines that a list may prove to be
/// gone.
const LIST_INTERVAL_IN_FAILOVER: Micros = Micros::from_secs(1);

/// Time between two fetches of the catalog.
const CATALOG_INTERVAL: Micros = Micros::from_secs(60);

/// Lists use at most one in this many of the calls that the cloud allows: requests and returns need the others.
const LIST_RATE_DIVISOR: f64 = 2.0;

/// Pause after a request whose outcome is unknown.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// State that the loop keeps between its steps.
struct SyncProgress {
    /// When this loop last fetched the catalog.
    catalog_fetched_at: Option<Moment>,
    /// The term in which this loop last stored the catalog's copy; 0 if in none.
    catalog_saved_term: u64,
    /// Number of pages of the last list.
    list_pages: usize,
}

/// Work that is due in a step.
struct SyncStep {
    term: u64,
    is_list_due: bool,
}

impl Controller {
    /// While this controller leads: fetches the catalog, lists machines, sends requests and returns machines.
    pub(crate) fn cloud_sync_loop(&self) {
        let mut progress = SyncProgress {
            catalog_fetched_at: None,
            catalog_saved_term: 0,
            list_pages: 1,
        };
        loop {
            self.os.sleep(STEP_INTERVAL);
            let now = self.now();
            let Some(step) = self.next_sync_step(&progress, now) else {
                continue;
            };
            self.sync_catalog(&mut progress, step.term, now);
            if step.is_list_due {
                progress.list_pages = self.sync_machine_list();
            }
            self.scale_out();
            self.scale_in();
        }
    }

    /// The work that is due; `None` if this controller doesn't lead.
    fn next_sync_step(&self, progress: &SyncProgress, now: Moment) -> Option<SyncStep> {
        let mut state = self.state();
        let (lease, scheduler) = state.acting_leader(now)?;
        let interval = match scheduler.prior_term.released {
            true => LIST_INTERVAL,
            false => LIST_INTERVAL_IN_FAILOVER,
        };
        let interval = interval.max(self.list_interval(progress.list_pages));
        let last_listed_at = scheduler.provisioning.last_listed_at;
        Some(SyncStep {
            term: lease.term,
            is_list_due: last_listed_at.is_none_or(|t| now - t >= interval),
        })
    }

    /// Minimum time between two lists of this number of pages.
    fn list_interval(&self, pages: usize) -> Micros {
        let time = pages as f64 * LIST_RATE_DIVISOR / self.settings.settings.cloud.rps;
        Micros::from_secs_f64(time)
    }

    /// Fetches the catalog if it is due, and stores a copy once in each term.
    fn sync_catalog(&self, progress: &mut SyncProgress, term: u64, now: Moment) {
        let is_due = progress
            .catalog_fetched_at
            .is_none_or(|t| now - t > CATALOG_INTERVAL);
        if !is_due && progress.catalog_saved_term == term {
            return;
        }
        let Ok(catalog) = self.fetch_catalog() else {
            return;
        };
        progress.catalog_fetched_at = Some(now);
        self.set_catalog(&catalog);
        if progress.catalog_saved_term != term && self.save_catalog(&catalog) {
            progress.catalog_saved_term = term;
        }
    }

    /// Fetches the machine list and reconciles the machines with it; returns the number of its pages.
    fn sync_machine_list(&self) -> usize {
        let requested_at = self.now();
        let outcome = self.fetch_machine_list();
        if let Ok(machines) = &outcome.machines {
            let now = self.now();
            if let Some((_, scheduler)) = self.state().acting_leader(now) {
                scheduler.reconcile_machine_list(machines, requested_at, now);
                self.wake_loops(scheduler);
            }
        }
        outcome.pages
    }

    /// Plans requests for machines, and sends all requests that have no response yet.
    fn scale_out(&self) {
        for request in self.pending_requests() {
            let now = self.now();
            if self.state().acting_leader(now).is_none() {
                return;
            }
            let result = self.request_machines(&request);
            let is_unknown = matches!(result, ProvisioningResult::Unknown);
            let now = self.now();
            if let Some((_, scheduler)) = self.state().acting_leader(now) {
                scheduler.apply_provisioning_result(&request.name, result, now);
            }
            if is_unknown {
                self.os.sleep(RETRY_PAUSE);
                return;
            }
        }
    }

    /// Plans requests, and returns those that have no response yet; none if this controller doesn't lead.
    fn pending_requests(&self) -> Vec<ProvisioningRequest> {
        let now = self.now();
        let mut state = self.state();
        let Some((_, scheduler)) = state.acting_leader(now) else {
            return Vec::new();
        };
        scheduler.plan_scale_out(now);
        scheduler.provisioning.requests.clone()
    }

    /// Sends one request. After an error it is unknown whether the request was executed.
    fn request_machines(&self, request: &ProvisioningRequest) -> ProvisioningResult {
        log::info!(
            request = request.name,
            type = request.type_name,
            zone = request.offer.zone,
            spot = request.offer.spot,
            count = request.count;
            "machines requested"
        );
        match self.send_provisioning_request(request) {
            Ok(ProvisioningResponse::Granted(names)) => ProvisioningResult::Granted(names),
            Ok(ProvisioningResponse::NoCapacity) => ProvisioningResult::NoCapacity,
            Err(_) => ProvisioningResult::Unknown,
        }
    }

    /// Returns the machines whose return is due, and drops those that the cloud confirms to be gone.
    fn scale_in(&self) {
        let due = self.due_returns();
        if due.is_empty() {
            return;
        }
        let Ok(gone) = self.return_machines(due) else {
            return;
        };
        if let Some(scheduler) = &mut self.state().scheduler {
            scheduler.drop_gone_machines(&gone);
        }
    }

    /// Names of machines whose return is due; none if this controller doesn't lead.
    fn due_returns(&self) -> Vec<String> {
        let now = self.now();
        let mut state = self.state();
        let acting = state.acting_leader(now);
        acting.map_or_else(Vec::new, |(_, scheduler)| scheduler.plan_scale_in(now))
    }
}
