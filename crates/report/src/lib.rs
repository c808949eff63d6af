//! Measurements of aspenreel's subsystems, and HTML reports of them with tables and plots.
//!
//! One command makes one report, which is a single file. The figures come from the simulation in
//! [`aspenreel_simulation`]: machines and time are simulated, the code of the controllers is the production code.

pub mod fleet_size;
pub mod half_cut_links;
pub mod html;
pub mod plot;
pub mod statistics;
