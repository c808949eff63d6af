//! Simulates half-cut links with and without `--half-cut-links`, prints the figures as a table, and writes a report.

use aspenreel_report::half_cut_links::{compare, page, table};
use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs cut and flapping links with and without --half-cut-links, and writes an HTML report
#[derive(Debug, Parser)]
struct Options {
    /// Number of runs of each fault, with and without the flag
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// File to which the report is written
    #[arg(
        long,
        value_name = "FILE",
        default_value = "target/half-cut-links.html"
    )]
    out: PathBuf,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let comparisons = compare(options.seeds);
    print!("{}", table(&comparisons).to_markdown());
    let written = page(&comparisons, options.seeds)
        .map_err(|e| e.to_string())
        .and_then(|page| std::fs::write(&options.out, page.to_html()).map_err(|e| e.to_string()));
    match written {
        Ok(()) => {
            println!("\nreport: {}", options.out.display());
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!(
                "half-cut-links: cannot write the report {}: {e}",
                options.out.display()
            );
            ExitCode::FAILURE
        }
    }
}
