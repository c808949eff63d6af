//! Half-cut links with and without `--half-cut-links`, on the same seeds.

use crate::html::{Block, Page, Table};
use crate::plot::{GroupedBars, PlotError};
use crate::statistics::{Distribution, figure};
use aspenreel_simulation::directions::{Direction, Endpoint};
use aspenreel_simulation::run::run_seeds;
use aspenreel_simulation::setup::Setup;
use aspenreel_simulation::simulation::Simulation;
use aspenreel_simulation::summary::Summary;
use aspenreel_simulation::workloads::{cancel_after_acceptance, every_nth, jobs};
use std::sync::Arc;

/// The fault begins then, and lasts for so long.
const BEGINS_S: f64 = 30.0;
const LASTS_S: f64 = 60.0;
const JOBS: u32 = 90;
/// A job that takes longer than this is late: alone on its machine it takes a third.
const LATE_S: f64 = 60.0;

/// What is done to the leader's links.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Reports of workers don't arrive.
    NoReports,
    /// Answers and commands don't reach workers.
    NoAnswers,
    /// Nothing passes between the leader and workers.
    NoWorkers,
    /// Neither workers nor peers; the key-value store is there.
    OnlyState,
    /// The key-value store refuses transactions, and nothing else.
    WritesRefused,
    /// The key-value store is silent.
    NoState,
    /// Nothing passes between the leader and workers for half of each period.
    WorkersFlap(f64),
    /// The same between the leader and the key-value store.
    StateFlaps(f64),
}

/// A fault with the name that it has in tables and plots.
pub const TROUBLES: [(&str, Fault); 12] = [
    ("no reports", Fault::NoReports),
    ("no answers", Fault::NoAnswers),
    ("no workers", Fault::NoWorkers),
    ("only state", Fault::OnlyState),
    ("no writes", Fault::WritesRefused),
    ("no state", Fault::NoState),
    ("workers 2 s", Fault::WorkersFlap(2.0)),
    ("workers 10 s", Fault::WorkersFlap(10.0)),
    ("workers 36 s", Fault::WorkersFlap(36.0)),
    ("state 2 s", Fault::StateFlaps(2.0)),
    ("state 10 s", Fault::StateFlaps(10.0)),
    ("state 36 s", Fault::StateFlaps(36.0)),
];

const WITHOUT: fn(usize) -> &'static [&'static str] = |_| &[];
const WITH: fn(usize) -> &'static [&'static str] = |_| &["--half-cut-links"];

/// What was measured of one fault, with or without the flag, over all seeds.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// From the cut to the last start that the first leader decided, in seconds.
    pub last_decision: Distribution,
    /// From the cut to the first start that the next leader decided, where there was one.
    pub next_decision: Distribution,
    /// Leaders a minute while the fault lasted.
    pub leaders_per_minute: Distribution,
    /// Users' questions that got no useful answer, in each run.
    pub unanswered: Distribution,
    /// How long jobs took.
    pub turnaround: Distribution,
    /// Jobs that took longer than `LATE_S`, in each run.
    pub late: Distribution,
    /// Broken rules.
    pub broken: Vec<String>,
}

impl Fault {
    fn begin(self, sim: &Arc<Simulation>) {
        let leader = sim.leader_or_any();
        let own = Endpoint::Node(leader);
        let both = |other| vec![Direction::new(own, other), Direction::new(other, own)];
        let cut = |directions: Vec<Direction>| {
            directions
                .into_iter()
                .for_each(|direction| sim.cut_direction(direction, LASTS_S))
        };
        match self {
            Fault::NoReports => cut(vec![Direction::new(Endpoint::Workers, own)]),
            Fault::NoAnswers => cut(vec![Direction::new(own, Endpoint::Workers)]),
            Fault::NoWorkers => cut(both(Endpoint::Workers)),
            Fault::NoState => cut(both(Endpoint::Store)),
            Fault::WritesRefused => sim.refuse_writes(leader, LASTS_S),
            Fault::WorkersFlap(period) => {
                sim.flap_directions(both(Endpoint::Workers), period, LASTS_S)
            }
            Fault::StateFlaps(period) => {
                sim.flap_directions(both(Endpoint::Store), period, LASTS_S)
            }
            Fault::OnlyState => {
                let state = |direction: &Direction| {
                    direction.from == Endpoint::Store || direction.to == Endpoint::Store
                };
                let directions = Direction::all_of(leader, sim.setup.nodes).into_iter();
                cut(directions.filter(|direction| !state(direction)).collect());
            }
        }
    }
}

/// Runs a fault with each seed.
pub fn measure(fault: Fault, seeds: &[u64], watching: bool) -> Measured {
    let setup = Setup {
        flags: if watching { WITH } else { WITHOUT },
        ..Setup::default()
    };
    let ends = run_seeds(seeds, &setup, |sim, rng| {
        let ids = jobs(sim, 4.0, 110.0, JOBS, |i, p| {
            p.run_s = 4.0 + f64::from(i % 5) * 4.0
        });
        cancel_after_acceptance(sim, &every_nth(&ids, 6), 15.0, rng);
        sim.at(BEGINS_S, move |sim| fault.begin(sim));
    });
    let mut measured = Measured::default();
    for end in &ends {
        measured.add(end);
    }
    measured
}

impl Measured {
    fn add(&mut self, end: &Summary) {
        let seconds = |time: u64| time as f64 / 1e6;
        let during = |time: f64| (BEGINS_S..BEGINS_S + LASTS_S).contains(&time);
        let first_term = end.terms.iter().rfind(|(at, _, _)| seconds(*at) < BEGINS_S);
        let first_term = first_term.map_or(0, |(_, term, _)| *term);
        let starts = || {
            end.starts_by_term
                .0
                .iter()
                .map(|(at, term)| (seconds(*at), *term))
        };
        let old = starts().filter(|(at, term)| *term == first_term && during(*at));
        let last_old = old.map(|(at, _)| at).fold(BEGINS_S, f64::max);
        self.last_decision.add(last_old - BEGINS_S);
        let mut new = starts().filter(|(at, term)| *term > first_term && during(*at));
        self.next_decision
            .extend(new.next().map(|(at, _)| at - BEGINS_S));
        let leaders = end
            .terms
            .iter()
            .filter(|(at, _, _)| during(seconds(*at)))
            .count();
        self.leaders_per_minute.add(leaders as f64 * 60.0 / LASTS_S);
        self.unanswered.add(f64::from(end.unanswered_requests));
        self.turnaround.extend(end.turnaround_s.iter().copied());
        let late = end.turnaround_s.iter().filter(|t| **t > LATE_S).count();
        self.late.add(late as f64);
        self.broken.extend(end.violations.iter().cloned());
    }
}

/// One fault, measured without and with the flag.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The fault's name.
    pub name: &'static str,
    /// Without `--half-cut-links`.
    pub without: Measured,
    /// With it.
    pub with: Measured,
}

/// Runs all faults.
pub fn compare(seeds: u64) -> Vec<Comparison> {
    let seeds: Vec<u64> = (1..=seeds).collect();
    TROUBLES
        .into_iter()
        .map(|(name, fault)| Comparison {
            name,
            without: measure(fault, &seeds, false),
            with: measure(fault, &seeds, true),
        })
        .collect()
}

type Select = fn(&Measured) -> Option<f64>;

/// What is shown: its title, and how it is read off.
const SHOWN: [(&str, &str, Select); 6] = [
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
    ("Leaders a minute, mean", "leaders", |m| {
        m.leaders_per_minute.mean()
    }),
    ("Questions in vain a run, mean", "questions", |m| {
        m.unanswered.mean()
    }),
    ("Time until done, 95th percentile", "seconds", |m| {
        m.turnaround.quantile(0.95)
    }),
    ("Late jobs a run, mean", "jobs", |m| m.late.mean()),
];

/// All figures as one table: without and with the flag in each cell.
pub fn table(comparisons: &[Comparison]) -> Table {
    let mut header = vec!["trouble".to_string()];
    header.extend(SHOWN.iter().map(|(title, _, _)| title.to_string()));
    let rows = comparisons.iter().map(|comparison| {
        let cells = SHOWN.iter().map(|(_, _, select)| {
            let (without, with) = (select(&comparison.without), select(&comparison.with));
            format!("{} → {}", figure(without), figure(with))
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

/// The report as a page.
pub fn page(comparisons: &[Comparison], seeds: u64) -> Result<Page, PlotError> {
    let about = format!(
        "Simulated machines and time, the controllers' own code; three controllers, eight machines, {JOBS} jobs; \
         {seeds} seeds for each trouble, the same with and without --half-cut-links. The trouble begins after \
         {BEGINS_S} s and lasts {LASTS_S} s. A job is late after {LATE_S} s. Figures: without → with the flag."
    );
    let mut blocks = vec![Block::Paragraph(about), Block::Table(table(comparisons))];
    for (title, unit, select) in SHOWN {
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
    let broken: Vec<&String> = comparisons
        .iter()
        .flat_map(|c| c.without.broken.iter().chain(&c.with.broken))
        .collect();
    let rules = match broken.len() {
        0 => "No rule was broken in any run.".to_string(),
        n => format!("{n} broken rules: {broken:?}"),
    };
    blocks.push(Block::Paragraph(rules));
    Ok(Page {
        title: "Half-cut links".into(),
        blocks,
    })
}
