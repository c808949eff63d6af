//! Validation of the settings: the error names the first invalid field.

use super::{QuotaSettings, Settings, SettingsError, Site, StoreSettings, TeamSettings};
use std::collections::HashSet;

/// Minimum CPU share, as a fraction of a core: with less no fleet can be served (at 0.002 two hundred machines get
/// next to nothing done).
const MIN_CPU_SHARE: f64 = 0.001;

/// Maximum lease and cancellation time of workers, in seconds.
const MAX_WORKER_TIME_S: f64 = 86_400.0;

/// Maximum rate, in requests per second.
const MAX_RATE: f64 = 1e7;

/// Maximum size of a stored value, in KiB.
const MAX_VALUE_KB: f64 = 64.0;

/// Minimum limit of operations in a transaction: the smallest transaction needs this many.
const MIN_TRANSACTION_OPERATIONS: usize = 4;

/// Minimum number of sockets: a controller doesn't work with fewer.
const MIN_SOCKETS: usize = 32;

/// Maximum amount in a team's quota.
const MAX_QUOTA: f64 = 1e9;

type CheckResult = Result<(), SettingsError>;

/// Rejects a field with the given problem unless its condition is met.
fn require(is_met: bool, field: &str, problem: &str) -> CheckResult {
    match is_met {
        true => Ok(()),
        false => Err(SettingsError::field(field, problem)),
    }
}

/// Rejects a value outside of its range; NaN is outside of every range.
fn in_range(field: &str, value: f64, low: f64, high: f64) -> CheckResult {
    match (low..=high).contains(&value) {
        true => Ok(()),
        false => Err(SettingsError::field(
            field,
            format!("must be from {low} to {high}, is {value}"),
        )),
    }
}

impl Settings {
    /// Checks all fields; the error names the first invalid one.
    pub(super) fn check(&self) -> CheckResult {
        require(!self.node.is_empty(), "node", "must not be empty")?;
        let names_itself = self.members.iter().any(|m| m.node == self.node);
        require(!names_itself, "members", "must not name this node itself")?;
        let site = &self.settings;
        check_clocks_and_zones(site)?;
        check_amounts(site)?;
        check_store(&site.state)?;
        check_quota(&site.quota)?;
        check_teams(&site.teams)
    }
}

fn check_clocks_and_zones(site: &Site) -> CheckResult {
    let has_zones = !site.zones.is_empty();
    require(has_zones, "settings.zones", "must name at least one zone")?;
    let is_in_range = (0.0..=3_600_000.0).contains(&site.skew_ms);
    require(is_in_range, "settings.skew_ms", "must be from 0 to 3600000")
}

fn check_amounts(site: &Site) -> CheckResult {
    let (workers, state, cloud) = (&site.workers, &site.state, &site.cloud);
    let times = [
        ("settings.workers.report_s", workers.report_s, 0.1, 600.0),
        (
            "settings.workers.lease_s",
            workers.lease_s,
            1.0,
            MAX_WORKER_TIME_S,
        ),
        (
            "settings.workers.cancel_s",
            workers.cancel_s,
            1.0,
            MAX_WORKER_TIME_S,
        ),
        ("settings.state.rps", state.rps, 1.0, MAX_RATE),
        ("settings.state.write_rps", state.write_rps, 1.0, MAX_RATE),
        ("settings.state.value_kb", state.value_kb, 4.0, MAX_VALUE_KB),
        ("settings.cloud.rps", cloud.rps, 0.1, MAX_RATE),
        ("settings.cloud.list_lag_s", cloud.list_lag_s, 0.0, 3600.0),
    ];
    for (field, value, low, high) in times {
        in_range(field, value, low, high)?;
    }
    let is_longer = workers.lease_s > workers.report_s;
    require(
        is_longer,
        "settings.workers.lease_s",
        "must be longer than report_s",
    )
}

fn check_store(state: &StoreSettings) -> CheckResult {
    check_transaction("settings.state.txn_ops", Some(state.txn_ops))?;
    let Some(next) = &state.next else {
        return Ok(());
    };
    for (field, value, low, high) in [
        ("settings.state.next.rps", next.rps, 1.0, MAX_RATE),
        (
            "settings.state.next.write_rps",
            next.write_rps,
            1.0,
            MAX_RATE,
        ),
        (
            "settings.state.next.value_kb",
            next.value_kb,
            1.0,
            MAX_VALUE_KB,
        ),
    ] {
        if let Some(value) = value {
            in_range(field, value, low, high)?;
        }
    }
    check_transaction("settings.state.next.txn_ops", next.txn_ops)
}

fn check_transaction(field: &str, operations: Option<usize>) -> CheckResult {
    let is_enough = operations.is_none_or(|n| n >= MIN_TRANSACTION_OPERATIONS);
    require(is_enough, field, "must be at least 4")
}

fn check_quota(quota: &QuotaSettings) -> CheckResult {
    let is_in_range = quota.memory_mb.is_none_or(|mb| (4.0..=1e7).contains(&mb));
    require(
        is_in_range,
        "settings.quota.memory_mb",
        "must be from 4 to 1e7",
    )?;
    if let Some(share) = quota.cpu_share {
        in_range("settings.quota.cpu_share", share, MIN_CPU_SHARE, 1e4)?;
    }
    let is_enough = quota.sockets >= MIN_SOCKETS;
    require(is_enough, "settings.quota.sockets", "must be at least 32")
}

fn check_teams(teams: &[TeamSettings]) -> CheckResult {
    let mut names = HashSet::new();
    for team in teams {
        let field = |name: &str| format!("settings.teams.{}.{name}", team.name);
        require(
            names.insert(team.name.as_str()),
            &field("name"),
            "is used by more than one team",
        )?;
        for (name, guaranteed, limit) in [
            ("cpus", team.cpus, team.cpus_max),
            ("gpus", team.gpus, team.gpus_max),
        ] {
            let allowed = 0.0..=MAX_QUOTA;
            let is_in_range = allowed.contains(&guaranteed) && allowed.contains(&limit);
            require(is_in_range, &field(name), "must be from 0 to 1e9")?;
            require(
                guaranteed <= limit,
                &field(name),
                &format!("must not be above {name}_max"),
            )?;
        }
    }
    Ok(())
}
