//! The leader's loop that keeps its machines and the cloud in step: list, requests, returns.

use super::cloud_client::ProvisioningResponse;
use super::{ProvisioningRequest, ProvisioningResult};
use crate::controller::Controller;
use crate::time::{Micros, Moment};
use std::time::Duration;

/// Time between two steps of the loop.
const STEP: Duration = Duration::from_millis(500);

/// Time between two lists.
const LIST_INTERVAL: Micros = Micros::from_secs(3);

/// The same while a new leader waits for machines that lists may prove to be gone.
const LIST_INTERVAL_IN_FAILOVER: Micros = Micros::from_secs(1);

/// Time between two looks at the catalog.
const CATALOG_INTERVAL: Micros = Micros::from_secs(60);

/// Of the cloud's calls, lists take one in so many at most: requests and returns need the others.
const LIST_SHARE: f64 = 2.0;

/// Wait after a request whose outcome is unknown.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// What the loop remembers between its steps.
struct SyncProgress {
    /// When the catalog was last fetched here.
    catalog_fetched_at: Option<Moment>,
    /// The term in which the catalog's copy was last stored; 0 if in none.
    catalog_saved_in: u64,
    /// How many pages the last list had.
    list_pages: usize,
}

/// What a step has to do.
struct SyncStep {
    term: u64,
    is_list_due: bool,
}

impl Controller {
    /// While this controller leads: fetches the catalog, lists machines, sends requests and returns machines.
    pub(crate) fn cloud_sync_loop(&self) {
        let mut progress = SyncProgress {
            catalog_fetched_at: None,
            catalog_saved_in: 0,
            list_pages: 1,
        };
        loop {
            self.os.sleep(STEP);
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

    /// What is due; None if this controller doesn't lead.
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

    /// How often a list of so many pages may be asked for.
    fn list_interval(&self, pages: usize) -> Micros {
        let time = pages as f64 * LIST_SHARE / self.settings.settings.cloud.rps;
        Micros::from_secs_f64(time)
    }

    /// Fetches the catalog if it is due, and stores a copy once in each term.
    fn sync_catalog(&self, progress: &mut SyncProgress, term: u64, now: Moment) {
        let is_due = progress
            .catalog_fetched_at
            .is_none_or(|t| now - t > CATALOG_INTERVAL);
        if !is_due && progress.catalog_saved_in == term {
            return;
        }
        let Ok(catalog) = self.fetch_catalog() else {
            return;
        };
        progress.catalog_fetched_at = Some(now);
        self.set_catalog(&catalog);
        if progress.catalog_saved_in != term && self.save_catalog(&catalog) {
            progress.catalog_saved_in = term;
        }
    }

    /// Asks for the machine list and reconciles the machines with it; how many pages it had.
    fn sync_machine_list(&self) -> usize {
        let asked = self.now();
        let outcome = self.fetch_machine_list();
        if let Ok(machines) = &outcome.machines {
            let now = self.now();
            if let Some((_, scheduler)) = self.state().acting_leader(now) {
                scheduler.reconcile_machine_list(machines, asked, now);
                self.wake_loops(scheduler);
            }
        }
        outcome.pages
    }

    /// Plans requests for machines and sends those that have no answer yet.
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

    /// The planned requests that have no answer yet; none if this controller doesn't lead.
    fn pending_requests(&self) -> Vec<ProvisioningRequest> {
        let now = self.now();
        let mut state = self.state();
        let Some((_, scheduler)) = state.acting_leader(now) else {
            return Vec::new();
        };
        scheduler.plan_scale_out(now);
        scheduler.provisioning.requests.clone()
    }

    /// Sends one request. After an error nobody knows whether it was executed.
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

    /// Returns the machines whose return is due, and drops those that are gone then.
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
