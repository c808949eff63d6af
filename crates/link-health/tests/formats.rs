//! The forms in which other versions and scripts read what this package makes: they stay as they are.

use aspenreel_link_health::evidence::{Failure, Link, NodeName};
use aspenreel_link_health::handover::{HandoverRecord, Reason};
use aspenreel_link_health::monitor::LinkState;
use aspenreel_link_health::permissions::Permissions;
use aspenreel_link_health::report::{LinkReport, LinkRow, PeerRow};
use aspenreel_link_health::view::LinkView;
use aspenreel_link_health::workers::Hearing;
use serde::Serialize;

const REACHABILITY: Hearing = Hearing { heard: 3, known: 8 };

fn json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn row(link: Link, state: LinkState, last_failure: Option<Failure>) -> LinkRow {
    LinkRow {
        link,
        state,
        for_ms: 1500,
        answered_ms_ago: Some(20),
        heard_ms_ago: None,
        flaps: 2,
        last_failure,
    }
}

fn report() -> LinkReport {
    let peer = PeerRow {
        peer: NodeName::from("n-1"),
        offers_views: true,
        view_ms_ago: Some(700),
        hears: Some(5),
    };
    LinkReport {
        node: NodeName::from("n-0"),
        term: 7,
        leader: Some(NodeName::from("n-2")),
        leads: false,
        hearing: REACHABILITY,
        permissions: Permissions::NONE,
        links: vec![
            row(Link::StateReads, LinkState::Up, None),
            row(
                Link::StateWrites,
                LinkState::Suspect,
                Some(Failure::Refused),
            ),
            row(
                Link::Peer(NodeName::from("n-1")),
                LinkState::Down,
                Some(Failure::Unreachable),
            ),
            row(Link::Workers, LinkState::Unknown, Some(Failure::NoAnswer)),
        ],
        peers: vec![peer],
        rejected_views: 4,
        dropped_evidence: 6,
    }
}

#[test]
fn a_report_for_scripts_and_for_controllers() {
    let report = report();
    assert_eq!(LinkReport::decode(&report.encode()), Ok(report.clone()));
    insta::assert_snapshot!(json(&report) + "\n" + &hex(&report.encode()));
}

#[test]
fn a_view_in_the_store_and_between_controllers() {
    let view = LinkView {
        from: NodeName::from("n-0"),
        to: NodeName::from("n-1"),
        process: 11,
        sequence: 12,
        term: 7,
        leads: true,
        state_reads: LinkState::Up,
        state_writes: LinkState::Down,
        hearing: REACHABILITY,
    };
    assert_eq!(LinkView::decode(&view.encode()), Ok(view.clone()));
    let stored: LinkView = serde_json::from_str(&json(&view)).unwrap();
    assert_eq!(stored, view);
    insta::assert_snapshot!(json(&view) + "\n" + &hex(&view.encode()));
}

#[test]
fn a_handover_in_the_store() {
    let record = |reason| HandoverRecord {
        term: 7,
        preferred: NodeName::from("n-1"),
        reason,
        at: 13,
        streak: 2,
    };
    let records = [Reason::WorkersUnheard, Reason::CannotWrite].map(record);
    let stored: [HandoverRecord; 2] = serde_json::from_str(&json(&records)).unwrap();
    assert_eq!(stored, records);
    insta::assert_snapshot!(json(&records));
}
