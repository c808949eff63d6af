//! Settings, flags and environment variables: with an invalid value the program exits at once, with a message of one
//! line that names the field or flag.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use aspenreel::settings::Settings;
use aspenreel::time::Micros;
use insta::assert_snapshot;
use std::process::Command;

/// Valid settings. `tests/upgrade.rs` reads them from this file as well, as its first raw string.
const VALID_SETTINGS: &str = r#"
node = "n-0"
location = "east"
public_addr = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
future_field = "ignored"

[[members]]
node = "n-1"
location = "east"
peer_addr = "127.0.0.1:2"

[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"

[settings]
zones = ["east"]
skew_ms = 5.0
teams = [{ name = "a", cpus = 1.0, cpus_max = 2.0 }]
workers = { report_s = 3.0, lease_s = 20.0, cancel_s = 40.0 }
state = { rps = 100.0, write_rps = 20.0, value_kb = 8.0, txn_ops = 12 }
cloud = { rps = 5.0, list_lag_s = 5.0 }
quota = { sockets = 500, memory_mb = 40.0 }
"#;

/// Runs the program. Returns its exit code and what it wrote to standard error.
fn run(args: &[&str], level: &str) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_aspenreel"))
        .args(args)
        .env("LOG_LEVEL", level)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    (out.status.code(), text)
}

/// Runs the program with these invalid settings, and returns its error message.
fn settings_error(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("aspenreel-{}-{name}.toml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let (code, stderr) = run(&["serve", "--config", path.to_str().unwrap()], "info");
    let _ = std::fs::remove_file(&path);
    assert_eq!(code, Some(2), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    stderr.trim().to_string()
}

#[test]
fn errors_of_invalid_settings_name_the_field() {
    assert!(aspenreel::settings::Settings::parse(VALID_SETTINGS).is_ok());
    let cases = [
        ("broken", "node = ", ""),
        ("missing", "node = \"n-0\"\n", ""),
        ("type", "skew_ms = 5.0", "skew_ms = \"five\""),
        ("absurd", "lease_s = 20.0", "lease_s = 2.0"),
        ("negative", "rps = 100.0", "rps = -1.0"),
        ("limit", "cpus_max = 2.0", "cpus_max = 0.5"),
        ("address", "127.0.0.1:4", "nowhere"),
        ("memory", "memory_mb = 40.0", "memory_mb = 3.0"),
        ("share", "memory_mb = 40.0", "cpu_share = 0.0005"),
        ("itself", "node = \"n-1\"", "node = \"n-0\""),
    ];
    let mut errors = String::new();
    for (name, from, to) in cases {
        let text = if to.is_empty() {
            from.to_string()
        } else {
            assert!(VALID_SETTINGS.contains(from), "{from}");
            VALID_SETTINGS.replacen(from, to, 1)
        };
        errors += &format!("{name}: {}\n", settings_error(name, &text));
    }
    insta::assert_snapshot!(errors);
}

/// A quota that is small but sufficient is accepted, with a warning that names the field.
#[test]
fn small_quotas_are_accepted_with_a_warning() {
    let warnings = |quota: &str| {
        let text = VALID_SETTINGS.replacen("memory_mb = 40.0", quota, 1);
        let settings = aspenreel::settings::Settings::parse(&text).unwrap();
        settings.settings.quota.warnings().join("\n")
    };
    assert_eq!(warnings("memory_mb = 40.0, cpu_share = 0.019"), "");
    let warning = warnings("memory_mb = 8.0, cpu_share = 0.005");
    assert!(
        warning.contains("`settings.quota.cpu_share`: 0.005 is below 0.01"),
        "{warning}"
    );
    assert!(
        warning.contains("`settings.quota.memory_mb`: 8 is below 16"),
        "{warning}"
    );
}

#[test]
fn errors_of_invalid_flags_and_missing_files_name_them() {
    let (code, stderr) = run(&["serve", "--config", "/nowhere/at-all.toml"], "info");
    assert_eq!(code, Some(2));
    assert!(stderr.contains("/nowhere/at-all.toml"), "{stderr}");
    let (code, stderr) = run(&["serve", "--config", "x", "--no-such-flag"], "info");
    assert_eq!(code, Some(2));
    assert!(stderr.contains("--no-such-flag"), "{stderr}");
    let (code, stderr) = run(&["serve", "--config", "x", "--round-ms", "0"], "info");
    assert_eq!(code, Some(2));
    assert!(stderr.contains("--record-round-ms"), "{stderr}");
    let (code, stderr) = run(&["serve", "--config", "x"], "loud");
    assert_eq!(code, Some(2));
    assert!(stderr.contains("LOG_LEVEL"), "{stderr}");
    let (code, _) = run(&["--help"], "info");
    assert_eq!(code, Some(0));
}

/// Flags and environment variables that were renamed are still accepted under their earlier names. If a variable is
/// set under both names, the newer name takes precedence.
#[test]
fn earlier_names_of_flags_and_variables_are_accepted() {
    let path = std::env::temp_dir().join(format!("aspenreel-{}-names.toml", std::process::id()));
    std::fs::write(&path, VALID_SETTINGS).unwrap();
    // Each lease given below is too long. Returns the value that the message states.
    let rejected_lease = |flags: &[&str], variables: &[(&str, &str)]| {
        let output = Command::new(env!("CARGO_BIN_EXE_aspenreel"))
            .arg("serve")
            .args(flags)
            .arg("--config")
            .arg(&path)
            .envs(variables.iter().copied())
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(2));
        let line = String::from_utf8(output.stderr).unwrap();
        let (_, rest) = line.split_once(", is ").unwrap();
        rest.split(':').next().unwrap().to_string()
    };
    let earlier = ("ASPENREEL_HOLD_MS", "30001");
    let newer = ("ASPENREEL_LEADER_LEASE_MS", "30002");
    assert_eq!(rejected_lease(&["--hold-ms", "30000"], &[]), "30000");
    assert_eq!(
        rejected_lease(&["--leader-lease-ms", "30000"], &[]),
        "30000"
    );
    assert_eq!(rejected_lease(&[], &[earlier]), "30001");
    assert_eq!(rejected_lease(&[], &[earlier, newer]), "30002");
    assert_eq!(
        rejected_lease(&["--hold-ms", "30000"], &[earlier, newer]),
        "30000"
    );
    let output = Command::new(env!("CARGO_BIN_EXE_aspenreel"))
        .args(["serve", "--dear-patience-ms", "x", "--config"])
        .arg(&path)
        .output()
        .unwrap();
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(message.contains("--on-demand-max-wait-ms"), "{message}");
    std::fs::remove_file(&path).unwrap();
}

/// The time limit of a cancellation covers the lease of a leader that alone can't write to the key-value store,
/// followed by the lease of a worker that goes on reporting to this leader. The program exits if the sum could exceed
/// `cancel_s` with the given settings and flags. The message states the largest value that is accepted, and that
/// value is accepted.
#[test]
fn leases_that_exceed_the_cancellation_bound_are_rejected() {
    let error_with = |worker_lease_s: &str, leader_lease_ms: &str| {
        let text = VALID_SETTINGS.replace("lease_s = 20.0", &format!("lease_s = {worker_lease_s}"));
        let path = std::env::temp_dir().join(format!(
            "aspenreel-{}-bound-{worker_lease_s}-{leader_lease_ms}.toml",
            std::process::id()
        ));
        std::fs::write(&path, text).unwrap();
        let file = path.to_str().unwrap();
        let (code, stderr) = run(
            &["serve", "--hold-ms", leader_lease_ms, "--config", file],
            "info",
        );
        let _ = std::fs::remove_file(&path);
        assert_eq!((code, stderr.lines().count()), (Some(2), 1), "{stderr}");
        stderr.trim().to_string()
    };
    let leader_lease_error = error_with("20.0", "20000");
    let worker_lease_error = error_with("39.0", "8000");
    assert_snapshot!(
        "leases_that_exceed_the_cancellation_bound_are_rejected",
        format!("{leader_lease_error}\n{worker_lease_error}")
    );
    let settings = |worker_lease_s: &str| {
        Settings::parse(
            &VALID_SETTINGS.replace("lease_s = 20.0", &format!("lease_s = {worker_lease_s}")),
        )
        .unwrap()
    };
    let fits = |worker_lease_s: &str, leader_lease_ms: u64| {
        let leader_lease = Micros::from_millis(leader_lease_ms);
        settings(worker_lease_s)
            .leader_lease(Some(leader_lease))
            .is_ok()
    };
    assert!(
        fits("20.0", 18_980) && !fits("20.0", 18_981),
        "{leader_lease_error}"
    );
    assert!(
        fits("37.962", 1000) && !fits("37.963", 1000),
        "{worker_lease_error}"
    );
    // Without the flag the default is shortened where necessary, so that no one has to set it.
    let default_lease = |worker_lease_s: &str| settings(worker_lease_s).leader_lease(None).unwrap();
    assert_eq!(default_lease("20.0"), Micros::from_millis(8000));
    assert_eq!(default_lease("35.0"), Micros::from_millis(3965));
}
