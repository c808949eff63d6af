//! What the states of links do: kept traces, one line for each observation that changed something.

use aspenreel_link_health::link::{Link, NodeName};
use aspenreel_link_health::monitor::LinkState;
use aspenreel_link_health::observation::{CallFailure, CallOutcome, Observation};
use aspenreel_link_health::permissions::Permissions;
use aspenreel_link_health::reachability::Reachability;
use aspenreel_link_health::refused_heartbeats::RefusedHeartbeats;
use aspenreel_link_health::settings::LinkSettings;
use aspenreel_link_health::time::{Micros, Moment};
use aspenreel_link_health::tracker::{LinkChange, LinkTracker};

const FAILED: CallOutcome = CallOutcome::Failed(CallFailure::NoAnswer);

/// A tracker and the trace of its changes.
struct Trace {
    tracker: LinkTracker,
    lines: Vec<String>,
}

impl Trace {
    fn new() -> Trace {
        let peers = [NodeName::from("n-1")];
        Trace {
            tracker: LinkTracker::new(LinkSettings::default(), &peers),
            lines: Vec::new(),
        }
    }

    fn see(&mut self, link: &Link, outcome: CallOutcome, at_ms: u64) {
        let observation = Observation {
            link: link.clone(),
            outcome,
            at: at(at_ms),
        };
        let change = self.tracker.observe(observation);
        self.note(change, at_ms);
    }

    fn note(&mut self, change: Option<LinkChange>, at_ms: u64) {
        let Some(LinkChange { link, transition }) = change else {
            return;
        };
        let recovery = transition.recovery_time;
        let recovery = recovery.map(|t| format!(", must answer for {} ms", t.0 / 1000));
        self.lines.push(format!(
            "{:>7.1} s  {link} is {}{}",
            at_ms as f64 / 1000.0,
            transition.to,
            recovery.unwrap_or_default()
        ));
    }

    fn text(&self) -> String {
        self.lines.join("\n")
    }
}

fn at(ms: u64) -> Moment {
    Moment(3_600_000_000 + ms * 1000)
}

/// One failure is a suspicion; only failures without an answer between them, for long enough, are a loss.
#[test]
fn hysteresis() {
    let mut trace = Trace::new();
    let writes = Link::StateWrites;
    trace.see(&writes, CallOutcome::Answered, 0);
    trace.see(&writes, FAILED, 100);
    trace.see(&writes, CallOutcome::Answered, 200);
    // Many failures at once, as when requests that were under way together fail together.
    for _ in 0..5 {
        trace.see(&writes, FAILED, 1000);
    }
    trace.see(&writes, FAILED, 2400);
    trace.see(&writes, FAILED, 2600);
    // One answer isn't enough, and a failure begins the wait anew.
    trace.see(&writes, CallOutcome::Answered, 3000);
    trace.see(&writes, FAILED, 3500);
    trace.see(&writes, CallOutcome::Answered, 4000);
    trace.see(&writes, CallOutcome::Answered, 4900);
    trace.see(&writes, CallOutcome::Answered, 5000);
    insta::assert_snapshot!(trace.text());
}

/// Answers far apart don't show that the link answered in between.
#[test]
fn answers_far_apart_do_not_bring_a_link_up() {
    let mut trace = Trace::new();
    let reads = Link::StateReads;
    for ms in [0, 1000, 2000] {
        trace.see(&reads, FAILED, ms);
    }
    trace.see(&reads, CallOutcome::Answered, 3000);
    trace.see(&reads, CallOutcome::Answered, 9000);
    assert_eq!(trace.tracker.state(&reads), LinkState::Down);
    trace.see(&reads, CallOutcome::Answered, 10_000);
    assert_eq!(trace.tracker.state(&reads), LinkState::Up);
}

/// The more often a link is lost, the longer it must answer; up to a bound, and forgiven with time.
#[test]
fn flaps_are_damped() {
    let mut trace = Trace::new();
    let peer = Link::Peer(NodeName::from("n-1"));
    let mut ms = 0;
    for _ in 0..8 {
        while trace.tracker.state(&peer) != LinkState::Down {
            trace.see(&peer, FAILED, ms);
            ms += 800;
        }
        while trace.tracker.state(&peer) != LinkState::Up {
            trace.see(&peer, CallOutcome::Answered, ms);
            ms += 800;
        }
    }
    // Long calm: the losses are forgiven one by one.
    for minute in 1..=9 {
        trace.tracker.expire_old_flaps(at(ms + minute * 60_000));
    }
    ms += 9 * 60_000;
    for _ in 0..4 {
        trace.see(&peer, FAILED, ms);
        ms += 800;
    }
    insta::assert_snapshot!(trace.text());
}

/// Flapping with every period from 0.5 to 10 s: how often does the state change in ten minutes, and
/// for what share of the time does the link count as up?
#[test]
fn flapping_links_change_their_state_seldom() {
    let mut lines = Vec::new();
    for period_ms in [500, 1000, 2000, 4000, 7000, 10_000] {
        let mut trace = Trace::new();
        let writes = Link::StateWrites;
        let (mut losses, mut up) = (0, 0);
        for step in 0..6000 {
            let ms = step * 100;
            let cut = (ms / (period_ms / 2)) % 2 == 1;
            let before = trace.tracker.state(&writes);
            let outcome = if cut { FAILED } else { CallOutcome::Answered };
            trace.see(&writes, outcome, ms);
            trace.tracker.expire_old_flaps(at(ms));
            let after = trace.tracker.state(&writes);
            losses += u32::from(before != LinkState::Down && after == LinkState::Down);
            up += u32::from(after != LinkState::Down);
        }
        lines.push(format!(
            "period {period_ms:>5} ms: {losses} losses in ten minutes, not down for {} %",
            up / 60
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// A message that arrives proves one direction only.
#[test]
fn what_arrives_does_not_prove_that_answers_do() {
    let mut trace = Trace::new();
    let peer = Link::Peer(NodeName::from("n-1"));
    for ms in [0, 800, 1600] {
        trace.see(&peer, FAILED, ms);
        trace.see(&peer, CallOutcome::MessageReceived, ms + 100);
    }
    assert_eq!(trace.tracker.state(&peer), LinkState::Down);
    let rows = trace.tracker.rows(at(2000));
    let row = rows.iter().find(|row| row.link == peer).unwrap();
    assert_eq!(row.received_ms_ago, Some(300));
    assert_eq!(row.answered_ms_ago, None);
}

/// An observation of a link that isn't watched has no effect.
#[test]
fn unknown_links_are_ignored() {
    let mut trace = Trace::new();
    trace.see(&Link::Peer(NodeName::from("n-9")), FAILED, 0);
    assert_eq!(trace.lines, Vec::<String>::new());
}

/// What may be decided follows from the link for writes alone.
#[test]
fn nothing_is_decided_that_cannot_be_recorded() {
    let mut trace = Trace::new();
    assert_eq!(trace.tracker.permissions(), Permissions::ALL);
    for ms in [0, 800, 1600] {
        trace.see(&Link::StateReads, FAILED, ms);
    }
    assert_eq!(trace.tracker.permissions(), Permissions::ALL);
    for ms in [2000, 2800, 3600] {
        trace.see(&Link::StateWrites, FAILED, ms);
    }
    assert_eq!(trace.tracker.permissions(), Permissions::NONE);
    // The first answer allows decisions again, though the link is still down for whoever would prefer
    // this controller as a leader.
    trace.see(&Link::StateWrites, CallOutcome::Answered, 4000);
    assert_eq!(trace.tracker.permissions(), Permissions::ALL);
    assert_eq!(trace.tracker.state(&Link::StateWrites), LinkState::Down);
    trace.see(&Link::StateWrites, FAILED, 4100);
    assert_eq!(trace.tracker.permissions(), Permissions::NONE);
}

/// Silence asks for a probe; an answer lately doesn't.
#[test]
fn probes_are_for_silent_and_doubtful_links() {
    let mut trace = Trace::new();
    let writes = Link::StateWrites;
    let silence = Micros::from_secs(4);
    let wanted = |trace: &mut Trace, ms| trace.tracker.needs_probe(&writes, silence, at(ms));
    assert!(wanted(&mut trace, 0));
    trace.see(&Link::StateWrites, CallOutcome::Answered, 0);
    assert!(!wanted(&mut trace, 3999));
    assert!(wanted(&mut trace, 4000));
    trace.see(&Link::StateWrites, FAILED, 4000);
    assert!(wanted(&mut trace, 4001));
}

/// The workers' link goes by how many are heard.
#[test]
fn workers_are_watched_as_a_set() {
    let state = |reachable, expected| {
        Reachability {
            reachable,
            expected,
        }
        .state()
    };
    assert_eq!(state(0, 0), LinkState::Unknown);
    // Two workers may well be silent for their own reasons.
    assert_eq!(state(0, 2), LinkState::Suspect);
    assert_eq!(state(4000, 4000), LinkState::Up);
    assert_eq!(state(2500, 4000), LinkState::Suspect);
    assert_eq!(state(1999, 4000), LinkState::Down);
}

/// A worker counts once however often it comes, and not for ever; their number is bounded.
#[test]
fn refused_workers_are_counted_once() {
    let mut refused = RefusedHeartbeats::new(3, Micros::from_secs(12));
    for ms in [0, 1000, 2000] {
        refused.record("m-1", at(ms));
        refused.record("m-2", at(ms));
    }
    assert_eq!(refused.count(at(2000)), 2);
    refused.record("m-3", at(5000));
    refused.record("m-4", at(6000));
    assert_eq!(refused.count(at(6000)), 3);
    refused.record("m-5", at(15_000));
    assert_eq!(refused.count(at(15_000)), 2);
    assert_eq!(refused.count(at(27_000)), 0);
}
