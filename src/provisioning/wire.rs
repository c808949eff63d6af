//! The cloud's messages as they stand on the wire.

use super::{ListStatus, MachineType};
use crate::http::cbor::Number;
use crate::placement::Resources;
use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// The catalog, as the cloud gives it and as `catalog` in the state service keeps it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Catalog {
    pub builds: Vec<Build>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Build {
    pub label: String,
    pub cpus: Number,
    #[serde(default)]
    pub gpus: Option<Number>,
    #[serde(rename = "ramGb")]
    pub ram_gb: Number,
    #[serde(rename = "cacheGb")]
    pub cache_gb: Number,
    #[serde(rename = "fetchGbPerS")]
    pub fetch_gb_per_s: Number,
    pub rate: Number,
    #[serde(rename = "lowPrice")]
    pub low_price: Number,
    #[serde(rename = "startupS")]
    pub startup_s: Number,
    pub yards: Vec<String>,
}

impl Catalog {
    pub fn types(&self) -> Vec<MachineType> {
        self.builds
            .iter()
            .map(|b| MachineType {
                name: b.label.clone(),
                capacity: Resources::capacity(b.cpus.0, b.gpus.unwrap_or_default().0, b.ram_gb.0),
                cache_gb: b.cache_gb.0,
                fetch_gb_per_s: b.fetch_gb_per_s.0,
                price: b.rate.0,
                spot_price: b.low_price.0,
                boot: Micros::from_secs_f64(b.startup_s.0),
                zones: b.yards.clone(),
            })
            .collect()
    }
}

#[derive(Debug, Serialize)]
pub struct ProvisioningCall<'a> {
    pub hire: &'a str,
    pub build: &'a str,
    pub yard: &'a str,
    pub loaners: bool,
    pub count: u32,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Names {
    pub hosts: Vec<String>,
}

#[derive(Debug, Deserialize)]
pub struct MachineList {
    pub hosts: Vec<ListedMachine>,
    #[serde(default)]
    pub more: bool,
}

#[derive(Clone, Debug, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "ref")]
    pub name: String,
    #[serde(rename = "build")]
    pub type_name: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    pub status: ListStatus,
    #[serde(rename = "heldS", default)]
    pub held_s: Number,
}
