//! Tests of handover decisions, campaign delays, accepted views, and the decoding of views and reports.

use aspenreel_link_health::election::{Candidate, MAX_CAMPAIGN_DELAY};
use aspenreel_link_health::handover::{
    Handover, HandoverInput, HandoverPlanner, HandoverReason, HandoverRecord,
};
use aspenreel_link_health::link::NodeName;
use aspenreel_link_health::monitor::LinkState;
use aspenreel_link_health::peer_views::{PeerView, PeerViews, ViewLifetimes};
use aspenreel_link_health::reachability::Reachability;
use aspenreel_link_health::report::{LinkReport, ReportError};
use aspenreel_link_health::settings::LinkSettings;
use aspenreel_link_health::time::{Micros, Moment, WallTime};
use aspenreel_link_health::view::{LinkView, MAX_VIEW_BYTES, ViewError};
use std::collections::BTreeMap;

const HOUR_MS: u64 = 3_600_000;
const TERM: u64 = 7;
static NO_WORKERS: BTreeMap<NodeName, u32> = BTreeMap::new();

fn name(text: &str) -> NodeName {
    NodeName::from(text)
}

fn at(ms: u64) -> Moment {
    Moment((HOUR_MS + ms) * 1000)
}

fn wall(ms: u64) -> WallTime {
    WallTime((50 * HOUR_MS + ms) * 1000)
}

fn view(from: &str, reachable: u32) -> LinkView {
    LinkView {
        from: name(from),
        to: name("n-0"),
        process: 1,
        sequence: 1,
        term: TERM,
        leads: false,
        state_reads: LinkState::Up,
        state_writes: LinkState::Up,
        reachability: Reachability {
            reachable,
            expected: 0,
        },
    }
}

/// The handover inputs of a leader that is reached by `reachable` of eight workers.
fn input<'a>(reachable: u32, views: &'a [&'a LinkView]) -> HandoverInput<'a> {
    HandoverInput {
        term: TERM,
        reachability: Reachability {
            reachable,
            expected: 8,
        },
        state_writes: LinkState::Up,
        views,
        silent_workers_by_unreachable_peer: &NO_WORKERS,
    }
}

/// Decides on the same input every 250 ms. Returns the time and the decision of the first handover.
fn first_handover(
    planner: &mut HandoverPlanner,
    input: &HandoverInput<'_>,
    from_ms: u64,
    to_ms: u64,
) -> Option<(u64, Handover)> {
    let settings = LinkSettings::default();
    (from_ms..to_ms).step_by(250).find_map(|ms| {
        let handover = planner.decide(input, at(ms), wall(ms), &settings)?;
        Some((ms, handover))
    })
}

fn decided(input: &HandoverInput<'_>) -> Option<(u64, Handover)> {
    first_handover(&mut HandoverPlanner::default(), input, 0, 10_000)
}

fn to(node: &str, reason: HandoverReason) -> Handover {
    Handover {
        to: name(node),
        reason,
    }
}

#[test]
fn leader_with_few_workers_hands_over_to_the_peer_with_most_workers() {
    let (some, most) = (view("n-1", 3), view("n-2", 6));
    let handover = decided(&input(1, &[&some, &most]));
    assert_eq!(
        handover,
        Some((1000, to("n-2", HandoverReason::WorkersUnreachable)))
    );
    // Of peers with equally many workers, the first by name is chosen.
    let (second, first) = (view("n-2", 6), view("n-1", 6));
    let handover = decided(&input(1, &[&second, &first]));
    assert_eq!(
        handover,
        Some((1000, to("n-1", HandoverReason::WorkersUnreachable)))
    );
}

#[test]
fn no_handover_without_a_better_connected_peer() {
    let unreached = view("n-1", 0);
    assert_eq!(decided(&input(0, &[&unreached])), None);
    assert_eq!(decided(&input(0, &[])), None);
    // The peer must be reached by more workers than the leader by a margin: a quarter of the expected workers.
    let below_margin = view("n-1", 4);
    assert_eq!(decided(&input(3, &[&below_margin])), None);
    // A leader that at least half of its workers reach keeps leading, even if more workers reach a peer.
    let reaches_all = view("n-1", 8);
    assert_eq!(decided(&input(4, &[&reaches_all])), None);
    // With few expected workers, their silence doesn't count: they may be silent for reasons of their own.
    let few = HandoverInput {
        reachability: Reachability {
            reachable: 0,
            expected: 2,
        },
        ..input(0, &[])
    };
    let both = view("n-1", 2);
    let few = HandoverInput {
        views: &[&both],
        ..few
    };
    assert_eq!(decided(&few), None);
}

#[test]
fn no_handover_to_a_peer_that_cannot_lead() {
    let reaches_all = || view("n-1", 8);
    let cannot_write = LinkView {
        state_writes: LinkState::Down,
        ..reaches_all()
    };
    let reads_unknown = LinkView {
        state_reads: LinkState::Unknown,
        ..reaches_all()
    };
    let of_an_old_term = LinkView {
        term: TERM - 1,
        ..reaches_all()
    };
    let already_leads = LinkView {
        leads: true,
        ..reaches_all()
    };
    for view in [cannot_write, reads_unknown, of_an_old_term, already_leads] {
        assert_eq!(decided(&input(0, &[&view])), None, "{view:?}");
    }
}

#[test]
fn leader_that_cannot_write_hands_over_to_a_peer_that_can() {
    let able = view("n-1", 0);
    let cannot_write = HandoverInput {
        state_writes: LinkState::Down,
        ..input(8, &[])
    };
    assert_eq!(decided(&cannot_write), None);
    let peer_can = HandoverInput {
        views: &[&able],
        ..cannot_write
    };
    assert_eq!(
        decided(&peer_can),
        Some((1000, to("n-1", HandoverReason::CannotWrite)))
    );
}

/// A network partition separates the leader from a zone with a peer and workers. The leader receives no heartbeats from
/// these workers. The peer's view arrived through the key-value store, and no worker has tried the peer yet.
#[test]
fn silent_workers_count_for_an_unreachable_peer_in_their_zone() {
    let silent_workers = BTreeMap::from([(name("n-2"), 6)]);
    let (reachable_peer, unreachable_peer) = (view("n-1", 1), view("n-2", 0));
    let both = [&reachable_peer, &unreachable_peer];
    let partitioned = HandoverInput {
        silent_workers_by_unreachable_peer: &silent_workers,
        ..input(2, &both)
    };
    let handover = Some((1000, to("n-2", HandoverReason::WorkersUnreachable)));
    assert_eq!(decided(&partitioned), handover);
    // Without a view of the peer it is unknown whether the peer reaches the key-value store, or is down.
    let without_its_view = HandoverInput {
        views: &[&reachable_peer],
        ..partitioned
    };
    assert_eq!(decided(&without_its_view), None);
    // A minority of the workers on the peer's side of the partition doesn't cause a handover.
    let few_silent_workers = BTreeMap::from([(name("n-2"), 2)]);
    let minority = HandoverInput {
        silent_workers_by_unreachable_peer: &few_silent_workers,
        ..input(6, &both)
    };
    assert_eq!(decided(&minority), None);
}

/// Some peer must be better connected continuously for the required time: an interruption restarts this time.
#[test]
fn no_handover_unless_a_peer_is_better_connected_continuously() {
    let mut planner = HandoverPlanner::default();
    let settings = LinkSettings::default();
    let (able, unreached) = (view("n-1", 6), view("n-1", 0));
    for round in 0..40 {
        let views = [if round % 4 < 3 { &able } else { &unreached }];
        let ms = round * 300;
        let decided = planner.decide(&input(0, &views), at(ms), wall(ms), &settings);
        assert_eq!(decided, None, "at {ms} ms");
    }
}

/// Views through the key-value store arrive at different times, so the best-connected peer may change before the
/// handover.
#[test]
fn best_connected_peer_may_change_before_the_handover() {
    let mut planner = HandoverPlanner::default();
    let settings = LinkSettings::default();
    let (first, second) = (view("n-1", 6), view("n-2", 7));
    let mut decided = None;
    for round in 0..4 {
        let views = [if round % 2 == 0 { &first } else { &second }];
        let ms = round * 400;
        decided = planner.decide(&input(0, &views), at(ms), wall(ms), &settings);
        assert_eq!(decided.is_some(), ms >= 1000, "at {ms} ms");
    }
    assert_eq!(decided, Some(to("n-2", HandoverReason::WorkersUnreachable)));
}

/// While links keep flapping, the pause between handovers grows up to a bound, also if the leader changes: each
/// leader reads the last handover from the key-value store. The pause is reset after a long time without a handover.
#[test]
fn pause_between_handovers_grows_and_is_reset() {
    let settings = LinkSettings::default();
    let mut record: Option<HandoverRecord> = None;
    let mut lines = Vec::new();
    let mut ms = 0;
    let reaches_all = view("n-1", 8);
    let views = [&reaches_all];
    let cut_off = input(0, &views);
    for _ in 0..6 {
        // A new planner for each term, with the record that the next leader reads.
        let mut planner = HandoverPlanner::new(record.clone());
        let (when, handover) = first_handover(&mut planner, &cut_off, ms, ms + 300_000).unwrap();
        let made = planner.record(&handover, TERM, wall(when), &settings);
        lines.push(format!(
            "handover after {:>5.1} s, streak {}",
            (when - ms) as f64 / 1000.0,
            made.streak
        ));
        record = Some(made);
        ms = when;
    }
    // The streak ends after a long time without a handover.
    ms += 600_000;
    let mut planner = HandoverPlanner::new(record);
    let (when, handover) = first_handover(&mut planner, &cut_off, ms, ms + 300_000).unwrap();
    let made = planner.record(&handover, TERM, wall(when), &settings);
    lines.push(format!("after ten calm minutes: streak {}", made.streak));
    insta::assert_snapshot!(lines.join("\n"));
}

/// The pause is kept if the wall clock steps back, so that the last handover seems to be in the future.
#[test]
fn wall_clock_step_back_does_not_shorten_the_pause() {
    let settings = LinkSettings::default();
    let record = HandoverRecord {
        term: TERM - 1,
        preferred: name("n-0"),
        reason: HandoverReason::WorkersUnreachable,
        at: wall(60_000).0,
        streak: 1,
    };
    let mut planner = HandoverPlanner::new(Some(record));
    let reaches_all = view("n-1", 8);
    let views = [&reaches_all];
    for ms in (0..20_000).step_by(250) {
        let decided = planner.decide(&input(0, &views), at(ms), wall(ms), &settings);
        assert_eq!(decided, None);
    }
}

#[test]
fn well_connected_candidates_campaign_first() {
    let own = name("n-1");
    let handover_to = |node: &str| HandoverRecord {
        term: TERM,
        preferred: name(node),
        reason: HandoverReason::WorkersUnreachable,
        at: 0,
        streak: 1,
    };
    let (to_own, to_other) = (handover_to("n-1"), handover_to("n-2"));
    let default = Candidate {
        name: &own,
        refused_workers: 0,
        in_silent_zone: false,
        state_writes: LinkState::Up,
        handover: None,
    };
    let mut lines = Vec::new();
    let mut case = |text: &str, candidate: Candidate<'_>| {
        assert!(candidate.campaign_delay() <= MAX_CAMPAIGN_DELAY, "{text}");
        lines.push(format!(
            "{:>5} ms  {text}",
            candidate.campaign_delay().0 / 1000
        ));
    };
    case("nothing is known", default.clone());
    let refusing = |refused_workers| Candidate {
        refused_workers,
        ..default.clone()
    };
    case("four workers came", refusing(4));
    case("4,000 workers came", refusing(4000));
    let in_silent_zone = Candidate {
        in_silent_zone: true,
        ..default.clone()
    };
    case("in the zone of the silent workers", in_silent_zone);
    let preferred = Candidate {
        handover: Some(&to_own),
        ..default.clone()
    };
    case("preferred", preferred.clone());
    let other_preferred = Candidate {
        handover: Some(&to_other),
        ..default.clone()
    };
    case("another is preferred", other_preferred.clone());
    let with_failing_writes = |candidate| Candidate {
        state_writes: LinkState::Suspect,
        ..candidate
    };
    case("writes fail", with_failing_writes(default));
    case("preferred, and writes fail", with_failing_writes(preferred));
    case(
        "another is preferred, and writes fail",
        with_failing_writes(other_preferred),
    );
    insta::assert_snapshot!(lines.join("\n"));
}

fn peer_views() -> PeerViews {
    let peers = [name("n-1"), name("n-2")];
    let lifetimes = ViewLifetimes {
        direct: Micros::from_secs(4),
        stored: Micros::from_secs(8),
    };
    PeerViews::new(name("n-0"), &peers, lifetimes)
}

#[test]
fn stale_and_misaddressed_views_are_rejected() {
    let mut peer_views = peer_views();
    let peer = name("n-1");
    let mut accept = |view: &LinkView, ms| peer_views.accept(&peer, &view.encode(), at(ms));
    let at_sequence = |process, sequence| LinkView {
        process,
        sequence,
        ..view("n-1", 3)
    };
    assert_eq!(accept(&at_sequence(1, 5), 0), Ok(()));
    assert_eq!(accept(&at_sequence(1, 5), 100), Err(ViewError::Stale));
    assert_eq!(accept(&at_sequence(1, 4), 100), Err(ViewError::Stale));
    // The sequence numbers of another process of the peer start again.
    assert_eq!(accept(&at_sequence(2, 0), 200), Ok(()));
    assert_eq!(accept(&view("n-2", 8), 300), Err(ViewError::WrongSender));
    let elsewhere = LinkView {
        to: name("n-9"),
        ..at_sequence(2, 9)
    };
    assert_eq!(accept(&elsewhere, 300), Err(ViewError::WrongReceiver));
    assert_eq!(peer_views.rejected(), 4);
    let fresh: Vec<u64> = peer_views
        .fresh(at(300))
        .iter()
        .map(|v| v.process)
        .collect();
    assert_eq!(fresh, [2]);
}

#[test]
fn malformed_views_are_rejected() {
    let mut peer_views = peer_views();
    let encoded = view("n-1", 3).encode();
    let mut accept = |bytes: &[u8]| peer_views.accept(&name("n-1"), bytes, at(0));
    assert_eq!(accept(&[]), Err(ViewError::Malformed));
    for length in 1..encoded.len() {
        assert_eq!(
            accept(&encoded[..length]),
            Err(ViewError::Malformed),
            "{length} bytes"
        );
    }
    assert_eq!(accept(&[9; 40]), Err(ViewError::Version));
    assert_eq!(
        accept(&vec![1; MAX_VIEW_BYTES + 1]),
        Err(ViewError::TooLarge)
    );
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..2000 {
        // Random bytes must not cause a panic.
        let random_bytes: Vec<u8> = (0..rng.usize(1..200)).map(|_| rng.u8(..)).collect();
        let _ = accept(&random_bytes);
    }
    // A later version may append fields.
    let mut extended = encoded;
    extended.extend([1, 2, 3]);
    assert_eq!(accept(&extended), Ok(()));
}

/// The lifetime of a view starts when the request was sent that it answers. Stored views have a longer lifetime.
#[test]
fn views_expire_after_their_lifetime() {
    let mut peer_views = peer_views();
    let encoded = view("n-1", 3).encode();
    peer_views.accept(&name("n-1"), &encoded, at(1000)).unwrap();
    assert_eq!(peer_views.fresh(at(4999)).len(), 1);
    assert_eq!(peer_views.fresh(at(5000)).len(), 0);
    // Views from the key-value store arrive less often, and are never from before a network partition.
    let newer = LinkView {
        sequence: 2,
        ..view("n-1", 3)
    };
    let accepted = peer_views.accept_stored(&name("n-1"), &newer.encode(), at(6000));
    assert_eq!(accepted, Ok(()));
    assert_eq!(peer_views.fresh(at(13_999)).len(), 1);
    assert_eq!(peer_views.fresh(at(14_000)).len(), 0);
}

#[test]
fn peers_without_views_are_reported_as_unsupported() {
    let mut peer_views = peer_views();
    assert!(!peer_views.any_unsupported());
    peer_views.mark_unsupported(&name("n-2"));
    assert!(peer_views.any_unsupported());
    let views: Vec<&PeerView> = peer_views.peers().map(|(_, view)| view).collect();
    assert_eq!(views, [&PeerView::NotReceived, &PeerView::Unsupported]);
    // The peer has been upgraded to a version that exchanges views.
    peer_views
        .accept(&name("n-2"), &view("n-2", 0).encode(), at(0))
        .unwrap();
    assert!(!peer_views.any_unsupported());
}

#[test]
fn contradictory_settings_are_rejected() {
    let default = LinkSettings::default();
    assert_eq!(default.check(), Ok(()));
    let short_bound = LinkSettings {
        up_after_max: Micros::from_millis(999),
        ..default
    };
    let short_pause = LinkSettings {
        handover_pause_max: Micros::from_secs(19),
        ..default
    };
    let problems = [short_bound, short_pause].map(|s| s.check().unwrap_err().to_string());
    insta::assert_snapshot!(problems.join("\n"));
}

#[test]
fn undecodable_reports_are_rejected() {
    assert_eq!(LinkReport::decode(&[]), Err(ReportError::Malformed));
    assert_eq!(LinkReport::decode(&[1, 0]), Err(ReportError::Malformed));
    assert_eq!(LinkReport::decode(&[2, 0]), Err(ReportError::Version));
}
