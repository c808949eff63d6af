//! Whether the file's values make sense: the first that doesn't is named.

use super::{QuotaSettings, Settings, SettingsError, Site, StoreSettings, TeamSettings};
use std::collections::HashSet;

/// Below this part of a core no fleet is served (at 0.002 two hundred machines get next to nothing done).
const MIN_CPU_SHARE: f64 = 0.001;

/// The longest time of the workers that is believed, in seconds.
const MAX_WORKER_TIME_S: f64 = 86_400.0;

/// The largest rate that is believed, in requests a second.
const MAX_RATE: f64 = 1e7;

/// The largest value that is used, in KiB.
const MAX_VALUE_KB: f64 = 64.0;

/// Operations that the smallest transaction needs.
const MIN_TRANSACTION_OPERATIONS: usize = 4;

/// Sockets without which nothing runs.
const MIN_SOCKETS: usize = 32;

/// The largest amount in a team's quota that is believed.
const MAX_QUOTA: f64 = 1e9;

type Checked = Result<(), SettingsError>;

/// Refuses a field with that problem if it isn't as it must be.
fn require(is_met: bool, field: &str, problem: &str) -> Checked {
    match is_met {
        true => Ok(()),
        false => Err(SettingsError::field(field, problem)),
    }
}

/// Refuses a value out of its range; what is not a number is out of every range.
fn in_range(field: &str, value: f64, low: f64, high: f64) -> Checked {
    match (low..=high).contains(&value) {
        true => Ok(()),
        false => Err(SettingsError::field(
            field,
            format!("must be from {low} to {high}, is {value}"),
        )),
    }
}

impl Settings {
    /// Checks all fields; the first that is wrong is the error.
    pub(super) fn check(&self) -> Checked {
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

fn check_clocks_and_zones(site: &Site) -> Checked {
    let has_zones = !site.zones.is_empty();
    require(has_zones, "settings.zones", "must name at least one zone")?;
    let is_sane = (0.0..=3_600_000.0).contains(&site.skew_ms);
    require(is_sane, "settings.skew_ms", "must be from 0 to 3600000")
}

fn check_amounts(site: &Site) -> Checked {
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
    let outlasts = workers.lease_s > workers.report_s;
    require(
        outlasts,
        "settings.workers.lease_s",
        "must be longer than report_s",
    )
}

fn check_store(state: &StoreSettings) -> Checked {
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

fn check_transaction(field: &str, operations: Option<usize>) -> Checked {
    let is_enough = operations.is_none_or(|n| n >= MIN_TRANSACTION_OPERATIONS);
    require(is_enough, field, "must be at least 4")
}

fn check_quota(quota: &QuotaSettings) -> Checked {
    let is_sane = quota.memory_mb.is_none_or(|mb| (4.0..=1e7).contains(&mb));
    require(is_sane, "settings.quota.memory_mb", "must be from 4 to 1e7")?;
    if let Some(share) = quota.cpu_share {
        in_range("settings.quota.cpu_share", share, MIN_CPU_SHARE, 1e4)?;
    }
    let is_enough = quota.sockets >= MIN_SOCKETS;
    require(is_enough, "settings.quota.sockets", "must be at least 32")
}

fn check_teams(teams: &[TeamSettings]) -> Checked {
    let mut names = HashSet::new();
    for team in teams {
        let field = |name: &str| format!("settings.teams.{}.{name}", team.name);
        require(
            names.insert(team.name.as_str()),
            &field("name"),
            "is there twice",
        )?;
        for (name, guaranteed, limit) in [
            ("cpus", team.cpus, team.cpus_max),
            ("gpus", team.gpus, team.gpus_max),
        ] {
            let believed = 0.0..=MAX_QUOTA;
            let is_sane = believed.contains(&guaranteed) && believed.contains(&limit);
            require(is_sane, &field(name), "must be from 0 to 1e9")?;
            require(
                guaranteed <= limit,
                &field(name),
                "must not be above its limit",
            )?;
        }
    }
    Ok(())
}
