//! When leadership is handed over, who campaigns first, and which views count.

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
static NOBODY: BTreeMap<NodeName, u32> = BTreeMap::new();

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

/// What a leader knows that so many of eight workers reach.
fn input<'a>(reachable: u32, views: &'a [&'a LinkView]) -> HandoverInput<'a> {
    HandoverInput {
        term: TERM,
        reachability: Reachability {
            reachable,
            expected: 8,
        },
        state_writes: LinkState::Up,
        views,
        silent_workers_by_unreachable_peer: &NOBODY,
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
fn a_leader_without_workers_hands_over_to_the_peer_with_most() {
    let (some, most) = (view("n-1", 3), view("n-2", 6));
    let handover = decided(&input(1, &[&some, &most]));
    assert_eq!(
        handover,
        Some((1000, to("n-2", HandoverReason::WorkersUnreachable)))
    );
    // Of equals, one is chosen, and always the same.
    let (one, other) = (view("n-2", 6), view("n-1", 6));
    let handover = decided(&input(1, &[&one, &other]));
    assert_eq!(
        handover,
        Some((1000, to("n-1", HandoverReason::WorkersUnreachable)))
    );
}

#[test]
fn nothing_moves_when_nobody_is_better_placed() {
    let unreached = view("n-1", 0);
    assert_eq!(decided(&input(0, &[&unreached])), None);
    assert_eq!(decided(&input(0, &[])), None);
    // Hardly better is not better: the margin is a quarter of the workers.
    let hardly = view("n-1", 4);
    assert_eq!(decided(&input(3, &[&hardly])), None);
    // A leader that hears most of its workers stays, whoever hears more.
    let all = view("n-1", 8);
    assert_eq!(decided(&input(4, &[&all])), None);
    // Few workers may be silent for their own reasons.
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
fn a_peer_that_could_not_lead_is_not_preferred() {
    let reaches_all = || view("n-1", 8);
    let cut = LinkView {
        state_writes: LinkState::Down,
        ..reaches_all()
    };
    let unproven = LinkView {
        state_reads: LinkState::Unknown,
        ..reaches_all()
    };
    let of_an_old_term = LinkView {
        term: TERM - 1,
        ..reaches_all()
    };
    let thinks_it_leads = LinkView {
        leads: true,
        ..reaches_all()
    };
    for view in [cut, unproven, of_an_old_term, thinks_it_leads] {
        assert_eq!(decided(&input(0, &[&view])), None, "{view:?}");
    }
}

#[test]
fn a_leader_that_cannot_write_hands_over_to_one_that_can() {
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

/// A cut between zones: the peer and the silent workers of its zone are beyond it together. The peer's view
/// came through the key-value store, and no worker has found the peer yet.
#[test]
fn silent_workers_are_taken_to_reach_a_peer_beyond_the_same_cut() {
    let beyond = BTreeMap::from([(name("n-2"), 6)]);
    let (near, far) = (view("n-1", 1), view("n-2", 0));
    let both = [&near, &far];
    let partitioned = HandoverInput {
        silent_workers_by_unreachable_peer: &beyond,
        ..input(2, &both)
    };
    let handover = Some((1000, to("n-2", HandoverReason::WorkersUnreachable)));
    assert_eq!(decided(&partitioned), handover);
    // A peer that doesn't tell that it reaches the key-value store may as well be down.
    let without_its_view = HandoverInput {
        views: &[&near],
        ..partitioned
    };
    assert_eq!(decided(&without_its_view), None);
    // A minority beyond the cut moves nothing.
    let few = BTreeMap::from([(name("n-2"), 2)]);
    let minority = HandoverInput {
        silent_workers_by_unreachable_peer: &few,
        ..input(6, &both)
    };
    assert_eq!(decided(&minority), None);
}

/// Somebody must be better placed all the time: a moment in which nobody is begins the wait anew.
#[test]
fn a_better_place_must_last() {
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

/// Views through the key-value store come in turn: which peer is best placed may change meanwhile.
#[test]
fn the_best_placed_peer_may_change() {
    let mut planner = HandoverPlanner::default();
    let settings = LinkSettings::default();
    let (one, other) = (view("n-1", 6), view("n-2", 7));
    let mut decided = None;
    for round in 0..4 {
        let views = [if round % 2 == 0 { &one } else { &other }];
        let ms = round * 400;
        decided = planner.decide(&input(0, &views), at(ms), wall(ms), &settings);
        assert_eq!(decided.is_some(), ms >= 1000, "at {ms} ms");
    }
    assert_eq!(decided, Some(to("n-2", HandoverReason::WorkersUnreachable)));
}

/// However links flap, the time between handovers grows, for all controllers together: each reads the
/// last handover from the record.
#[test]
fn handovers_are_bounded() {
    let settings = LinkSettings::default();
    let mut record: Option<HandoverRecord> = None;
    let mut lines = Vec::new();
    let mut ms = 0;
    let reaches_all = view("n-1", 8);
    let views = [&reaches_all];
    let cut_off = input(0, &views);
    for _ in 0..6 {
        // Each term begins with the record, as the next leader reads it.
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
    // After a calm the streak is over.
    ms += 600_000;
    let mut planner = HandoverPlanner::new(record);
    let (when, handover) = first_handover(&mut planner, &cut_off, ms, ms + 300_000).unwrap();
    let made = planner.record(&handover, TERM, wall(when), &settings);
    lines.push(format!("after ten calm minutes: streak {}", made.streak));
    insta::assert_snapshot!(lines.join("\n"));
}

/// A time of day that steps back keeps the pause; it never lets handovers come sooner.
#[test]
fn clocks_that_step_back_keep_the_pause() {
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
    let (to_me, to_other) = (handover_to("n-1"), handover_to("n-2"));
    let usual = Candidate {
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
    case("nothing is known", usual.clone());
    let refusing = |refused_workers| Candidate {
        refused_workers,
        ..usual.clone()
    };
    case("four workers came", refusing(4));
    case("4,000 workers came", refusing(4000));
    let in_silent_zone = Candidate {
        in_silent_zone: true,
        ..usual.clone()
    };
    case("in the zone of the silent workers", in_silent_zone);
    let preferred = Candidate {
        handover: Some(&to_me),
        ..usual.clone()
    };
    case("preferred", preferred.clone());
    let other_preferred = Candidate {
        handover: Some(&to_other),
        ..usual.clone()
    };
    case("another is preferred", other_preferred.clone());
    let poor = |candidate| Candidate {
        state_writes: LinkState::Suspect,
        ..candidate
    };
    case("writes fail", poor(usual));
    case("preferred, and writes fail", poor(preferred));
    case(
        "another is preferred, and writes fail",
        poor(other_preferred),
    );
    insta::assert_snapshot!(lines.join("\n"));
}

fn book() -> PeerViews {
    let peers = [name("n-1"), name("n-2")];
    let lifetimes = ViewLifetimes {
        direct: Micros::from_secs(4),
        stored: Micros::from_secs(8),
    };
    PeerViews::new(name("n-0"), &peers, lifetimes)
}

#[test]
fn views_that_do_not_count_have_no_effect() {
    let mut book = book();
    let peer = name("n-1");
    let mut accept = |view: &LinkView, ms| book.accept(&peer, &view.encode(), at(ms));
    let at_sequence = |process, sequence| LinkView {
        process,
        sequence,
        ..view("n-1", 3)
    };
    assert_eq!(accept(&at_sequence(1, 5), 0), Ok(()));
    assert_eq!(accept(&at_sequence(1, 5), 100), Err(ViewError::Stale));
    assert_eq!(accept(&at_sequence(1, 4), 100), Err(ViewError::Stale));
    // Another process of the peer begins anew.
    assert_eq!(accept(&at_sequence(2, 0), 200), Ok(()));
    assert_eq!(accept(&view("n-2", 8), 300), Err(ViewError::WrongSender));
    let elsewhere = LinkView {
        to: name("n-9"),
        ..at_sequence(2, 9)
    };
    assert_eq!(accept(&elsewhere, 300), Err(ViewError::WrongReceiver));
    assert_eq!(book.rejected(), 4);
    let fresh: Vec<u64> = book.fresh(at(300)).iter().map(|v| v.process).collect();
    assert_eq!(fresh, [2]);
}

#[test]
fn malformed_views_are_refused() {
    let mut book = book();
    let whole = view("n-1", 3).encode();
    let mut accept = |bytes: &[u8]| book.accept(&name("n-1"), bytes, at(0));
    assert_eq!(accept(&[]), Err(ViewError::Malformed));
    for cut in 1..whole.len() {
        assert_eq!(
            accept(&whole[..cut]),
            Err(ViewError::Malformed),
            "{cut} bytes"
        );
    }
    assert_eq!(accept(&[9; 40]), Err(ViewError::Version));
    assert_eq!(
        accept(&vec![1; MAX_VIEW_BYTES + 1]),
        Err(ViewError::TooLarge)
    );
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..2000 {
        // Whatever comes, it is an answer and not a panic.
        let noise: Vec<u8> = (0..rng.usize(1..200)).map(|_| rng.u8(..)).collect();
        let _ = accept(&noise);
    }
    // A later version may append fields.
    let mut longer = whole;
    longer.extend([1, 2, 3]);
    assert_eq!(accept(&longer), Ok(()));
}

/// A view is as old as the request that it answers, and counts only while it is young.
#[test]
fn old_views_do_not_count() {
    let mut book = book();
    let encoded = view("n-1", 3).encode();
    book.accept(&name("n-1"), &encoded, at(1000)).unwrap();
    assert_eq!(book.fresh(at(4999)).len(), 1);
    assert_eq!(book.fresh(at(5000)).len(), 0);
    // Those from the key-value store come seldom, and never from before a partition.
    let newer = LinkView {
        sequence: 2,
        ..view("n-1", 3)
    };
    let accepted = book.accept_stored(&name("n-1"), &newer.encode(), at(6000));
    assert_eq!(accepted, Ok(()));
    assert_eq!(book.fresh(at(13_999)).len(), 1);
    assert_eq!(book.fresh(at(14_000)).len(), 0);
}

#[test]
fn peers_that_support_no_views_are_known() {
    let mut book = book();
    assert!(!book.any_unsupported());
    book.mark_unsupported(&name("n-2"));
    assert!(book.any_unsupported());
    let views: Vec<&PeerView> = book.peers().map(|(_, view)| view).collect();
    assert_eq!(views, [&PeerView::NotReceived, &PeerView::Unsupported]);
    // It was replaced by a version that exchanges views.
    book.accept(&name("n-2"), &view("n-2", 0).encode(), at(0))
        .unwrap();
    assert!(!book.any_unsupported());
}

#[test]
fn contradictory_settings_are_refused() {
    let usual = LinkSettings::default();
    assert_eq!(usual.check(), Ok(()));
    let short_bound = LinkSettings {
        up_after_max: Micros::from_millis(999),
        ..usual
    };
    let short_pause = LinkSettings {
        handover_pause_max: Micros::from_secs(19),
        ..usual
    };
    let problems = [short_bound, short_pause].map(|s| s.check().unwrap_err().to_string());
    insta::assert_snapshot!(problems.join("\n"));
}

#[test]
fn unreadable_reports_are_refused() {
    assert_eq!(LinkReport::decode(&[]), Err(ReportError::Malformed));
    assert_eq!(LinkReport::decode(&[1, 0]), Err(ReportError::Malformed));
    assert_eq!(LinkReport::decode(&[2, 0]), Err(ReportError::Version));
}
