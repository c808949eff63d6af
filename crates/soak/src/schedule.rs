//! Which faults come when, drawn by a seed.

use aspenreel_simulation::stand_ins::relay::Traffic;
use std::fmt;
use std::time::Duration;

/// Which controller a fault hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Whoever leads when it begins.
    Leader,
    /// The one with this number.
    Node(usize),
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
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
    /// The directions of a controller's links, by their numbers in `Direction::all_of`.
    Cut {
        /// Whose direction.
        target: Target,
        /// Its number.
        direction: usize,
        /// What happens to what goes in this direction.
        traffic: Traffic,
        /// Until the direction is open again.
        lasts: Duration,
    },
    /// Commands straight to workers arrive late, once and unanswered; heartbeats are not touched.
    DelayCommands {
        /// Whose commands.
        target: Target,
        /// From their sending to their arrival.
        late_by: Duration,
        /// For how long commands that are sent come late.
        lasts: Duration,
    },
    /// The key-value store refuses everybody.
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

/// A fault and when it begins, counted from the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// When it begins.
    pub at: Duration,
    /// What happens then.
    pub fault: Fault,
}

/// The faults of one run, in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule(pub Vec<Planned>);

/// What kinds of fault there are. Commands that are held back meet each of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Kill,
    Pause,
    Cut,
    DelayCommands,
    Outage,
    LeadersInSeries,
}

const ALL_KINDS: [Kind; 8] = [
    Kind::Kill,
    Kind::Pause,
    Kind::Cut,
    Kind::Outage,
    Kind::LeadersInSeries,
    Kind::DelayCommands,
    Kind::DelayCommands,
    Kind::DelayCommands,
];

/// Directions of one controller's links in a cluster of three.
const DIRECTIONS: usize = 8;
/// Before the first fault jobs run.
const FIRST: Duration = Duration::from_millis(2500);

impl Schedule {
    /// Faults over so long a time, two or three at once.
    pub fn draw(seed: u64, length: Duration) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let kinds = draw_kinds(&mut rng);
        let mut planned = Vec::new();
        let mut at = FIRST;
        while at < length {
            for _ in 0..rng.u32(1..=3) {
                let spread = millis(&mut rng, 0, 1500);
                let kind = kinds[rng.usize(0..kinds.len())];
                let fault = draw_fault(kind, &mut rng);
                planned.push(Planned {
                    at: at + spread,
                    fault,
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

fn draw_fault(kind: Kind, rng: &mut fastrand::Rng) -> Fault {
    let target = draw_target(rng);
    let lasts = millis(rng, 400, 6000);
    match kind {
        Kind::Kill => Fault::Kill {
            target,
            back_after: millis(rng, 100, 3000),
        },
        Kind::Pause => Fault::Pause { target, lasts },
        Kind::Cut => Fault::Cut {
            target,
            direction: rng.usize(0..DIRECTIONS),
            traffic: match rng.u32(0..4) {
                0 => Traffic::Reset,
                1 => Traffic::Delayed(Duration::from_millis(300)),
                _ => Traffic::Blocked,
            },
            lasts,
        },
        Kind::DelayCommands => Fault::DelayCommands {
            target: Target::Leader,
            late_by: millis(rng, 2000, 24_000),
            lasts,
        },
        Kind::Outage => Fault::Outage { lasts },
        Kind::LeadersInSeries => Fault::LeadersInSeries {
            count: rng.u32(2..5),
            every: millis(rng, 1500, 4000),
        },
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for planned in &self.0 {
            writeln!(f, "{:>8.3}  {:?}", planned.at.as_secs_f64(), planned.fault)?;
        }
        Ok(())
    }
}
