//! Messages of the cloud's HTTP API. Their names on the wire appear only here, as serde names.

use super::{ListStatus, MachineType};
use crate::http::cbor::Number;
use crate::placement::Resources;
use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// The catalog, as the cloud sends it and as it is stored under the key `catalog`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Catalog {
    /// The machine types that can be requested.
    #[serde(rename = "builds")]
    pub machine_types: Vec<CatalogMachineType>,
}

/// A machine type of the catalog.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CatalogMachineType {
    /// Name of the type, unique in the catalog.
    #[serde(rename = "label")]
    pub name: String,
    /// Number of CPUs of a machine.
    pub cpus: Number,
    /// Number of GPUs of a machine; none if absent.
    #[serde(default)]
    pub gpus: Option<Number>,
    /// Memory of a machine, in GB.
    #[serde(rename = "ramGb")]
    pub ram_gb: Number,
    /// Size of the image cache, in GB.
    #[serde(rename = "cacheGb")]
    pub cache_gb: Number,
    /// Rate at which images are fetched, in GB per second.
    #[serde(rename = "fetchGbPerS")]
    pub fetch_gb_per_s: Number,
    /// Price of an on-demand machine.
    #[serde(rename = "rate")]
    pub price: Number,
    /// Price of a spot machine.
    #[serde(rename = "lowPrice")]
    pub spot_price: Number,
    /// Time that a new machine takes to boot, in seconds.
    #[serde(rename = "startupS")]
    pub boot_s: Number,
    /// Zones in which the type is offered.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl Catalog {
    /// The machine types as the scheduler uses them, in the catalog's order.
    pub fn types(&self) -> Vec<MachineType> {
        let types = self.machine_types.iter();
        types.map(CatalogMachineType::to_domain).collect()
    }
}

impl CatalogMachineType {
    fn to_domain(&self) -> MachineType {
        let gpus = self.gpus.unwrap_or_default();
        MachineType {
            name: self.name.clone(),
            capacity: Resources::capacity(self.cpus.0, gpus.0, self.ram_gb.0),
            cache_gb: self.cache_gb.0,
            fetch_gb_per_s: self.fetch_gb_per_s.0,
            price: self.price.0,
            spot_price: self.spot_price.0,
            boot_time: Micros::from_secs_f64(self.boot_s.0),
            zones: self.zones.clone(),
        }
    }
}

/// The body of a request for machines.
#[derive(Debug, Serialize)]
pub struct ProvisioningCall<'a> {
    /// Name of the request: the cloud executes requests of the same name only once.
    #[serde(rename = "hire")]
    pub request: &'a str,
    /// The machine type's name.
    #[serde(rename = "build")]
    pub type_name: &'a str,
    /// The zone.
    #[serde(rename = "yard")]
    pub zone: &'a str,
    /// True for spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines requested.
    pub count: u32,
}

/// Names of machines that were granted, are to be returned, or were returned.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// A page of the machine list.
#[derive(Debug, Deserialize)]
pub struct MachineList {
    /// The machines, by name.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// True if more machines follow after the last one.
    #[serde(default)]
    pub more: bool,
}

/// A machine as the cloud lists it.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine; names are never reused.
    #[serde(rename = "ref")]
    pub name: String,
    /// The machine type's name.
    #[serde(rename = "build")]
    pub type_name: String,
    /// The zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// True for a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// State of the machine.
    pub status: ListStatus,
    /// Time for which the machine has been held, as of the list, in seconds.
    #[serde(rename = "heldS", default)]
    pub held_s: Number,
}

/// The body of a response that refuses a request.
#[derive(Deserialize)]
struct Refusal {
    error: String,
}

/// True if the body says that the cloud has no such machines now.
pub(super) fn is_no_capacity(body: &[u8]) -> bool {
    crate::http::cbor::decode::<Refusal>(body).is_ok_and(|r| r.error == "no capacity")
}
