//! Compares runs with half-cut links with and without `--half-cut-links`, on the same seeds.

use crate::html::{Block, Page, Table};
use crate::plot::{GroupedBars, PlotError};
use crate::statistics::{Distribution, format_figure};
use aspenreel_simulation::directions::{Direction, Endpoint};
use aspenreel_simulation::run::run_seeds;
use aspenreel_simulation::setup::Setup;
use aspenreel_simulation::simulation::Simulation;
use aspenreel_simulation::summary::Summary;
use aspenreel_simulation::workloads::{cancel_after_acceptance, every_nth, jobs};
use std::sync::Arc;

/// Time of a run at which the fault begins, in seconds.
const FAULT_START_S: f64 = 30.0;
/// Duration of the fault, in seconds.
const FAULT_DURATION_S: f64 = 60.0;
/// Number of jobs in a run.
const JOBS: u32 = 90;
/// A job that takes longer than this, in seconds, is late. The run time of its tasks is at most a third of this.
const LATE_S: f64 = 60.0;

/// A fault of the leader's links.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Heartbeats of workers don't reach the leader.
    NoReports,
    /// Responses and commands don't reach the workers.
    NoAnswers,
    /// Both directions between the leader and the workers are cut.
    NoWorkers,
    /// The leader reaches neither workers nor peers, only the key-value store.
    OnlyStore,
    /// The key-value store refuses the leader's transactions, and nothing else.
    WritesRefused,
    /// Both directions between the leader and the key-value store are cut.
    NoStore,
    /// The links between the leader and the workers are cut for half of each period, given in seconds.
    WorkersFlap(f64),
    /// The link between the leader and the key-value store is cut for half of each period, given in seconds.
    StoreFlaps(f64),
}

/// All faults, with their names in tables and plots.
pub const FAULTS: [(&str, Fault); 12] = [
    ("no reports", Fault::NoReports),
    ("no answers", Fault::NoAnswers),
    ("no workers", Fault::NoWorkers),
    ("only state", Fault::OnlyStore),
    ("no writes", Fault::WritesRefused),
    ("no state", Fault::NoStore),
    ("workers 2 s", Fault::WorkersFlap(2.0)),
    ("workers 10 s", Fault::WorkersFlap(10.0)),
    ("workers 36 s", Fault::WorkersFlap(36.0)),
    ("state 2 s", Fault::StoreFlaps(2.0)),
    ("state 10 s", Fault::StoreFlaps(10.0)),
    ("state 36 s", Fault::StoreFlaps(36.0)),
];

const WITHOUT_FLAG: fn(usize) -> &'static [&'static str] = |_| &[];
const WITH_FLAG: fn(usize) -> &'static [&'static str] = |_| &["--half-cut-links"];

/// Measurements of one fault, with or without the flag, over all seeds.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    /// Time from the cut to the last task start, during the fault, that the first leader decided, in seconds; 0 if
    /// there is none.
    pub last_decision: Distribution,
    /// Time from the cut to the first task start, during the fault, that a later leader decided, in seconds; only of
    /// runs with such a start.
    pub next_decision: Distribution,
    /// Leaders per minute during the fault.
    pub leaders_per_minute: Distribution,
    /// Number of user requests without a useful response, in each run.
    pub unanswered: Distribution,
    /// Time from the first answered request about each job until it was reported as done, in seconds.
    pub turnaround: Distribution,
    /// Number of jobs that took longer than `LATE_S`, in each run.
    pub late: Distribution,
    /// Violations of service rules, of all runs.
    pub violations: Vec<String>,
}

impl Fault {
    /// Starts this fault of the current leader's links.
    fn begin(self, sim: &Arc<Simulation>) {
        let leader = sim.leader_or_any();
        let own = Endpoint::Node(leader);
        let both = |other| vec![Direction::new(own, other), Direction::new(other, own)];
        let cut = |directions: Vec<Direction>| {
            directions
                .into_iter()
                .for_each(|direction| sim.cut_direction(direction, FAULT_DURATION_S))
        };
        match self {
            Fault::NoReports => cut(vec![Direction::new(Endpoint::Workers, own)]),
            Fault::NoAnswers => cut(vec![Direction::new(own, Endpoint::Workers)]),
            Fault::NoWorkers => cut(both(Endpoint::Workers)),
            Fault::NoStore => cut(both(Endpoint::Store)),
            Fault::WritesRefused => sim.refuse_writes(leader, FAULT_DURATION_S),
            Fault::WorkersFlap(period) => {
                sim.flap_directions(both(Endpoint::Workers), period, FAULT_DURATION_S)
            }
            Fault::StoreFlaps(period) => {
                sim.flap_directions(both(Endpoint::Store), period, FAULT_DURATION_S)
            }
            Fault::OnlyStore => {
                let is_store_link = |direction: &Direction| {
                    direction.from == Endpoint::Store || direction.to == Endpoint::Store
                };
                let directions = Direction::all_of(leader, sim.setup.nodes).into_iter();
                cut(directions
                    .filter(|direction| !is_store_link(direction))
                    .collect());
            }
        }
    }
}

/// Runs a fault with each seed, and with `--half-cut-links` if `with_flag` is set.
pub fn measure(fault: Fault, seeds: &[u64], with_flag: bool) -> Measurements {
    let setup = Setup {
        flags: if with_flag { WITH_FLAG } else { WITHOUT_FLAG },
        ..Setup::default()
    };
    let summaries = run_seeds(seeds, &setup, |sim, rng| {
        let ids = jobs(sim, 4.0, 110.0, JOBS, |number, plan| {
            plan.run_s = 4.0 + f64::from(number % 5) * 4.0
        });
        cancel_after_acceptance(sim, &every_nth(&ids, 6), 15.0, rng);
        sim.at(FAULT_START_S, move |sim| fault.begin(sim));
    });
    let mut measurements = Measurements::default();
    for summary in &summaries {
        measurements.add(summary);
    }
    measurements
}

impl Measurements {
    /// Adds the results of one run.
    fn add(&mut self, summary: &Summary) {
        let seconds = |time: u64| time as f64 / 1e6;
        let during = |time: f64| (FAULT_START_S..FAULT_START_S + FAULT_DURATION_S).contains(&time);
        let first_term = summary
            .terms
            .iter()
            .rfind(|(at, _, _)| seconds(*at) < FAULT_START_S);
        let first_term = first_term.map_or(0, |(_, term, _)| *term);
        let starts = || {
            summary
                .starts_by_term
                .0
                .iter()
                .map(|(at, term)| (seconds(*at), *term))
        };
        let old = starts().filter(|(at, term)| *term == first_term && during(*at));
        let last_old = old.map(|(at, _)| at).fold(FAULT_START_S, f64::max);
        self.last_decision.add(last_old - FAULT_START_S);
        let mut new = starts().filter(|(at, term)| *term > first_term && during(*at));
        self.next_decision
            .extend(new.next().map(|(at, _)| at - FAULT_START_S));
        let leaders = summary
            .terms
            .iter()
            .filter(|(at, _, _)| during(seconds(*at)))
            .count();
        self.leaders_per_minute
            .add(leaders as f64 * 60.0 / FAULT_DURATION_S);
        self.unanswered.add(f64::from(summary.unanswered_requests));
        self.turnaround.extend(summary.turnaround_s.iter().copied());
        let late = summary.turnaround_s.iter().filter(|t| **t > LATE_S).count();
        self.late.add(late as f64);
        self.violations.extend(summary.violations.iter().cloned());
    }
}

/// Measurements of one fault without and with the flag.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Name of the fault.
    pub name: &'static str,
    /// Runs without `--half-cut-links`.
    pub without: Measurements,
    /// Runs with `--half-cut-links`.
    pub with: Measurements,
}

/// Measures all faults with this many seeds, without and with the flag.
pub fn compare(seeds: u64) -> Vec<Comparison> {
    let seeds: Vec<u64> = (1..=seeds).collect();
    FAULTS
        .into_iter()
        .map(|(name, fault)| Comparison {
            name,
            without: measure(fault, &seeds, false),
            with: measure(fault, &seeds, true),
        })
        .collect()
}

/// Reads a figure from the measurements.
type Select = fn(&Measurements) -> Option<f64>;

/// Figures of the report: title, unit, and the function that reads the figure from the measurements.
const FIGURES: [(&str, &str, Select); 6] = [
    (
        "From the cut to the old leader's last decision, median",
        "seconds",
        |m| m.last_decision.quantile(0.5),
    ),
    (
        "From the cut to the next leader's first decision, median",
        "seconds",
        |m| m.next_decision.quantile(0.5),
    ),
    ("Leaders per minute, mean", "leaders", |m| {
        m.leaders_per_minute.mean()
    }),
    (
        "Requests without a useful response per run, mean",
        "requests",
        |m| m.unanswered.mean(),
    ),
    ("Time until done, 95th percentile", "seconds", |m| {
        m.turnaround.quantile(0.95)
    }),
    ("Late jobs per run, mean", "jobs", |m| m.late.mean()),
];

/// Returns all figures as one table; each cell has the figure without and the figure with the flag.
pub fn table(comparisons: &[Comparison]) -> Table {
    let mut header = vec!["fault".to_string()];
    header.extend(FIGURES.iter().map(|(title, _, _)| title.to_string()));
    let rows = comparisons.iter().map(|comparison| {
        let cells = FIGURES.iter().map(|(_, _, select)| {
            let (without, with) = (select(&comparison.without), select(&comparison.with));
            format!("{} → {}", format_figure(without), format_figure(with))
        });
        [comparison.name.to_string()]
            .into_iter()
            .chain(cells)
            .collect()
    });
    Table {
        header,
        rows: rows.collect(),
    }
}

/// Returns the report as a page.
pub fn page(comparisons: &[Comparison], seeds: u64) -> Result<Page, PlotError> {
    let about = format!(
        "Simulated machines and time, production code of the controllers; three controllers, eight machines, \
         {JOBS} jobs; {seeds} seeds for each fault, the same with and without --half-cut-links. The fault begins \
         after {FAULT_START_S} s and lasts {FAULT_DURATION_S} s. A job is late after {LATE_S} s. Figures: without → \
         with the flag."
    );
    let mut blocks = vec![Block::Paragraph(about), Block::Table(table(comparisons))];
    for (title, unit, select) in FIGURES {
        let bars = GroupedBars {
            title: title.into(),
            y_label: unit.into(),
            series: vec!["without".into(), "with --half-cut-links".into()],
            groups: comparisons
                .iter()
                .map(|c| {
                    (
                        c.name.to_string(),
                        vec![select(&c.without), select(&c.with)],
                    )
                })
                .collect(),
        };
        blocks.push(Block::Heading(title.into()));
        blocks.push(Block::Plot(bars.to_svg()?));
    }
    let violations: Vec<&String> = comparisons
        .iter()
        .flat_map(|c| c.without.violations.iter().chain(&c.with.violations))
        .collect();
    let rules = match violations.len() {
        0 => "No service rule was violated in any run.".to_string(),
        count => format!("{count} violations of service rules: {violations:?}"),
    };
    blocks.push(Block::Paragraph(rules));
    Ok(Page {
        title: "Half-cut links".into(),
        blocks,
    })
}
