//! Schedules of faults, drawn from a seed.

use aspenreel_simulation::stand_ins::relay::Traffic;
use std::fmt;
use std::time::Duration;

/// Controller that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The leader at the time when the fault begins.
    Leader,
    /// The controller with this number.
    Node(usize),
}

/// A fault that is injected into a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A controller process is killed and restarted.
    Kill {
        /// Controller whose process is killed.
        target: Target,
        /// Time until the restart.
        back_after: Duration,
    },
    /// A controller process is suspended.
    Pause {
        /// Controller whose process is suspended.
        target: Target,
        /// Time until the process is resumed.
        lasts: Duration,
    },
    /// One direction of one of a controller's links is blocked, delayed or reset.
    Cut {
        /// Controller whose link is affected.
        target: Target,
        /// Index of the direction in `Direction::all_of`.
        direction: usize,
        /// Treatment of the bytes that are sent in this direction.
        traffic: Traffic,
        /// Time until the direction is open again.
        lasts: Duration,
    },
    /// Commands that a controller sends to workers' own addresses arrive late and once, and their responses are
    /// discarded. Heartbeats are not affected.
    DelayCommands {
        /// Controller whose commands are delayed.
        target: Target,
        /// Time from the sending of a command to its arrival.
        late_by: Duration,
        /// Duration of the fault: commands that are sent in this time are delayed.
        lasts: Duration,
    },
    /// The key-value store refuses all requests.
    Outage {
        /// Time until the store serves requests again.
        lasts: Duration,
    },
    /// Successive leaders are killed.
    LeadersInSeries {
        /// Number of leaders that are killed.
        count: u32,
        /// Time from one kill to the next; the process is restarted after half of it.
        every: Duration,
    },
}

/// A fault with its start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Start of the fault, from the start of the run.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The faults of one run, ordered by start time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule(pub Vec<PlannedFault>);

/// Kind of a fault, without its parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    Kill,
    Pause,
    Cut,
    DelayCommands,
    Outage,
    LeadersInSeries,
}

/// Kinds from which a schedule draws. `DelayCommands` is listed three times, so that delayed commands are combined
/// with each of the other kinds.
const ALL_KINDS: [FaultKind; 8] = [
    FaultKind::Kill,
    FaultKind::Pause,
    FaultKind::Cut,
    FaultKind::Outage,
    FaultKind::LeadersInSeries,
    FaultKind::DelayCommands,
    FaultKind::DelayCommands,
    FaultKind::DelayCommands,
];

/// Number of directions of one controller's links in a cluster of three.
const DIRECTIONS: usize = 8;
/// Time before the first fault, in which jobs run undisturbed.
const FIRST_FAULT_AT: Duration = Duration::from_millis(2500);

impl Schedule {
    /// Draws the faults of a run. Until `length`, groups of one to three faults begin every 2 s to 6 s, each fault up
    /// to 1.5 s after the start of its group.
    pub fn draw(seed: u64, length: Duration) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let kinds = draw_kinds(&mut rng);
        let mut planned = Vec::new();
        let mut at = FIRST_FAULT_AT;
        while at < length {
            for _ in 0..rng.u32(1..=3) {
                let offset = millis(&mut rng, 0, 1500);
                let kind = kinds[rng.usize(0..kinds.len())];
                let fault = draw_fault(kind, &mut rng);
                planned.push(PlannedFault {
                    at: at + offset,
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

/// Draws two to four entries of `ALL_KINDS`. A run doesn't have all kinds: if leaders are killed all the time, no
/// leader lasts long enough for its commands to arrive late.
fn draw_kinds(rng: &mut fastrand::Rng) -> Vec<FaultKind> {
    let mut kinds = ALL_KINDS.to_vec();
    rng.shuffle(&mut kinds);
    kinds.truncate(rng.usize(2..=4));
    kinds
}

fn draw_fault(kind: FaultKind, rng: &mut fastrand::Rng) -> Fault {
    let target = draw_target(rng);
    let lasts = millis(rng, 400, 6000);
    match kind {
        FaultKind::Kill => Fault::Kill {
            target,
            back_after: millis(rng, 100, 3000),
        },
        FaultKind::Pause => Fault::Pause { target, lasts },
        FaultKind::Cut => Fault::Cut {
            target,
            direction: rng.usize(0..DIRECTIONS),
            traffic: match rng.u32(0..4) {
                0 => Traffic::Reset,
                1 => Traffic::Delayed(Duration::from_millis(300)),
                _ => Traffic::Blocked,
            },
            lasts,
        },
        FaultKind::DelayCommands => Fault::DelayCommands {
            target: Target::Leader,
            late_by: millis(rng, 2000, 24_000),
            lasts,
        },
        FaultKind::Outage => Fault::Outage { lasts },
        FaultKind::LeadersInSeries => Fault::LeadersInSeries {
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
