//! Measures the cost of a fleet of one size for its leader. Each size needs a process of its own, so that the memory
//! of one measurement is not reused by the next.

use aspenreel_report::fleet_size::measure;
use clap::Parser;

/// Measures the memory of a leader, and its time for a heartbeat, a placement pass and a status request
#[derive(Debug, Parser)]
struct Options {
    /// Number of machines in the fleet
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    machines: u32,
}

fn main() {
    let cost = measure(Options::parse().machines);
    println!(
        "| {} | {} | {:.1} MB | {:.1} ms | {:.1} ms | {:.1} us | {:.1} us |",
        cost.machines,
        cost.placed,
        cost.bytes as f64 / 1e6,
        cost.filling_pass.as_secs_f64() * 1e3,
        cost.full_pass.as_secs_f64() * 1e3,
        cost.heartbeat.as_secs_f64() * 1e6,
        cost.status_request.as_secs_f64() * 1e6
    );
}
