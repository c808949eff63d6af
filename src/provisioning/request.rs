//! Requests for machines, and what came of them.

use super::Offer;

/// A request for machines. The same name always carries the same request, and is never used again.
#[derive(Clone, Debug)]
pub struct ProvisioningRequest {
    /// The name under which the cloud knows the request: repeated, it is executed once.
    pub name: String,
    /// What is asked for.
    pub offer: Offer,
    /// The name of the offer's machine type.
    pub type_name: String,
    /// How many machines.
    pub count: u32,
}

/// The cloud's answer to a request.
#[derive(Debug)]
pub enum ProvisioningResult {
    /// The names of the new machines, as many as were asked for or fewer.
    Granted(Vec<String>),
    /// The cloud has none of these now.
    NoCapacity,
    /// May have been executed: the same request is repeated.
    Unknown,
}
