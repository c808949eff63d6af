//! What the cloud offers: machine types, and the offers that can be requested.

use crate::placement::Resources;
use crate::time::Micros;

/// One machine type of the cloud's catalog.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Its name, unique in the catalog.
    pub name: String,
    /// What an empty machine of the type holds.
    pub capacity: Resources,
    /// The size of its image cache, in GB.
    pub cache_gb: f64,
    /// How fast it fetches images, in GB a second.
    pub fetch_gb_per_s: f64,
    /// The price of an on-demand machine, in the cloud's unit.
    pub price: f64,
    /// The price of a spot machine, in the same unit.
    pub spot_price: f64,
    /// How long a new machine takes to boot.
    pub boot: Micros,
    /// The zones in which it can be had.
    pub zones: Vec<String>,
}

impl MachineType {
    /// The price of a spot or an on-demand machine.
    pub(super) fn price_of(&self, spot: bool) -> f64 {
        match spot {
            true => self.spot_price,
            false => self.price,
        }
    }

    /// The same for each thousandth of a CPU.
    pub(super) fn price_per_cpu(&self, spot: bool) -> f64 {
        self.price_of(spot) / self.capacity.cpu.max(1) as f64
    }
}

/// A machine's state in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListStatus {
    /// It boots.
    Starting,
    /// It is up.
    Running,
    /// It stopped by itself, and everything on it with it.
    Failed,
    /// A state that this version doesn't know.
    #[serde(other)]
    Other,
}

/// What can be requested: a machine type, in a zone, spot or on-demand.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// The type's index in the catalog.
    pub type_index: usize,
    /// The zone's name.
    pub zone: String,
    /// True for a spot machine, which the cloud may take back; false for an on-demand one.
    pub spot: bool,
}

/// An offer with its present price.
pub(super) struct PricedOffer {
    pub(super) offer: Offer,
    pub(super) price: f64,
}
