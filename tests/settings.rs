//! Bad settings and flags end the program at once, with one line that names the field.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use aspenreel::settings::Settings;
use aspenreel::time::Micros;
use insta::assert_snapshot;
use std::process::Command;

pub const GOOD: &str = r#"
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

fn run(args: &[&str], level: &str) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_aspenreel"))
        .args(args)
        .env("LOG_LEVEL", level)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    (out.status.code(), text)
}

fn with_settings(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("aspenreel-{}-{name}.toml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let (code, err) = run(&["serve", "--config", path.to_str().unwrap()], "info");
    let _ = std::fs::remove_file(&path);
    assert_eq!(code, Some(2), "{err}");
    assert_eq!(err.lines().count(), 1, "{err}");
    err.trim().to_string()
}

#[test]
fn bad_settings_name_their_field() {
    assert!(aspenreel::settings::Settings::parse(GOOD).is_ok());
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
    let mut told = String::new();
    for (name, from, to) in cases {
        let text = if to.is_empty() {
            from.to_string()
        } else {
            assert!(GOOD.contains(from), "{from}");
            GOOD.replacen(from, to, 1)
        };
        told += &format!("{name}: {}\n", with_settings(name, &text));
    }
    insta::assert_snapshot!(told);
}

/// What is small but can be run with is said, and doesn't end the program.
#[test]
fn small_quotas_are_told() {
    let warnings = |quota: &str| {
        let text = GOOD.replacen("memory_mb = 40.0", quota, 1);
        let settings = aspenreel::settings::Settings::parse(&text).unwrap();
        settings.settings.quota.warnings().join("\n")
    };
    assert_eq!(warnings("memory_mb = 40.0, cpu_share = 0.019"), "");
    let told = warnings("memory_mb = 8.0, cpu_share = 0.005");
    assert!(
        told.contains("`settings.quota.cpu_share`: 0.005 is below 0.01"),
        "{told}"
    );
    assert!(
        told.contains("`settings.quota.memory_mb`: 8 is below 16"),
        "{told}"
    );
}

#[test]
fn bad_flags_and_files_are_told() {
    let (code, err) = run(&["serve", "--config", "/nowhere/at-all.toml"], "info");
    assert_eq!(code, Some(2));
    assert!(err.contains("/nowhere/at-all.toml"), "{err}");
    let (code, err) = run(&["serve", "--config", "x", "--no-such-flag"], "info");
    assert_eq!(code, Some(2));
    assert!(err.contains("--no-such-flag"), "{err}");
    let (code, err) = run(&["serve", "--config", "x", "--round-ms", "0"], "info");
    assert_eq!(code, Some(2));
    assert!(err.contains("--record-round-ms"), "{err}");
    let (code, err) = run(&["serve", "--config", "x"], "loud");
    assert_eq!(code, Some(2));
    assert!(err.contains("LOG_LEVEL"), "{err}");
    let (code, _) = run(&["--help"], "info");
    assert_eq!(code, Some(0));
}

/// Flags and variables that were renamed go on working under their earlier names; the new one wins.
#[test]
fn earlier_names_of_flags_and_variables() {
    let path = std::env::temp_dir().join(format!("aspenreel-{}-names.toml", std::process::id()));
    std::fs::write(&path, GOOD).unwrap();
    let lease_asked = |flags: &[&str], variables: &[(&str, &str)]| {
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
    assert_eq!(lease_asked(&["--hold-ms", "30000"], &[]), "30000");
    assert_eq!(lease_asked(&["--leader-lease-ms", "30000"], &[]), "30000");
    assert_eq!(lease_asked(&[], &[earlier]), "30001");
    assert_eq!(lease_asked(&[], &[earlier, newer]), "30002");
    assert_eq!(
        lease_asked(&["--hold-ms", "30000"], &[earlier, newer]),
        "30000"
    );
    let patience = Command::new(env!("CARGO_BIN_EXE_aspenreel"))
        .args(["serve", "--dear-patience-ms", "x", "--config"])
        .arg(&path)
        .output()
        .unwrap();
    let told = String::from_utf8(patience.stderr).unwrap();
    assert!(told.contains("--on-demand-max-wait-ms"), "{told}");
    std::fs::remove_file(&path).unwrap();
}

/// A cancellation's time is arithmetic: the lease of a leader that was refused alone, then the lease
/// of a worker that went on reporting to it. Settings and flags with which the sum could be above
/// `cancel_s` end the process; the largest value that works is named, and works.
#[test]
fn a_cancellation_fits_into_its_time() {
    let with = |lease: &str, hold: &str| {
        let text = GOOD.replace("lease_s = 20.0", &format!("lease_s = {lease}"));
        let path = std::env::temp_dir().join(format!(
            "aspenreel-{}-bound-{lease}-{hold}.toml",
            std::process::id()
        ));
        std::fs::write(&path, text).unwrap();
        let file = path.to_str().unwrap();
        let (code, err) = run(&["serve", "--hold-ms", hold, "--config", file], "info");
        let _ = std::fs::remove_file(&path);
        assert_eq!((code, err.lines().count()), (Some(2), 1), "{err}");
        err.trim().to_string()
    };
    let (hold, lease) = (with("20.0", "20000"), with("39.0", "8000"));
    assert_snapshot!(
        "a_cancellation_fits_into_its_time",
        format!("{hold}\n{lease}")
    );
    let settings = |lease: &str| {
        Settings::parse(&GOOD.replace("lease_s = 20.0", &format!("lease_s = {lease}"))).unwrap()
    };
    let fits = |lease: &str, hold: u64| {
        let hold = Micros::from_millis(hold);
        settings(lease).leader_lease(Some(hold)).is_ok()
    };
    assert!(fits("20.0", 18_980) && !fits("20.0", 18_981), "{hold}");
    assert!(fits("37.962", 1000) && !fits("37.963", 1000), "{lease}");
    // Unless it is asked for, it is shorter where it must be, and nobody has to set anything.
    let usual = |lease: &str| settings(lease).leader_lease(None).unwrap();
    assert_eq!(usual("20.0"), Micros::from_millis(8000));
    assert_eq!(usual("35.0"), Micros::from_millis(3965));
}
