//! Which troubles come when, drawn by a seed.

use aspenreel_simulation::relay::Traffic;
use std::fmt;
use std::time::Duration;

/// Which controller a trouble hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Whoever leads when it begins.
    Leader,
    /// The one with this number.
    Node(usize),
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The process is killed and started again.
    Kill {
        /// Whose process.
        target: Target,
        /// Until it is started again.
        back_after: Duration,
    },
    /// The process stands still.
    Pause {
        /// Whose process.
        target: Target,
        /// Until it goes on.
        lasts: Duration,
    },
    /// The directed ways of a controller, by their numbers in `Way::all_of`.
    Cut {
        /// Whose way.
        target: Target,
        /// Its number.
        way: usize,
        /// What happens to what goes this way.
        traffic: Traffic,
        /// Until the way is open again.
        lasts: Duration,
    },
    /// Orders straight to workers arrive late, once and unanswered; heartbeats are not touched.
    HoldOrders {
        /// Whose orders.
        target: Target,
        /// From their sending to their arrival.
        late_by: Duration,
        /// For how long orders that are sent come late.
        lasts: Duration,
    },
    /// The state service refuses everybody.
    Outage {
        /// Until it answers again.
        lasts: Duration,
    },
    /// Leaders are killed one after the other.
    LeadersInSeries {
        /// How many.
        count: u32,
        /// From one to the next.
        every: Duration,
    },
}

/// A trouble and when it begins, counted from the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// When it begins.
    /// When it begins.
    pub at: Duration,
    /// What happens then.
    /// What happens then.
    pub trouble: Trouble,
}

/// The troubles of one run, in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule(pub Vec<Planned>);

/// What kinds of trouble there are. Orders that are held back meet each of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Kill,
    Pause,
    Cut,
    HoldOrders,
    Outage,
    LeadersInSeries,
}

const ALL_KINDS: [Kind; 8] = [
    Kind::Kill,
    Kind::Pause,
    Kind::Cut,
    Kind::Outage,
    Kind::LeadersInSeries,
    Kind::HoldOrders,
    Kind::HoldOrders,
    Kind::HoldOrders,
];

/// Directed ways of one controller in a cluster of three.
const WAYS: usize = 8;
/// Before the first trouble jobs run.
const FIRST: Duration = Duration::from_millis(2500);

impl Schedule {
    /// Troubles over so long a time, two or three at once.
    pub fn draw(seed: u64, length: Duration) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let kinds = draw_kinds(&mut rng);
        let mut planned = Vec::new();
        let mut at = FIRST;
        while at < length {
            for _ in 0..rng.u32(1..=3) {
                let spread = millis(&mut rng, 0, 1500);
                let kind = kinds[rng.usize(0..kinds.len())];
                let trouble = draw_trouble(kind, &mut rng);
                planned.push(Planned {
                    at: at + spread,
                    trouble,
                });
            }
            at += millis(&mut rng, 2000, 6000);
        }
        planned.sort_by_key(|p| p.at);
        Schedule(planned)
    }
}

fn millis(rng: &mut fastrand::Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.u64(from..to))
}

fn draw_target(rng: &mut fastrand::Rng) -> Target {
    match rng.u32(0..3) {
        0 => Target::Node(rng.usize(0..3)),
        _ => Target::Leader,
    }
}

/// Some of the kinds: where leaders end all the time, nothing takes long enough to be late.
fn draw_kinds(rng: &mut fastrand::Rng) -> Vec<Kind> {
    let mut kinds = ALL_KINDS.to_vec();
    rng.shuffle(&mut kinds);
    kinds.truncate(rng.usize(2..=4));
    kinds
}

fn draw_trouble(kind: Kind, rng: &mut fastrand::Rng) -> Trouble {
    let target = draw_target(rng);
    let lasts = millis(rng, 400, 6000);
    match kind {
        Kind::Kill => Trouble::Kill {
            target,
            back_after: millis(rng, 100, 3000),
        },
        Kind::Pause => Trouble::Pause { target, lasts },
        Kind::Cut => Trouble::Cut {
            target,
            way: rng.usize(0..WAYS),
            traffic: match rng.u32(0..4) {
                0 => Traffic::Reset,
                1 => Traffic::Delayed(Duration::from_millis(300)),
                _ => Traffic::Blocked,
            },
            lasts,
        },
        Kind::HoldOrders => Trouble::HoldOrders {
            target: Target::Leader,
            late_by: millis(rng, 2000, 24_000),
            lasts,
        },
        Kind::Outage => Trouble::Outage { lasts },
        Kind::LeadersInSeries => Trouble::LeadersInSeries {
            count: rng.u32(2..5),
            every: millis(rng, 1500, 4000),
        },
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for planned in &self.0 {
            writeln!(
                f,
                "{:>8.3}  {:?}",
                planned.at.as_secs_f64(),
                planned.trouble
            )?;
        }
        Ok(())
    }
}
