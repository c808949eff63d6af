//! Calls to the cloud, behind their tokens, and the catalog's copy in the state service.

use super::RentalResult;
use super::wire::{Catalog, MachineList, Names, RentRequest};
use crate::controller::Controller;
use crate::http::cbor::{decode, encode, json_len};
use crate::os::random_pause;
use crate::store::{Change, StorePriority, from_value, to_value};
use crate::time::{Micros, Moment};
use std::sync::Arc;
use std::time::Duration;

const CATALOG_KEY: &str = "catalog";
const CALL_TIME: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(500);
const LIST_EVERY: Micros = Micros::from_secs(3);
/// While a takeover waits for machines that lists may prove to be gone.
const LIST_SOON: Micros = Micros::from_secs(1);
const CATALOG_EVERY: Micros = Micros::from_secs(60);
const LIST_PAGE: usize = 500;
/// A list of many pages waits for tokens between them, for so long in all. One that took longer would
/// say little of the time at which it was asked for.
const LIST_TIME: Micros = Micros::from_secs(10);
/// Of the cloud's calls, lists take one in so many at most: rentals and returns need the others.
const LIST_SHARE: f64 = 2.0;

impl Controller {
    fn cloud_call(&self, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        let now = self.now();
        {
            let mut tokens = self.cloud_bucket.lock().unwrap_or_else(|e| e.into_inner());
            if !tokens.take(1.0, now) {
                return None;
            }
        }
        match self.cloud.call(method, path, body, CALL_TIME) {
            Ok(answer) if answer.status == 429 => {
                let pause = Micros::from_millis(500 + fastrand::u64(0..500));
                let mut tokens = self.cloud_bucket.lock().unwrap_or_else(|e| e.into_inner());
                tokens.punish(pause, now);
                None
            }
            Ok(answer) => Some((answer.status, answer.body)),
            Err(e) => {
                log::debug!("cloud: {path}: {e}");
                None
            }
        }
    }

    /// Waits until there is a token, until then at the longest.
    fn await_cloud_token(&self, until: Moment) {
        let rate = self.settings.settings.cloud.rps;
        let wait = Micros::from_secs_f64(1.0 / rate);
        let empty = || {
            let mut tokens = self.cloud_bucket.lock().unwrap_or_else(|e| e.into_inner());
            tokens.available(self.now()) < 1.0
        };
        while empty() && self.now() < until {
            self.os.sleep(wait.duration());
        }
    }

    /// How often a list of so many pages may be asked for.
    fn list_interval(&self, pages: usize) -> Micros {
        let time = pages as f64 * LIST_SHARE / self.settings.settings.cloud.rps;
        Micros::from_secs_f64(time)
    }

    fn set_catalog(&self, catalog: &Catalog) {
        let types = Arc::new(catalog.types());
        *self.catalog.lock().unwrap_or_else(|e| e.into_inner()) = Some(types.clone());
        if let Some(scheduler) = &mut self.state().scheduler {
            scheduler.provisioning.catalog = types.to_vec();
        }
    }

    fn fetch_catalog(&self) -> Option<Catalog> {
        let (status, body) = self.cloud_call("GET", "/catalog", &[])?;
        if status != 200 {
            return None;
        }
        match decode::<Catalog>(&body) {
            Ok(catalog) if !catalog.builds.is_empty() => Some(catalog),
            Ok(_) => None,
            Err(e) => {
                log::info!("malformed catalog: {e}");
                None
            }
        }
    }

    /// Gets the catalog: at the start from the copy that a leader keeps, which is there sooner
    /// and even while the cloud is down, else from the cloud; then from the cloud now and then.
    pub fn catalog_loop(&self) {
        while self.catalog().is_none() {
            if let Ok(Some(row)) = self.store.get(CATALOG_KEY, StorePriority::Normal)
                && let Some(catalog) = from_value::<Catalog>(&row.data)
                && !catalog.builds.is_empty()
            {
                self.set_catalog(&catalog);
            } else if let Some(catalog) = self.fetch_catalog() {
                self.set_catalog(&catalog);
            } else {
                random_pause(&*self.os, 300, 600);
            }
        }
        loop {
            random_pause(&*self.os, 240_000, 360_000);
            if let Some(catalog) = self.fetch_catalog() {
                self.set_catalog(&catalog);
            }
        }
    }

    pub fn cloud_sync_loop(&self) {
        let mut last_catalog: Option<Moment> = None;
        let mut saved_term = 0;
        let mut list_pages = 1;
        loop {
            self.os.sleep(STEP);
            let now = self.now();
            let (list_due, term) = {
                let mut state = self.state();
                let Some((leader_lease, scheduler)) = state.acting_leader(now) else {
                    continue;
                };
                let every = if scheduler.prior_term.released {
                    LIST_EVERY
                } else {
                    LIST_SOON
                };
                let every = every.max(self.list_interval(list_pages));
                let due = scheduler
                    .provisioning
                    .last_list
                    .is_none_or(|t| now - t >= every);
                (due, leader_lease.term)
            };
            let catalog_due = last_catalog.is_none_or(|t| now - t > CATALOG_EVERY);
            if (catalog_due || saved_term != term)
                && let Some(catalog) = self.fetch_catalog()
            {
                last_catalog = Some(now);
                self.set_catalog(&catalog);
                if saved_term != term && self.save_catalog(&catalog) {
                    saved_term = term;
                }
            }
            if list_due {
                list_pages = self.list_machines();
            }
            self.rent();
            self.return_machines();
        }
    }

    /// Keeps a copy, so that a restarted node can take submissions while the cloud is down.
    fn save_catalog(&self, catalog: &Catalog) -> bool {
        let Some(guard) = self.state().leader_lease.as_ref().map(|l| l.precondition()) else {
            return false;
        };
        let data = to_value(catalog);
        if json_len(&data) > self.settings.settings.state.strict().value_bytes() {
            log::info!("the catalog is too large for the state service: it isn't kept there");
            return true;
        }
        let change = Change::write(CATALOG_KEY, data);
        self.store
            .transact(&[guard], &[change], StorePriority::Background)
            .is_ok()
    }

    /// Asks for the whole list, and takes it in; how many pages it has had.
    fn list_machines(&self) -> usize {
        let asked = self.now();
        let mut pages = 0;
        let mut list = Vec::new();
        let mut since = String::new();
        loop {
            let after = if since.is_empty() {
                String::new()
            } else {
                format!("since={since}&")
            };
            let path = format!("/rentals?{after}most={LIST_PAGE}");
            pages += 1;
            if pages > 1 {
                self.await_cloud_token(asked + LIST_TIME);
            }
            let Some((200, body)) = self.cloud_call("GET", &path, &[]) else {
                return pages;
            };
            let page: MachineList = match decode(&body) {
                Ok(page) => page,
                Err(e) => {
                    log::info!("malformed machine list: {e}");
                    return pages;
                }
            };
            let last = page.hosts.last().map(|h| h.name.clone());
            list.extend(page.hosts);
            match last {
                Some(last) if page.more => since = last,
                _ => break,
            }
        }
        let now = self.now();
        if let Some((_, scheduler)) = self.state().acting_leader(now) {
            scheduler.listed(&list, asked, now);
            self.wake_loops(scheduler);
        }
        pages
    }

    fn rent(&self) {
        let now = self.now();
        let rental_requests = {
            let mut state = self.state();
            let Some((_, scheduler)) = state.acting_leader(now) else {
                return;
            };
            scheduler.plan_rentals(now);
            scheduler.provisioning.rental_requests.clone()
        };
        for request in rental_requests {
            let now = self.now();
            if self.state().acting_leader(now).is_none() {
                return;
            }
            log::info!(
                "renting {} {} in {} (spot {}) as {}",
                request.count,
                request.type_name,
                request.offer.zone,
                request.offer.spot,
                request.name
            );
            let body = encode(&RentRequest {
                hire: &request.name,
                build: &request.type_name,
                yard: &request.offer.zone,
                loaners: request.offer.spot,
                count: request.count,
            });
            let result = match self.cloud_call("POST", "/rentals", &body) {
                Some((200, body)) => match decode::<Names>(&body) {
                    Ok(names) => RentalResult::Rented(names.hosts),
                    Err(e) => {
                        log::info!("malformed rental: {e}");
                        RentalResult::Unknown
                    }
                },
                Some((503, body)) if no_capacity(&body) => RentalResult::NoCapacity,
                Some((400, _)) => {
                    log::error!("the cloud calls rental {} malformed", request.name);
                    RentalResult::NoCapacity
                }
                _ => RentalResult::Unknown,
            };
            let failed = matches!(result, RentalResult::Unknown);
            let now = self.now();
            if let Some((_, scheduler)) = self.state().acting_leader(now) {
                scheduler.rental_answered(&request.name, result, now);
            }
            if failed {
                self.os.sleep(Duration::from_millis(500));
                return;
            }
        }
    }

    fn return_machines(&self) {
        let now = self.now();
        let names = {
            let mut state = self.state();
            let Some((_, scheduler)) = state.acting_leader(now) else {
                return;
            };
            scheduler.plan_returns(now)
        };
        if names.is_empty() {
            return;
        }
        let body = encode(&Names { hosts: names });
        let Some((200, _)) = self.cloud_call("POST", "/rentals/return", &body) else {
            return;
        };
        let names = decode::<Names>(&body).map(|n| n.hosts).unwrap_or_default();
        if let Some(scheduler) = &mut self.state().scheduler {
            scheduler.returned(&names);
        }
    }
}

fn no_capacity(body: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct Problem {
        error: String,
    }
    decode::<Problem>(body).is_ok_and(|p| p.error == "no capacity")
}
