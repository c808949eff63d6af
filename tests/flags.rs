//! Flags and environment variables that were renamed are still accepted under their earlier names, which the help
//! doesn't show.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use aspenreel::cli::{Cli, Command, ServeOptions};
use clap::Parser;
use std::process::Command as Process;

/// An option of `serve` with all its names.
struct RenamedOption {
    flag: &'static str,
    earlier_flags: &'static [&'static str],
    variable: &'static str,
    /// Ordered from the newest to the oldest.
    earlier_variables: &'static [&'static str],
    /// Returns the value of the option.
    value: fn(&ServeOptions) -> u64,
}

const RENAMED_OPTIONS: [RenamedOption; 7] = [
    RenamedOption {
        flag: "--record-round-ms",
        earlier_flags: &["--round-ms"],
        variable: "ASPENREEL_RECORD_ROUND_MS",
        earlier_variables: &["ASPENREEL_ROUND_MS"],
        value: |options| options.record_round_ms,
    },
    RenamedOption {
        flag: "--candidate-sample",
        earlier_flags: &["--sample"],
        variable: "ASPENREEL_CANDIDATE_SAMPLE",
        earlier_variables: &["ASPENREEL_SAMPLE"],
        value: |options| options.candidate_sample,
    },
    RenamedOption {
        flag: "--leader-lease-ms",
        earlier_flags: &["--hold-ms"],
        variable: "ASPENREEL_LEADER_LEASE_MS",
        earlier_variables: &["ASPENREEL_HOLD_MS"],
        value: |options| options.leader_lease_ms.unwrap(),
    },
    RenamedOption {
        flag: "--max-idle-ms",
        earlier_flags: &["--idle-ms"],
        variable: "ASPENREEL_MAX_IDLE_MS",
        earlier_variables: &["ASPENREEL_IDLE_MS"],
        value: |options| options.max_idle_ms,
    },
    RenamedOption {
        flag: "--on-demand-max-wait-ms",
        earlier_flags: &["--on-demand-patience-ms", "--dear-patience-ms"],
        variable: "ASPENREEL_ON_DEMAND_MAX_WAIT_MS",
        earlier_variables: &[
            "ASPENREEL_ON_DEMAND_PATIENCE_MS",
            "ASPENREEL_DEAR_PATIENCE_MS",
        ],
        value: |options| options.on_demand_max_wait_ms,
    },
    RenamedOption {
        flag: "--max-queue-wait-ms",
        earlier_flags: &["--patience-ms"],
        variable: "ASPENREEL_MAX_QUEUE_WAIT_MS",
        earlier_variables: &["ASPENREEL_PATIENCE_MS"],
        value: |options| options.max_queue_wait_ms,
    },
    RenamedOption {
        flag: "--headroom",
        earlier_flags: &["--reserve"],
        variable: "ASPENREEL_HEADROOM",
        earlier_variables: &["ASPENREEL_RESERVE"],
        value: |options| options.headroom,
    },
];

/// Returns the error message of the program, which rejects a value of these environment variables.
fn error_message(variables: &[(&str, &str)]) -> String {
    let output = Process::new(env!("CARGO_BIN_EXE_aspenreel"))
        .args(["serve", "--config", "/nowhere/at-all.toml"])
        .envs(variables.iter().copied())
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn current_and_earlier_flags_set_the_same_option() {
    for renamed in &RENAMED_OPTIONS {
        for flag in renamed.earlier_flags.iter().chain([&renamed.flag]) {
            let arguments = ["aspenreel", "serve", "--config", "x", flag, "1000"];
            let cli = Cli::try_parse_from(arguments).unwrap();
            let Command::Serve(options) = cli.command else {
                panic!("{flag}: another command")
            };
            assert_eq!((renamed.value)(&options), 1000, "{flag}");
        }
    }
}

#[test]
fn current_and_earlier_variables_set_the_same_option() {
    for renamed in &RENAMED_OPTIONS {
        for variable in renamed.earlier_variables.iter().chain([&renamed.variable]) {
            let message = error_message(&[(variable, "word")]);
            let expected = format!("invalid value 'word' for '{} ", renamed.flag);
            assert!(message.contains(&expected), "{variable}: {message}");
        }
    }
}

#[test]
fn newest_variable_that_is_set_takes_precedence() {
    for renamed in &RENAMED_OPTIONS {
        // The newest variable that is set has an invalid value, which the message quotes. The earlier ones are valid.
        let mut names = vec![renamed.variable];
        names.extend(renamed.earlier_variables);
        for first in 0..names.len() {
            let mut variables: Vec<(&str, &str)> =
                names[first..].iter().map(|name| (*name, "1000")).collect();
            variables[0].1 = "newest";
            let message = error_message(&variables);
            assert!(message.contains("'newest'"), "{}: {message}", names[first]);
        }
    }
}

#[test]
fn help_shows_current_names_only() {
    let output = Process::new(env!("CARGO_BIN_EXE_aspenreel"))
        .args(["serve", "--help"])
        .output()
        .unwrap();
    let help = String::from_utf8(output.stdout).unwrap();
    let shown = |name: &str| {
        let mut words = help.split(|c: char| !(c.is_ascii_alphanumeric() || c == '-' || c == '_'));
        words.any(|word| word == name)
    };
    for renamed in &RENAMED_OPTIONS {
        assert!(shown(renamed.flag), "{}", renamed.flag);
        assert!(shown(renamed.variable), "{}", renamed.variable);
        let earlier = renamed.earlier_flags.iter();
        for name in earlier.chain(renamed.earlier_variables) {
            assert!(!shown(name), "{name}");
        }
    }
}
