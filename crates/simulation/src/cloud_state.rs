//! State of the simulated cloud, and paging of its machine list.

use crate::scheduler::Time;
use std::collections::BTreeMap;

/// Maximum number of machines on one page of the list.
const MAX_PAGE_SIZE: usize = 500;

/// Parses the path of a request for a page of the machine list: the name after which the page begins, and the
/// maximum number of machines on it.
pub fn parse_page_query(path: &str) -> (String, usize) {
    let query = path.split_once('?').map_or("", |(_, query)| query);
    let value = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    let after = value("since").unwrap_or("").to_string();
    let limit = value("most")
        .and_then(|m| m.parse().ok())
        .unwrap_or(MAX_PAGE_SIZE);
    (after, limit.min(MAX_PAGE_SIZE))
}

/// State of the simulated cloud.
#[derive(Default)]
pub struct CloudState {
    /// Number of machines created so far; it determines their names and addresses.
    pub(crate) machines_created: u32,
    /// Machines that each provisioning request got, by the id of the request.
    pub(crate) provisioning_requests: BTreeMap<String, Vec<String>>,
    /// Number of requests that count against the rate limit, as of `counted_at`.
    pub(crate) recent_requests: f64,
    /// Time at which `recent_requests` was computed.
    pub(crate) counted_at: Time,
    /// Time until which the cloud answers every request with an error.
    pub down_until: Time,
    /// Time until which new machines boot within two seconds.
    pub fast_boot_until: Time,
}
