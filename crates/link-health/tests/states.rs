//! Tests of link states, permissions and refused heartbeats. Snapshots have one line for each change of a state.

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

/// A tracker, and the log of its state changes.
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

    fn observe(&mut self, link: &Link, outcome: CallOutcome, at_ms: u64) {
        let observation = Observation {
            link: link.clone(),
            outcome,
            at: at(at_ms),
        };
        let change = self.tracker.observe(observation);
        self.log_change(change, at_ms);
    }

    fn log_change(&mut self, change: Option<LinkChange>, at_ms: u64) {
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

/// One failure makes a link suspect. Only failures over the required time, without an answer between them, take it
/// down.
#[test]
fn link_goes_down_after_repeated_failures_and_up_after_the_recovery_time() {
    let mut trace = Trace::new();
    let writes = Link::StateWrites;
    trace.observe(&writes, CallOutcome::Answered, 0);
    trace.observe(&writes, FAILED, 100);
    trace.observe(&writes, CallOutcome::Answered, 200);
    // Many failures at the same time, for example of concurrent requests, don't take the link down.
    for _ in 0..5 {
        trace.observe(&writes, FAILED, 1000);
    }
    trace.observe(&writes, FAILED, 2400);
    trace.observe(&writes, FAILED, 2600);
    // One answer doesn't bring the link up, and a failure restarts the recovery time.
    trace.observe(&writes, CallOutcome::Answered, 3000);
    trace.observe(&writes, FAILED, 3500);
    trace.observe(&writes, CallOutcome::Answered, 4000);
    trace.observe(&writes, CallOutcome::Answered, 4900);
    trace.observe(&writes, CallOutcome::Answered, 5000);
    insta::assert_snapshot!(trace.text());
}

/// A long gap between two answers restarts the recovery time: it is unknown whether the link worked in between.
#[test]
fn answers_with_long_gaps_do_not_bring_a_link_up() {
    let mut trace = Trace::new();
    let reads = Link::StateReads;
    for ms in [0, 1000, 2000] {
        trace.observe(&reads, FAILED, ms);
    }
    trace.observe(&reads, CallOutcome::Answered, 3000);
    trace.observe(&reads, CallOutcome::Answered, 9000);
    assert_eq!(trace.tracker.state(&reads), LinkState::Down);
    trace.observe(&reads, CallOutcome::Answered, 10_000);
    assert_eq!(trace.tracker.state(&reads), LinkState::Up);
}

/// The recovery time doubles with each flap up to a bound, and decreases with time without flaps.
#[test]
fn recovery_time_grows_with_flaps_and_shrinks_without() {
    let mut trace = Trace::new();
    let peer = Link::Peer(NodeName::from("n-1"));
    let mut ms = 0;
    for _ in 0..8 {
        while trace.tracker.state(&peer) != LinkState::Down {
            trace.observe(&peer, FAILED, ms);
            ms += 800;
        }
        while trace.tracker.state(&peer) != LinkState::Up {
            trace.observe(&peer, CallOutcome::Answered, ms);
            ms += 800;
        }
    }
    // Nine minutes without flaps: the flap count decreases by one per minute.
    for minute in 1..=9 {
        trace.tracker.expire_old_flaps(at(ms + minute * 60_000));
    }
    ms += 9 * 60_000;
    for _ in 0..4 {
        trace.observe(&peer, FAILED, ms);
        ms += 800;
    }
    insta::assert_snapshot!(trace.text());
}

/// Links that flap with periods from 0.5 to 10 s: number of transitions to down within ten minutes, and share of the
/// time in which the link isn't down.
#[test]
fn flapping_links_change_their_state_rarely() {
    let mut lines = Vec::new();
    for period_ms in [500, 1000, 2000, 4000, 7000, 10_000] {
        let mut trace = Trace::new();
        let writes = Link::StateWrites;
        let (mut losses, mut up) = (0, 0);
        for step in 0..6000 {
            let ms = step * 100;
            let fails = (ms / (period_ms / 2)) % 2 == 1;
            let before = trace.tracker.state(&writes);
            let outcome = if fails { FAILED } else { CallOutcome::Answered };
            trace.observe(&writes, outcome, ms);
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

/// A received message proves that one direction works, but not that calls are answered.
#[test]
fn received_messages_do_not_bring_a_link_up() {
    let mut trace = Trace::new();
    let peer = Link::Peer(NodeName::from("n-1"));
    for ms in [0, 800, 1600] {
        trace.observe(&peer, FAILED, ms);
        trace.observe(&peer, CallOutcome::MessageReceived, ms + 100);
    }
    assert_eq!(trace.tracker.state(&peer), LinkState::Down);
    let rows = trace.tracker.rows(at(2000));
    let row = rows.iter().find(|row| row.link == peer).unwrap();
    assert_eq!(row.received_ms_ago, Some(300));
    assert_eq!(row.answered_ms_ago, None);
}

/// An observation of a link that isn't tracked has no effect.
#[test]
fn observations_of_untracked_links_are_ignored() {
    let mut trace = Trace::new();
    trace.observe(&Link::Peer(NodeName::from("n-9")), FAILED, 0);
    assert_eq!(trace.lines, Vec::<String>::new());
}

/// Permissions depend only on whether writes to the key-value store fail.
#[test]
fn failing_writes_revoke_all_permissions() {
    let mut trace = Trace::new();
    assert_eq!(trace.tracker.permissions(), Permissions::ALL);
    for ms in [0, 800, 1600] {
        trace.observe(&Link::StateReads, FAILED, ms);
    }
    assert_eq!(trace.tracker.permissions(), Permissions::ALL);
    for ms in [2000, 2800, 3600] {
        trace.observe(&Link::StateWrites, FAILED, ms);
    }
    assert_eq!(trace.tracker.permissions(), Permissions::NONE);
    // The first answer allows decisions again, although the damped state of the link, on which the preference for a
    // leader depends, is still down.
    trace.observe(&Link::StateWrites, CallOutcome::Answered, 4000);
    assert_eq!(trace.tracker.permissions(), Permissions::ALL);
    assert_eq!(trace.tracker.state(&Link::StateWrites), LinkState::Down);
    trace.observe(&Link::StateWrites, FAILED, 4100);
    assert_eq!(trace.tracker.permissions(), Permissions::NONE);
}

/// A link needs a probe if it isn't up, or has not answered recently.
#[test]
fn links_need_a_probe_unless_up_with_a_recent_answer() {
    let mut trace = Trace::new();
    let writes = Link::StateWrites;
    let silence = Micros::from_secs(4);
    let needs_probe = |trace: &mut Trace, ms| trace.tracker.needs_probe(&writes, silence, at(ms));
    assert!(needs_probe(&mut trace, 0));
    trace.observe(&Link::StateWrites, CallOutcome::Answered, 0);
    assert!(!needs_probe(&mut trace, 3999));
    assert!(needs_probe(&mut trace, 4000));
    trace.observe(&Link::StateWrites, FAILED, 4000);
    assert!(needs_probe(&mut trace, 4001));
}

/// The state of the workers' link depends on the share of the expected workers that reach the controller.
#[test]
fn workers_link_state_follows_the_share_of_reachable_workers() {
    let state = |reachable, expected| {
        Reachability {
            reachable,
            expected,
        }
        .state()
    };
    assert_eq!(state(0, 0), LinkState::Unknown);
    // Two workers may be silent for reasons of their own, so the link isn't down.
    assert_eq!(state(0, 2), LinkState::Suspect);
    assert_eq!(state(4000, 4000), LinkState::Up);
    assert_eq!(state(2500, 4000), LinkState::Suspect);
    assert_eq!(state(1999, 4000), LinkState::Down);
}

/// A worker with several refused heartbeats counts once, and no longer than the window. The number of counted workers
/// is bounded by the capacity.
#[test]
fn refused_workers_are_counted_once_until_they_expire() {
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
