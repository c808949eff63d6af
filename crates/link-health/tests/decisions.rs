//! When the lead is handed over, who stands first, and which views count.

use aspenreel_link_health::election::{Candidate, LONGEST_WAIT};
use aspenreel_link_health::evidence::NodeName;
use aspenreel_link_health::handover::{
    Handover, HandoverPlanner, HandoverRecord, Reason, Situation,
};
use aspenreel_link_health::monitor::LinkState;
use aspenreel_link_health::report::{LinkReport, ReportError};
use aspenreel_link_health::settings::LinkSettings;
use aspenreel_link_health::time::{Micros, Moment, WallTime};
use aspenreel_link_health::view::{
    BelievedFor, LinkView, MAX_VIEW_BYTES, PeerView, ViewBook, ViewError,
};
use aspenreel_link_health::workers::Hearing;
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

fn view(from: &str, heard: u32) -> LinkView {
    LinkView {
        from: name(from),
        to: name("n-0"),
        process: 1,
        sequence: 1,
        term: TERM,
        leads: false,
        state_reads: LinkState::Up,
        state_writes: LinkState::Up,
        hearing: Hearing { heard, known: 0 },
    }
}

/// What a leader knows that hears so many of eight workers.
fn situation<'a>(heard: u32, views: &'a [&'a LinkView]) -> Situation<'a> {
    Situation {
        term: TERM,
        hearing: Hearing { heard, known: 8 },
        state_writes: LinkState::Up,
        views,
        silent_beyond: &NOBODY,
    }
}

/// Considers the same situation every 250 ms; when the lead was handed over, and to whom.
fn played(
    planner: &mut HandoverPlanner,
    situation: &Situation<'_>,
    from_ms: u64,
    to_ms: u64,
) -> Option<(u64, Handover)> {
    let settings = LinkSettings::default();
    (from_ms..to_ms).step_by(250).find_map(|ms| {
        let handover = planner.consider(situation, at(ms), wall(ms), &settings)?;
        Some((ms, handover))
    })
}

fn decided(situation: &Situation<'_>) -> Option<(u64, Handover)> {
    played(&mut HandoverPlanner::default(), situation, 0, 10_000)
}

fn to(node: &str, reason: Reason) -> Handover {
    Handover {
        to: name(node),
        reason,
    }
}

#[test]
fn a_blind_leader_hands_over_to_whoever_hears_most() {
    let (some, most) = (view("n-1", 3), view("n-2", 6));
    let handover = decided(&situation(1, &[&some, &most]));
    assert_eq!(handover, Some((1000, to("n-2", Reason::WorkersUnheard))));
    // Of equals, one is chosen, and always the same.
    let (one, other) = (view("n-2", 6), view("n-1", 6));
    let handover = decided(&situation(1, &[&one, &other]));
    assert_eq!(handover, Some((1000, to("n-1", Reason::WorkersUnheard))));
}

#[test]
fn nothing_moves_when_nobody_is_better_placed() {
    let blind = view("n-1", 0);
    assert_eq!(decided(&situation(0, &[&blind])), None);
    assert_eq!(decided(&situation(0, &[])), None);
    // Hardly better is not better: the margin is a quarter of the workers.
    let hardly = view("n-1", 4);
    assert_eq!(decided(&situation(3, &[&hardly])), None);
    // A leader that hears most of its workers stays, whoever hears more.
    let all = view("n-1", 8);
    assert_eq!(decided(&situation(4, &[&all])), None);
    // Few workers may be silent for their own reasons.
    let few = Situation {
        hearing: Hearing { heard: 0, known: 2 },
        ..situation(0, &[])
    };
    let both = view("n-1", 2);
    let few = Situation {
        views: &[&both],
        ..few
    };
    assert_eq!(decided(&few), None);
}

#[test]
fn a_peer_that_could_not_lead_is_not_preferred() {
    let hears_all = || view("n-1", 8);
    let cut = LinkView {
        state_writes: LinkState::Down,
        ..hears_all()
    };
    let unproven = LinkView {
        state_reads: LinkState::Unknown,
        ..hears_all()
    };
    let of_an_old_term = LinkView {
        term: TERM - 1,
        ..hears_all()
    };
    let thinks_it_leads = LinkView {
        leads: true,
        ..hears_all()
    };
    for view in [cut, unproven, of_an_old_term, thinks_it_leads] {
        assert_eq!(decided(&situation(0, &[&view])), None, "{view:?}");
    }
}

#[test]
fn a_leader_that_cannot_write_hands_over_to_one_that_can() {
    let able = view("n-1", 0);
    let cannot_write = Situation {
        state_writes: LinkState::Down,
        ..situation(8, &[])
    };
    assert_eq!(decided(&cannot_write), None);
    let peer_can = Situation {
        views: &[&able],
        ..cannot_write
    };
    assert_eq!(
        decided(&peer_can),
        Some((1000, to("n-1", Reason::CannotWrite)))
    );
}

/// A cut between zones: the peer and the silent workers of its zone are beyond it together. The peer's view
/// came through the state service, and no worker has found the peer yet.
#[test]
fn silent_workers_are_taken_to_reach_a_peer_beyond_the_same_cut() {
    let beyond = BTreeMap::from([(name("n-2"), 6)]);
    let (near, far) = (view("n-1", 1), view("n-2", 0));
    let both = [&near, &far];
    let partitioned = Situation {
        silent_beyond: &beyond,
        ..situation(2, &both)
    };
    let handover = Some((1000, to("n-2", Reason::WorkersUnheard)));
    assert_eq!(decided(&partitioned), handover);
    // A peer that doesn't tell that it has the state service may as well be down.
    let without_its_view = Situation {
        views: &[&near],
        ..partitioned
    };
    assert_eq!(decided(&without_its_view), None);
    // A minority beyond the cut moves nothing.
    let few = BTreeMap::from([(name("n-2"), 2)]);
    let minority = Situation {
        silent_beyond: &few,
        ..situation(6, &both)
    };
    assert_eq!(decided(&minority), None);
}

/// Somebody must be better placed all the time: a moment in which nobody is begins the wait anew.
#[test]
fn a_better_place_must_last() {
    let mut planner = HandoverPlanner::default();
    let settings = LinkSettings::default();
    let (able, blind) = (view("n-1", 6), view("n-1", 0));
    for round in 0..40 {
        let views = [if round % 4 < 3 { &able } else { &blind }];
        let ms = round * 300;
        let decided = planner.consider(&situation(0, &views), at(ms), wall(ms), &settings);
        assert_eq!(decided, None, "at {ms} ms");
    }
}

/// Views through the state service come in turn: which peer is best placed may change meanwhile.
#[test]
fn the_best_placed_peer_may_change() {
    let mut planner = HandoverPlanner::default();
    let settings = LinkSettings::default();
    let (one, other) = (view("n-1", 6), view("n-2", 7));
    let mut decided = None;
    for round in 0..4 {
        let views = [if round % 2 == 0 { &one } else { &other }];
        let ms = round * 400;
        decided = planner.consider(&situation(0, &views), at(ms), wall(ms), &settings);
        assert_eq!(decided.is_some(), ms >= 1000, "at {ms} ms");
    }
    assert_eq!(decided, Some(to("n-2", Reason::WorkersUnheard)));
}

/// However links flap, the time between handovers grows, for all controllers together: each reads the
/// last handover from the record.
#[test]
fn handovers_are_bounded() {
    let settings = LinkSettings::default();
    let mut record: Option<HandoverRecord> = None;
    let mut lines = Vec::new();
    let mut ms = 0;
    let hears_all = view("n-1", 8);
    let views = [&hears_all];
    let cut_off = situation(0, &views);
    for _ in 0..6 {
        // Each term begins with the record, as the next leader reads it.
        let mut planner = HandoverPlanner::new(record.clone());
        let (when, handover) = played(&mut planner, &cut_off, ms, ms + 300_000).unwrap();
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
    let (when, handover) = played(&mut planner, &cut_off, ms, ms + 300_000).unwrap();
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
        reason: Reason::WorkersUnheard,
        at: wall(60_000).0,
        streak: 1,
    };
    let mut planner = HandoverPlanner::new(Some(record));
    let hears_all = view("n-1", 8);
    let views = [&hears_all];
    for ms in (0..20_000).step_by(250) {
        let decided = planner.consider(&situation(0, &views), at(ms), wall(ms), &settings);
        assert_eq!(decided, None);
    }
}

#[test]
fn well_connected_candidates_stand_first() {
    let own = name("n-1");
    let handover_to = |node: &str| HandoverRecord {
        term: TERM,
        preferred: name(node),
        reason: Reason::WorkersUnheard,
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
        assert!(candidate.wait() <= LONGEST_WAIT, "{text}");
        lines.push(format!("{:>5} ms  {text}", candidate.wait().0 / 1000));
    };
    case("nothing is known", usual.clone());
    let hears = |refused_workers| Candidate {
        refused_workers,
        ..usual.clone()
    };
    case("four workers came", hears(4));
    case("4,000 workers came", hears(4000));
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

fn book() -> ViewBook {
    let peers = [name("n-1"), name("n-2")];
    let believed_for = BelievedFor {
        direct: Micros::from_secs(4),
        stored: Micros::from_secs(8),
    };
    ViewBook::new(name("n-0"), &peers, believed_for)
}

#[test]
fn views_that_do_not_count_have_no_effect() {
    let mut book = book();
    let peer = name("n-1");
    let mut take = |view: &LinkView, ms| book.take(&peer, &view.encode(), at(ms));
    let at_sequence = |process, sequence| LinkView {
        process,
        sequence,
        ..view("n-1", 3)
    };
    assert_eq!(take(&at_sequence(1, 5), 0), Ok(()));
    assert_eq!(take(&at_sequence(1, 5), 100), Err(ViewError::Late));
    assert_eq!(take(&at_sequence(1, 4), 100), Err(ViewError::Late));
    // Another process of the peer begins anew.
    assert_eq!(take(&at_sequence(2, 0), 200), Ok(()));
    assert_eq!(take(&view("n-2", 8), 300), Err(ViewError::WrongSender));
    let elsewhere = LinkView {
        to: name("n-9"),
        ..at_sequence(2, 9)
    };
    assert_eq!(take(&elsewhere, 300), Err(ViewError::WrongReceiver));
    assert_eq!(book.rejected(), 4);
    let fresh: Vec<u64> = book.fresh(at(300)).iter().map(|v| v.process).collect();
    assert_eq!(fresh, [2]);
}

#[test]
fn malformed_views_are_refused() {
    let mut book = book();
    let whole = view("n-1", 3).encode();
    let mut take = |bytes: &[u8]| book.take(&name("n-1"), bytes, at(0));
    assert_eq!(take(&[]), Err(ViewError::Malformed));
    for cut in 1..whole.len() {
        assert_eq!(
            take(&whole[..cut]),
            Err(ViewError::Malformed),
            "{cut} bytes"
        );
    }
    assert_eq!(take(&[9; 40]), Err(ViewError::Version));
    assert_eq!(take(&vec![1; MAX_VIEW_BYTES + 1]), Err(ViewError::TooLarge));
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..2000 {
        // Whatever comes, it is an answer and not a panic.
        let noise: Vec<u8> = (0..rng.usize(1..200)).map(|_| rng.u8(..)).collect();
        let _ = take(&noise);
    }
    // A later version may append fields.
    let mut longer = whole;
    longer.extend([1, 2, 3]);
    assert_eq!(take(&longer), Ok(()));
}

/// A view is as old as the question that it answers, and is believed only while it is young.
#[test]
fn old_views_are_not_believed() {
    let mut book = book();
    let encoded = view("n-1", 3).encode();
    book.take(&name("n-1"), &encoded, at(1000)).unwrap();
    assert_eq!(book.fresh(at(4999)).len(), 1);
    assert_eq!(book.fresh(at(5000)).len(), 0);
    // Those from the state service come seldom, and never from before a cut.
    let newer = LinkView {
        sequence: 2,
        ..view("n-1", 3)
    };
    let taken = book.take_stored(&name("n-1"), &newer.encode(), at(6000));
    assert_eq!(taken, Ok(()));
    assert_eq!(book.fresh(at(13_999)).len(), 1);
    assert_eq!(book.fresh(at(14_000)).len(), 0);
}

#[test]
fn peers_without_views_are_known() {
    let mut book = book();
    assert!(!book.some_not_offered());
    book.not_offered(&name("n-2"));
    assert!(book.some_not_offered());
    let views: Vec<&PeerView> = book.peers().map(|(_, view)| view).collect();
    assert_eq!(views, [&PeerView::Unheard, &PeerView::NotOffered]);
    // It was replaced by a version that exchanges views.
    book.take(&name("n-2"), &view("n-2", 0).encode(), at(0))
        .unwrap();
    assert!(!book.some_not_offered());
}

#[test]
fn contradictory_settings_are_refused() {
    let usual = LinkSettings::default();
    assert_eq!(usual.check(), Ok(()));
    let short_bound = LinkSettings {
        up_after_max: Micros::from_millis(999),
        ..usual.clone()
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
