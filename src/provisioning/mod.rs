//! The fleet: which machines are wanted, rented and returned.

mod cloud_sync_loop;
mod headroom;
mod machine_list;
mod scale_in;
mod scale_out;
pub mod wire;

use crate::jobs::rounds::{Write, WriteKind, page_write};
use crate::placement::Resources;
use crate::scheduler::SchedulerState;
use crate::state_store::pages::Pages;
use crate::time::{Micros, Moment};
use std::collections::{BTreeSet, HashMap};

/// One machine type of the cloud's catalog.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    pub name: String,
    pub capacity: Resources,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot: Micros,
    pub zones: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListStatus {
    Starting,
    Running,
    Failed,
    #[serde(other)]
    Other,
}

/// A kind of machine that can be asked for: type, zone, spot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    pub type_index: usize,
    pub zone: String,
    pub spot: bool,
}

/// A rental request. The same name always carries the same request, and is never used again.
#[derive(Clone, Debug)]
pub struct ProvisioningRequest {
    pub name: String,
    pub offer: Offer,
    pub type_name: String,
    pub count: u32,
}

#[derive(Debug)]
pub enum ProvisioningResult {
    Granted(Vec<String>),
    NoCapacity,
    /// May have been executed: the same request is repeated.
    Unknown,
}

#[derive(Debug, Default)]
pub struct Provisioning {
    pub catalog: Vec<MachineType>,
    /// Rentals without an answer yet.
    pub requests: Vec<ProvisioningRequest>,
    request_count: u32,
    no_capacity_until: HashMap<Offer, Moment>,
    /// Names of machines that are gone for good; late reports and lists still name them.
    gone: BTreeSet<String>,
    /// Missing from the last list, though old enough to be in it.
    unlisted: BTreeSet<String>,
    /// A list was read under this term: before, nobody knows what is rented already.
    pub was_listed: bool,
    pub last_listed_at: Option<Moment>,
    /// When rentals were last planned.
    planned: Option<Moment>,
    /// Machines that may hold tasks. A machine is written down before its first one, as soon as
    /// it is heard from. Sooner would spare its first task a wait, but a takeover then waits for
    /// every machine that is still booting, and some machine nearly always is.
    pub registry: Pages<u64>,
}

/// The key prefix of the roster: machines that may hold tasks, and until when they surely existed,
/// by the writing node's time of day.
pub const REGISTRY_PREFIX: &str = "fleet/";

/// How long a refused kind of machine isn't asked for again.
const NO_CAPACITY_PAUSE: Micros = Micros::from_secs(10);
/// Most machines are up within this many times their boot time.
const LATE_BOOT: f64 = 1.5;
const MAX_REQUESTED: u32 = 50;
const MAX_SCALE_IN: usize = 100;

impl Provisioning {
    /// Nothing known yet; pages of the registry hold at most so many bytes.
    pub fn new(value_bytes: usize) -> Provisioning {
        Provisioning {
            registry: Pages::new(value_bytes),
            ..Provisioning::default()
        }
    }

    pub fn is_gone(&self, name: &str) -> bool {
        self.gone.contains(name)
    }

    fn type_of(&self, name: &str) -> Option<&MachineType> {
        self.catalog.iter().find(|t| t.name == name)
    }

    pub fn capacity_of(&self, type_name: &str) -> Resources {
        self.type_of(type_name)
            .map(|t| t.capacity)
            .unwrap_or_default()
    }

    fn boot_of(&self, type_name: &str) -> Option<Micros> {
        self.type_of(type_name).map(|t| t.boot)
    }

    pub fn cache_gb_of(&self, type_name: &str) -> f64 {
        self.type_of(type_name).map_or(0.0, |t| t.cache_gb)
    }

    pub fn fetch_gb_per_s_of(&self, type_name: &str) -> f64 {
        self.type_of(type_name)
            .map_or(1.0, |t| t.fetch_gb_per_s)
            .max(0.01)
    }

    /// How much more a CPU costs on such a machine than on the cheapest: 0 for the cheapest.
    pub fn price_premium(&self, type_name: &str, spot: bool) -> f64 {
        let per_cpu = |t: &MachineType, spot: bool| {
            let price = if spot { t.spot_price } else { t.price };
            price / t.capacity.cpu.max(1) as f64
        };
        let cheapest = self
            .catalog
            .iter()
            .map(|t| per_cpu(t, true).min(per_cpu(t, false)))
            .fold(f64::INFINITY, f64::min);
        let own = self
            .type_of(type_name)
            .map_or(cheapest, |t| per_cpu(t, spot));
        if cheapest > 0.0 && cheapest.is_finite() {
            (own / cheapest - 1.0).max(0.0)
        } else {
            0.0
        }
    }

    /// Everything that can be asked for, with its present price.
    fn offers(&self) -> Vec<(Offer, f64)> {
        let mut offers = Vec::new();
        for (type_index, t) in self.catalog.iter().enumerate() {
            for zone in &t.zones {
                for spot in [true, false] {
                    let price = if spot { t.spot_price } else { t.price };
                    let offer = Offer {
                        type_index,
                        zone: zone.clone(),
                        spot,
                    };
                    offers.push((offer, price));
                }
            }
        }
        offers
    }
}

impl SchedulerState {
    /// Sees to it that a machine is on the roster; true if it surely is already.
    pub fn register(&mut self, name: &str, now: Moment) -> bool {
        if !self.provisioning.registry.contains(name) {
            let at = self.wall(now).0;
            self.provisioning.registry.put(name, at);
            self.writes_due = true;
        }
        self.provisioning.registry.is_stored(name)
    }

    /// Pages of the roster that differ from what is stored; without `tidy` only those with new
    /// machines.
    pub fn pending_registry_writes(&self, tidy: bool) -> Vec<Write> {
        let due = self.provisioning.registry.due(tidy).into_iter();
        due.map(|image| page_write(REGISTRY_PREFIX, image, WriteKind::Registry))
            .collect()
    }
}
