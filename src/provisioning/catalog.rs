//! The cloud's machine types, and the offers that can be requested.

use crate::placement::Resources;
use crate::time::Micros;

/// A machine type of the cloud's catalog.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Name, unique in the catalog.
    pub name: String,
    /// Capacity of an empty machine.
    pub capacity: Resources,
    /// Size of a machine's image cache, in GB.
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine, in the cloud's unit.
    pub price: f64,
    /// Price of a spot machine, in the same unit.
    pub spot_price: f64,
    /// Time that a new machine takes to boot.
    pub boot_time: Micros,
    /// Zones in which the type is offered.
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

    /// The price per thousandth of a CPU of a spot or an on-demand machine.
    pub(super) fn price_per_cpu(&self, spot: bool) -> f64 {
        self.price_of(spot) / self.capacity.cpu.max(1) as f64
    }
}

/// A machine's state in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListStatus {
    /// The machine is booting.
    Starting,
    /// The machine is up.
    Running,
    /// The machine stopped by itself, and everything on it stopped with it.
    Failed,
    /// A state that this version doesn't know.
    #[serde(other)]
    Other,
}

/// A kind of machine that can be requested: a machine type in a zone, spot or on-demand.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// Index of the machine type in the catalog.
    pub type_index: usize,
    /// The zone's name.
    pub zone: String,
    /// True for a spot machine, which the cloud may take back; false for an on-demand one.
    pub spot: bool,
}

/// An offer with its current price.
pub(super) struct PricedOffer {
    pub(super) offer: Offer,
    pub(super) price: f64,
}
