//! Compatibility tests: the encodings that other versions and scripts read must not change.

use aspenreel_link_health::handover::{HandoverReason, HandoverRecord};
use aspenreel_link_health::link::{Link, NodeName};
use aspenreel_link_health::monitor::LinkState;
use aspenreel_link_health::observation::CallFailure;
use aspenreel_link_health::permissions::Permissions;
use aspenreel_link_health::reachability::Reachability;
use aspenreel_link_health::report::{LinkReport, LinkRow, PeerRow};
use aspenreel_link_health::view::LinkView;
use serde::Serialize;

const REACHABILITY: Reachability = Reachability {
    reachable: 3,
    expected: 8,
};

fn json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).expect("JSON of a value without maps")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn row(link: Link, state: LinkState, last_failure: Option<CallFailure>) -> LinkRow {
    LinkRow {
        link,
        state,
        for_ms: 1500,
        answered_ms_ago: Some(20),
        received_ms_ago: None,
        flaps: 2,
        last_failure,
    }
}

fn report() -> LinkReport {
    let peer = PeerRow {
        peer: NodeName::from("n-1"),
        offers_views: true,
        view_ms_ago: Some(700),
        reachable_workers: Some(5),
    };
    LinkReport {
        node: NodeName::from("n-0"),
        term: 7,
        leader: Some(NodeName::from("n-2")),
        leads: false,
        reachability: REACHABILITY,
        permissions: Permissions::NONE,
        links: vec![
            row(Link::StateReads, LinkState::Up, None),
            row(
                Link::StateWrites,
                LinkState::Suspect,
                Some(CallFailure::Refused),
            ),
            row(
                Link::Peer(NodeName::from("n-1")),
                LinkState::Down,
                Some(CallFailure::Unreachable),
            ),
            row(
                Link::Workers,
                LinkState::Unknown,
                Some(CallFailure::NoAnswer),
            ),
        ],
        peers: vec![peer],
        rejected_views: 4,
        dropped_observations: 6,
    }
}

#[test]
fn link_report_encodings_are_stable() {
    let report = report();
    assert_eq!(LinkReport::decode(&report.encode()), Ok(report.clone()));
    insta::assert_snapshot!(json(&report) + "\n" + &hex(&report.encode()));
}

#[test]
fn link_view_encodings_are_stable() {
    let view = LinkView {
        from: NodeName::from("n-0"),
        to: NodeName::from("n-1"),
        process: 11,
        sequence: 12,
        term: 7,
        leads: true,
        state_reads: LinkState::Up,
        state_writes: LinkState::Down,
        reachability: REACHABILITY,
    };
    assert_eq!(LinkView::decode(&view.encode()), Ok(view.clone()));
    let stored: LinkView = serde_json::from_str(&json(&view)).unwrap();
    assert_eq!(stored, view);
    insta::assert_snapshot!(json(&view) + "\n" + &hex(&view.encode()));
}

#[test]
fn handover_record_encoding_is_stable() {
    let record = |reason| HandoverRecord {
        term: 7,
        preferred: NodeName::from("n-1"),
        reason,
        at: 13,
        streak: 2,
    };
    let records = [
        HandoverReason::WorkersUnreachable,
        HandoverReason::CannotWrite,
    ]
    .map(record);
    let stored: [HandoverRecord; 2] = serde_json::from_str(&json(&records)).unwrap();
    assert_eq!(stored, records);
    insta::assert_snapshot!(json(&records));
}
