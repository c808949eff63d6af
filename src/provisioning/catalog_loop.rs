//! The loop that fetches the cloud's catalog, and the copy of the catalog in the store.

use super::wire::Catalog;
use crate::controller::Controller;
use crate::http::cbor::json_len;
use crate::os::random_pause;
use crate::store::{Change, StorePriority, from_value, to_value};
use std::sync::Arc;

/// Key of the catalog's copy in the store.
const CATALOG_KEY: &str = "catalog";

/// Bounds of the random pause between two attempts to get the first catalog, in milliseconds.
const RETRY_MS: (u64, u64) = (300, 600);

/// Bounds of the random pause between two later fetches of the catalog, in milliseconds.
const REFRESH_MS: (u64, u64) = (240_000, 360_000);

impl Controller {
    /// Keeps this controller's catalog up to date. The first catalog is the copy that a leader has stored, which is
    /// available sooner and even while the cloud is down, or else comes from the cloud; later ones come from the
    /// cloud.
    pub(crate) fn catalog_loop(&self) {
        while self.catalog().is_none() {
            if let Some(catalog) = self.load_catalog() {
                self.set_catalog(&catalog);
            } else if let Ok(catalog) = self.fetch_catalog() {
                self.set_catalog(&catalog);
            } else {
                random_pause(&*self.os, RETRY_MS.0, RETRY_MS.1);
            }
        }
        loop {
            random_pause(&*self.os, REFRESH_MS.0, REFRESH_MS.1);
            if let Ok(catalog) = self.fetch_catalog() {
                self.set_catalog(&catalog);
            }
        }
    }

    /// Passes a catalog to the request handlers and to the scheduler.
    pub(super) fn set_catalog(&self, catalog: &Catalog) {
        let types = Arc::new(catalog.types());
        *self.catalog.lock().unwrap_or_else(|e| e.into_inner()) = Some(types.clone());
        if let Some(scheduler) = &mut self.state().scheduler {
            scheduler.provisioning.catalog = types.to_vec();
        }
    }

    /// Loads the catalog's copy from the store; `None` if there is none or it names no machine types.
    fn load_catalog(&self) -> Option<Catalog> {
        let row = self.store.get(CATALOG_KEY, StorePriority::Normal).ok()??;
        let catalog: Catalog = from_value(&row.data)?;
        (!catalog.machine_types.is_empty()).then_some(catalog)
    }

    /// Stores a copy, so that a restarted controller can accept submissions while the cloud is down. True if this
    /// needn't be tried again in this term: the copy is stored, or too large for the store.
    pub(super) fn save_catalog(&self, catalog: &Catalog) -> bool {
        let Some(guard) = self.state().leader_lease.as_ref().map(|l| l.precondition()) else {
            return false;
        };
        let data = to_value(catalog);
        if json_len(&data) > self.settings.settings.state.strictest().value_bytes() {
            log::info!(reason = "size"; "catalog not stored");
            return true;
        }
        let change = Change::write(CATALOG_KEY, data);
        self.store
            .transact(&[guard], &[change], StorePriority::Background)
            .is_ok()
    }
}
