//! What the leader knows of the cloud: its catalog, open requests, refused offers, and machines that are gone.

use super::catalog::PricedOffer;
use super::{MachineType, Offer, ProvisioningRequest};
use crate::placement::Resources;
use crate::store::paged_map::PagedMap;
use crate::time::{Micros, Moment};
use std::collections::{BTreeSet, HashMap};

/// How long a refused offer isn't asked for again.
const NO_CAPACITY_PAUSE: Micros = Micros::from_secs(10);

/// Most machines are up within this many times their boot time.
const LATE_BOOT: f64 = 1.5;

/// The least rate, in GB a second, that is counted with for fetching an image.
const MIN_FETCH_RATE: f64 = 0.01;

/// The rate that is counted with where a machine's type isn't in the catalog.
const UNKNOWN_FETCH_RATE: f64 = 1.0;

/// What the leader knows of the cloud's machines and has asked of it.
#[derive(Debug, Default)]
pub struct Provisioning {
    /// The cloud's machine types; empty until the catalog was read.
    pub catalog: Vec<MachineType>,
    /// Requests without an answer yet.
    pub requests: Vec<ProvisioningRequest>,
    /// Requests made in this term: the newest one's number.
    request_count: u32,
    /// Offers that were refused, and until when they aren't asked for again.
    no_capacity_until: HashMap<Offer, Moment>,
    /// Names of machines that are gone for good; late heartbeats and lists still name them.
    gone: BTreeSet<String>,
    /// Missing from the last list, though old enough to be in it.
    pub(super) unlisted: BTreeSet<String>,
    /// A list was read under this term: before, nobody knows which machines there are already.
    pub has_machine_list: bool,
    /// When the last list was taken in.
    pub last_listed_at: Option<Moment>,
    /// When scale-out was last planned.
    pub(super) last_planned_at: Option<Moment>,
    /// Machines that may hold tasks, and until when they surely existed, in microseconds of the time of day. A
    /// machine is registered before its first task, as soon as it is heard from. Sooner would spare its first task
    /// a wait, but a failover then waits for every machine that is still booting, and some machine nearly always is.
    pub registry: PagedMap<u64>,
}

impl Provisioning {
    /// Nothing known yet; pages of the registry hold at most so many bytes.
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

    /// What an empty machine of the type holds; nothing if the type is unknown.
    pub fn capacity_of(&self, type_name: &str) -> Resources {
        self.type_of(type_name)
            .map(|t| t.capacity)
            .unwrap_or_default()
    }

    /// How long a machine of the type takes to boot.
    pub(super) fn boot_of(&self, type_name: &str) -> Option<Micros> {
        self.type_of(type_name).map(|t| t.boot)
    }

    /// The size of the type's image cache in GB; 0 if the type is unknown.
    pub fn cache_gb_of(&self, type_name: &str) -> f64 {
        self.type_of(type_name).map_or(0.0, |t| t.cache_gb)
    }

    /// How fast a machine of the type fetches images, in GB a second; above 0.
    pub fn fetch_gb_per_s_of(&self, type_name: &str) -> f64 {
        self.type_of(type_name)
            .map_or(UNKNOWN_FETCH_RATE, |t| t.fetch_gb_per_s)
            .max(MIN_FETCH_RATE)
    }

    /// How much more a CPU costs on such a machine than on the cheapest, as a share of the cheapest price: 0 for
    /// the cheapest itself, and where prices aren't known.
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

    /// Everything that can be requested, with its present price.
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

    /// False for an offer that was refused lately.
    pub(super) fn may_request(&self, offer: &Offer, now: Moment) -> bool {
        self.no_capacity_until
            .get(offer)
            .is_none_or(|until| *until <= now)
    }

    /// The offer that costs least, by some measure, of those that were not refused lately.
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

    /// When most machines of the type that boots soonest are up after they were requested.
    pub(super) fn soonest_boot(&self) -> Micros {
        let boots = self.catalog.iter().map(|t| t.boot);
        boots.min().unwrap_or_default().scaled(LATE_BOOT)
    }

    /// Adds a request under a name that was never used.
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

    /// The open request of that name.
    pub(super) fn find_request(&self, name: &str) -> Option<usize> {
        self.requests.iter().position(|r| r.name == name)
    }

    /// The cloud had none, or too few, of these: they aren't asked for again for a while.
    pub(super) fn note_no_capacity(&mut self, offer: Offer, now: Moment) {
        self.no_capacity_until
            .insert(offer, now + NO_CAPACITY_PAUSE);
    }

    /// Remembers a machine that is gone for good.
    pub(super) fn note_gone(&mut self, name: &str) {
        self.gone.insert(name.to_string());
    }

    /// Forgets the oldest machines that are gone, so that at most so many are remembered.
    pub(super) fn limit_gone(&mut self, max: usize) {
        // Names come in the order of creation: the first ones are the oldest.
        while self.gone.len() > max {
            self.gone.pop_first();
        }
    }
}
