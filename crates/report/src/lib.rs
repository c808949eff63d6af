//! Measurements of aspenreel's subsystems, as HTML reports with plots.
//!
//! Each report is made by one command, and holds everything in a single file: tables for reading, plots
//! for seeing. The figures come from the simulation of [`aspenreel_simulation`]: *simulated* machines, simulated
//! time, the production code of the controllers.

pub mod fleet_size;
pub mod half_cut_links;
pub mod html;
pub mod plot;
pub mod statistics;
