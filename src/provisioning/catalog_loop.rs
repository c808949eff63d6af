//! The loop that gets the cloud's catalog, and the copy of the catalog in the store.

use super::wire::Catalog;
use crate::controller::Controller;
use crate::http::cbor::json_len;
use crate::os::random_pause;
use crate::store::{Change, StorePriority, from_value, to_value};
use std::sync::Arc;

/// The key of the catalog's copy.
const CATALOG_KEY: &str = "catalog";

/// Milliseconds between two attempts to get the first catalog, drawn between these.
const RETRY_MS: (u64, u64) = (300, 600);

/// Milliseconds after which the catalog is asked for again, drawn between these.
const REFRESH_MS: (u64, u64) = (240_000, 360_000);

impl Controller {
    /// Gets the catalog: at the start from the copy that a leader keeps, which is there sooner
    /// and even while the cloud is down, else from the cloud; then from the cloud now and then.
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

    /// Makes a catalog known to the request handlers and to the scheduler.
    pub(super) fn set_catalog(&self, catalog: &Catalog) {
        let types = Arc::new(catalog.types());
        *self.catalog.lock().unwrap_or_else(|e| e.into_inner()) = Some(types.clone());
        if let Some(scheduler) = &mut self.state().scheduler {
            scheduler.provisioning.catalog = types.to_vec();
        }
    }

    /// The catalog's copy in the store, if there is one that names any machine types.
    fn load_catalog(&self) -> Option<Catalog> {
        let row = self.store.get(CATALOG_KEY, StorePriority::Normal).ok()??;
        let catalog: Catalog = from_value(&row.data)?;
        (!catalog.machine_types.is_empty()).then_some(catalog)
    }

    /// Keeps a copy, so that a restarted controller can take submissions while the cloud is down. True if it
    /// needn't be tried again in this term.
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
