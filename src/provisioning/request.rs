//! Requests for machines, and their results.

use super::Offer;

/// A request for machines. A name always stands for the same request, and is never reused for another one.
#[derive(Clone, Debug)]
pub struct ProvisioningRequest {
    /// Name of the request: the cloud executes a request that is repeated under its name only once.
    pub name: String,
    /// The kind of machine requested.
    pub offer: Offer,
    /// Name of the offer's machine type.
    pub type_name: String,
    /// Number of machines requested.
    pub count: u32,
}

/// The result of a request.
#[derive(Debug)]
pub enum ProvisioningResult {
    /// Names of the new machines, as many as were requested or fewer.
    Granted(Vec<String>),
    /// The cloud has no such machines now.
    NoCapacity,
    /// The request may have been executed, and is repeated.
    Unknown,
}
