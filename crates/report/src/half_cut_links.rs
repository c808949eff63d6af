//! Half-cut links with and without `--half-cut-links`, on the same seeds.

use crate::html::{Block, Page, Table};
use crate::plot::{GroupedBars, PlotError};
use crate::statistics::{Distribution, figure};
use aspenreel_simulation::cuts::{End, Way};
use aspenreel_simulation::plans::{cancel_soon, every_other, jobs};
use aspenreel_simulation::play::play_seeds;
use aspenreel_simulation::world::{Setup, Summary, World};
use std::sync::Arc;

/// The trouble begins then, and lasts for so long.
const BEGINS_S: f64 = 30.0;
const LASTS_S: f64 = 60.0;
const JOBS: u32 = 90;
/// A job that takes longer than this is late: alone on its machine it takes a third.
const LATE_S: f64 = 60.0;

/// What is done to the leader's links.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// Reports of workers don't arrive.
    NoReports,
    /// Answers and orders don't reach workers.
    NoAnswers,
    /// Nothing passes between the leader and workers.
    NoWorkers,
    /// Neither workers nor peers; the state service is there.
    OnlyState,
    /// The state service refuses transactions, and nothing else.
    WritesRefused,
    /// The state service is silent.
    NoState,
    /// Nothing passes between the leader and workers for half of each period.
    WorkersFlap(f64),
    /// The same between the leader and the state service.
    StateFlaps(f64),
}

/// A trouble with the name that it has in tables and plots.
pub const TROUBLES: [(&str, Trouble); 12] = [
    ("no reports", Trouble::NoReports),
    ("no answers", Trouble::NoAnswers),
    ("no workers", Trouble::NoWorkers),
    ("only state", Trouble::OnlyState),
    ("no writes", Trouble::WritesRefused),
    ("no state", Trouble::NoState),
    ("workers 2 s", Trouble::WorkersFlap(2.0)),
    ("workers 10 s", Trouble::WorkersFlap(10.0)),
    ("workers 36 s", Trouble::WorkersFlap(36.0)),
    ("state 2 s", Trouble::StateFlaps(2.0)),
    ("state 10 s", Trouble::StateFlaps(10.0)),
    ("state 36 s", Trouble::StateFlaps(36.0)),
];

const WITHOUT: fn(usize) -> &'static [&'static str] = |_| &[];
const WITH: fn(usize) -> &'static [&'static str] = |_| &["--half-cut-links"];

/// What was measured of one trouble, with or without the flag, over all seeds.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// From the cut to the last start that the first leader decided, in seconds.
    pub last_decision: Distribution,
    /// From the cut to the first start that the next leader decided, where there was one.
    pub next_decision: Distribution,
    /// Leaders a minute while the trouble lasted.
    pub leaders_per_minute: Distribution,
    /// Users' questions that got no useful answer, in each run.
    pub in_vain: Distribution,
    /// How long jobs took.
    pub turnaround: Distribution,
    /// Jobs that took longer than [`LATE_S`], in each run.
    pub late: Distribution,
    /// Broken rules.
    pub broken: Vec<String>,
}

impl Trouble {
    fn begin(self, w: &Arc<World>) {
        let leader = w.leader_or_any();
        let own = End::Node(leader);
        let both = |other| vec![Way::new(own, other), Way::new(other, own)];
        let cut = |ways: Vec<Way>| ways.into_iter().for_each(|way| w.cut_way(way, LASTS_S));
        match self {
            Trouble::NoReports => cut(vec![Way::new(End::Workers, own)]),
            Trouble::NoAnswers => cut(vec![Way::new(own, End::Workers)]),
            Trouble::NoWorkers => cut(both(End::Workers)),
            Trouble::NoState => cut(both(End::State)),
            Trouble::WritesRefused => w.refuse_writes(leader, LASTS_S),
            Trouble::WorkersFlap(period) => w.flap_ways(both(End::Workers), period, LASTS_S),
            Trouble::StateFlaps(period) => w.flap_ways(both(End::State), period, LASTS_S),
            Trouble::OnlyState => {
                let state = |way: &Way| way.from == End::State || way.to == End::State;
                let ways = Way::all_of(leader, w.setup.nodes).into_iter();
                cut(ways.filter(|way| !state(way)).collect());
            }
        }
    }
}

/// Plays a trouble with each seed.
pub fn measure(trouble: Trouble, seeds: &[u64], watching: bool) -> Measured {
    let setup = Setup {
        flags: if watching { WITH } else { WITHOUT },
        ..Setup::default()
    };
    let ends = play_seeds(seeds, &setup, |w, rng| {
        let ids = jobs(w, 4.0, 110.0, JOBS, |i, p| {
            p.run_s = 4.0 + f64::from(i % 5) * 4.0
        });
        cancel_soon(w, &every_other(&ids, 6), 15.0, rng);
        w.at(BEGINS_S, move |w| trouble.begin(w));
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
        self.in_vain.add(f64::from(end.questions_in_vain));
        self.turnaround.extend(end.turnaround_s.iter().copied());
        let late = end.turnaround_s.iter().filter(|t| **t > LATE_S).count();
        self.late.add(late as f64);
        self.broken.extend(end.broken.iter().cloned());
    }
}

/// One trouble, measured without and with the flag.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The trouble's name.
    pub name: &'static str,
    /// Without `--half-cut-links`.
    pub without: Measured,
    /// With it.
    pub with: Measured,
}

/// Plays all troubles.
pub fn compare(seeds: u64) -> Vec<Comparison> {
    let seeds: Vec<u64> = (1..=seeds).collect();
    TROUBLES
        .into_iter()
        .map(|(name, trouble)| Comparison {
            name,
            without: measure(trouble, &seeds, false),
            with: measure(trouble, &seeds, true),
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
        m.in_vain.mean()
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
