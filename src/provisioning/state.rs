//! The leader's state of provisioning: catalog, open requests, refused offers, and machines that are gone.

use super::catalog::PricedOffer;
use super::{MachineType, Offer, ProvisioningRequest};
use crate::placement::Resources;
use crate::store::paged_map::PagedMap;
use crate::time::{Micros, Moment};
use std::collections::{BTreeSet, HashMap};

/// Time for which a refused offer isn't requested again.
const NO_CAPACITY_PAUSE: Micros = Micros::from_secs(10);

/// Multiple of their boot time within which most machines are up.
const LATE_BOOT_FACTOR: f64 = 1.5;

/// Minimum rate assumed for fetching an image, in GB per second.
const MIN_FETCH_RATE: f64 = 0.01;

/// Rate assumed for fetching an image if the machine's type isn't in the catalog, in GB per second.
const UNKNOWN_FETCH_RATE: f64 = 1.0;

/// The leader's knowledge of the cloud's machines, and its requests to the cloud.
#[derive(Debug, Default)]
pub struct Provisioning {
    /// The cloud's machine types; empty until a catalog is known.
    pub catalog: Vec<MachineType>,
    /// Requests without a response yet.
    pub requests: Vec<ProvisioningRequest>,
    /// Number of requests made in this term, which is also the number of the newest one.
    request_count: u32,
    /// Offers that were refused, and until when they aren't requested again.
    no_capacity_until: HashMap<Offer, Moment>,
    /// Names of machines that are gone for good, which late heartbeats and lists may still contain.
    gone: BTreeSet<String>,
    /// Machines that were missing from the last list although old enough to be in it.
    pub(super) unlisted: BTreeSet<String>,
    /// True once a machine list was received in this term. Before that it is unknown which machines exist already.
    pub has_machine_list: bool,
    /// When the machines were last reconciled with a list.
    pub last_listed_at: Option<Moment>,
    /// When scale-out was last planned.
    pub(super) last_planned_at: Option<Moment>,
    /// Machines that may hold tasks, each with a moment until which it is known to have existed, in microseconds
    /// since the Unix epoch.
    ///
    /// A machine is registered before its first task, as soon as its first heartbeat arrives. An earlier registration
    /// would save its first task a wait, but a failover would then wait for every machine that is still booting, and
    /// some machine nearly always is.
    pub registry: PagedMap<u64>,
}

impl Provisioning {
    /// The state of a new leader; pages of the registry hold at most `value_bytes` bytes.
    pub fn new(value_bytes: usize) -> Provisioning {
        Provisioning {
            registry: PagedMap::new(value_bytes),
            ..Provisioning::default()
        }
    }

    /// True if the machine is known to be gone for good.
    pub fn is_gone(&self, name: &str) -> bool {
        self.gone.contains(name)
    }

    fn type_of(&self, name: &str) -> Option<&MachineType> {
        self.catalog.iter().find(|t| t.name == name)
    }

    /// Capacity of an empty machine of the type; zero if the type is unknown.
    pub fn capacity_of(&self, type_name: &str) -> Resources {
        self.type_of(type_name)
            .map(|t| t.capacity)
            .unwrap_or_default()
    }

    /// Time that a machine of the type takes to boot; `None` if the type is unknown.
    pub(super) fn boot_time_of(&self, type_name: &str) -> Option<Micros> {
        self.type_of(type_name).map(|t| t.boot_time)
    }

    /// Size of the type's image cache, in GB; 0 if the type is unknown.
    pub fn cache_gb_of(&self, type_name: &str) -> f64 {
        self.type_of(type_name).map_or(0.0, |t| t.cache_gb)
    }

    /// Rate at which a machine of the type fetches images, in GB per second; always above 0.
    pub fn fetch_gb_per_s_of(&self, type_name: &str) -> f64 {
        self.type_of(type_name)
            .map_or(UNKNOWN_FETCH_RATE, |t| t.fetch_gb_per_s)
            .max(MIN_FETCH_RATE)
    }

    /// The amount by which a CPU on such a machine costs more than on the cheapest one, as a fraction of the cheapest
    /// price: 0 for the cheapest machine, and if prices aren't known.
    pub fn price_premium(&self, type_name: &str, spot: bool) -> f64 {
        let cheapest = self
            .catalog
            .iter()
            .map(|t| t.price_per_cpu(true).min(t.price_per_cpu(false)))
            .fold(f64::INFINITY, f64::min);
        let own = self
            .type_of(type_name)
            .map_or(cheapest, |t| t.price_per_cpu(spot));
        if cheapest > 0.0 && cheapest.is_finite() {
            (own / cheapest - 1.0).max(0.0)
        } else {
            0.0
        }
    }

    /// Everything that can be requested, with its current price.
    pub(super) fn offers(&self) -> Vec<PricedOffer> {
        let mut offers = Vec::new();
        for (type_index, t) in self.catalog.iter().enumerate() {
            for zone in &t.zones {
                for spot in [true, false] {
                    let offer = Offer {
                        type_index,
                        zone: zone.clone(),
                        spot,
                    };
                    let price = t.price_of(spot);
                    offers.push(PricedOffer { offer, price });
                }
            }
        }
        offers
    }

    /// False for an offer that was refused recently.
    pub(super) fn may_request(&self, offer: &Offer, now: Moment) -> bool {
        self.no_capacity_until
            .get(offer)
            .is_none_or(|until| *until <= now)
    }

    /// The offer for which `cost` is lowest among the spot or on-demand offers that were not refused recently. `cost`
    /// gets the machine type and the offer's price.
    pub(super) fn cheapest(
        &self,
        spot: bool,
        now: Moment,
        cost: impl Fn(&MachineType, f64) -> f64,
    ) -> Option<Offer> {
        let open = self
            .offers()
            .into_iter()
            .filter(|priced| priced.offer.spot == spot && self.may_request(&priced.offer, now));
        let with_cost = open.map(|PricedOffer { offer, price }| {
            let cost = cost(&self.catalog[offer.type_index], price);
            (cost, offer)
        });
        with_cost
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, offer)| offer)
    }

    /// Time within which most machines of the fastest-booting type are up after their request.
    pub(super) fn shortest_boot_time(&self) -> Micros {
        let boots = self.catalog.iter().map(|t| t.boot_time);
        boots.min().unwrap_or_default().scaled(LATE_BOOT_FACTOR)
    }

    /// Adds a request under a new name.
    pub(super) fn add_request(&mut self, term: u64, offer: Offer, count: u32) {
        self.request_count += 1;
        let type_name = self.catalog[offer.type_index].name.clone();
        self.requests.push(ProvisioningRequest {
            name: format!("r-{term}-{}", self.request_count),
            offer,
            type_name,
            count,
        });
    }

    /// Index of the open request of this name.
    pub(super) fn find_request(&self, name: &str) -> Option<usize> {
        self.requests.iter().position(|r| r.name == name)
    }

    /// Records that the cloud had no machines of the offer, or too few: it isn't requested again for a while.
    pub(super) fn note_no_capacity(&mut self, offer: Offer, now: Moment) {
        self.no_capacity_until
            .insert(offer, now + NO_CAPACITY_PAUSE);
    }

    /// Records that a machine is gone for good.
    pub(super) fn note_gone(&mut self, name: &str) {
        self.gone.insert(name.to_string());
    }

    /// Drops the oldest names of machines that are gone, so that at most `max` are kept.
    pub(super) fn limit_gone(&mut self, max: usize) {
        // Names sort in the order of creation: the first ones are the oldest.
        while self.gone.len() > max {
            self.gone.pop_first();
        }
    }
}
