//! What the simulated cloud remembers, and the pages of its machine list.

use crate::scheduler::Time;
use std::collections::BTreeMap;

/// Machines on one page of the list, at most.
const MAX_LISTED: usize = 500;

/// Where a page of the machine list begins, and how many it may hold.
pub fn parse_page_query(path: &str) -> (String, usize) {
    let query = path.split_once('?').map_or("", |(_, query)| query);
    let value = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    let since = value("since").unwrap_or("").to_string();
    let most = value("most")
        .and_then(|m| m.parse().ok())
        .unwrap_or(MAX_LISTED);
    (since, most.min(MAX_LISTED))
}

/// What the simulated cloud remembers.
#[derive(Default)]
pub struct CloudState {
    pub(crate) machines_created: u32,
    /// The machines that each provisioning request got, by the request's name.
    pub(crate) provisioning_requests: BTreeMap<String, Vec<String>>,
    /// Requests that count against the limit, and when that was worked out.
    pub(crate) recent_requests: f64,
    pub(crate) counted_at: Time,
    /// It answers nothing but errors until then.
    pub down_until: Time,
    /// Machines come up within two seconds until then.
    pub fast_boot_until: Time,
}
