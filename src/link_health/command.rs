//! The command `aspenreel links`: prints the link report of each controller as tables or as JSON.

use crate::peer::{PeerReply, PeerRequest, PeerTransport, TcpTransport};
use crate::settings::Settings;
use aspenreel_link_health::link::NodeName;
use aspenreel_link_health::report::{LinkReport, LinkRow, PeerRow, ReportError};
use serde::Serialize;
use std::fmt::Write;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::mpsc;
use std::time::Duration;

/// Exit code if some controllers answered and some didn't.
const EXIT_SOME_UNANSWERED: u8 = 3;
/// Exit code if no controller answered.
const EXIT_NONE_ANSWERED: u8 = 4;

/// Reasons why the report of a controller isn't available.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportRequestError {
    /// The connection was refused.
    #[error("refuses connections: it is down, or has no free sockets")]
    Refused,
    /// The controller didn't answer within the timeout.
    #[error("no answer in time: it is down, busy, or cut off from here")]
    Silent,
    /// The connection was closed before a reply arrived.
    #[error("closes the connection: an earlier version, or not a controller")]
    Closed,
    /// The reply isn't one that a controller sends to this request.
    #[serde(rename = "foreign")]
    #[error("answers in another protocol: not a controller")]
    UnexpectedReply,
    /// The controller doesn't monitor its links.
    #[serde(rename = "not-watching")]
    #[error("doesn't watch its links: it runs without --half-cut-links")]
    MonitoringDisabled,
    /// The report can't be decoded.
    #[error("its report can't be read: {0}")]
    Unreadable(String),
    /// Any other failure.
    #[error("{0}")]
    Other(String),
}

/// The result of the request to one controller.
#[derive(Debug)]
pub struct ControllerAnswer {
    /// Name of the controller in the settings.
    pub node: NodeName,
    /// Peer address to which the request was sent.
    pub addr: SocketAddr,
    /// The controller's report, or the reason why it isn't available.
    pub report: Result<LinkReport, ReportRequestError>,
}

/// Requests the link reports of all configured controllers in parallel, and returns the results ordered by name. The
/// results are collected one after the other, and each is waited for no longer than twice `timeout`, even if the
/// other end sends its reply slowly.
pub fn request_link_reports(settings: &Settings, timeout: Duration) -> Vec<ControllerAnswer> {
    let own_node = (settings.node.clone(), settings.peer_listen);
    let members = settings.members.iter();
    let mut nodes: Vec<_> = members.map(|m| (m.node.clone(), m.peer_addr)).collect();
    nodes.push(own_node);
    nodes.sort();
    let requests: Vec<_> = nodes
        .into_iter()
        .map(|(node, addr)| {
            let (sender, receiver) = mpsc::channel();
            // A reply that arrives byte by byte can keep this thread busy beyond the timeout. The command doesn't
            // wait for the thread to end.
            std::thread::spawn(move || {
                let _ = sender.send(request_link_report(addr, timeout));
            });
            (NodeName(node), addr, receiver)
        })
        .collect();
    requests
        .into_iter()
        .map(|(node, addr, receiver)| {
            let report = receiver.recv_timeout(2 * timeout);
            ControllerAnswer {
                node,
                addr,
                report: report.unwrap_or(Err(ReportRequestError::Silent)),
            }
        })
        .collect()
}

fn request_link_report(
    addr: SocketAddr,
    timeout: Duration,
) -> Result<LinkReport, ReportRequestError> {
    let reply = TcpTransport::new(addr).call(&PeerRequest::LinkReport, timeout);
    match reply {
        Ok(PeerReply::LinkReport { report }) => LinkReport::decode(&report)
            .map_err(|e: ReportError| ReportRequestError::Unreadable(e.to_string())),
        Ok(PeerReply::Busy) => Err(ReportRequestError::MonitoringDisabled),
        Ok(_) => Err(ReportRequestError::UnexpectedReply),
        Err(e) => Err(request_error(&e)),
    }
}

fn request_error(error: &Error) -> ReportRequestError {
    match error.kind() {
        ErrorKind::ConnectionRefused => ReportRequestError::Refused,
        ErrorKind::TimedOut | ErrorKind::WouldBlock => ReportRequestError::Silent,
        ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => {
            ReportRequestError::Closed
        }
        // A frame that is too large, or that doesn't contain a reply.
        ErrorKind::Other | ErrorKind::InvalidData | ErrorKind::InvalidInput => {
            ReportRequestError::UnexpectedReply
        }
        _ => ReportRequestError::Other(error.to_string()),
    }
}

/// Exit code of the command: 0 if all controllers answered, 3 if some did, 4 if none did.
pub fn exit_code(answers: &[ControllerAnswer]) -> ExitCode {
    let unanswered = answers.iter().filter(|a| a.report.is_err()).count();
    match unanswered {
        0 => ExitCode::SUCCESS,
        count if count == answers.len() => ExitCode::from(EXIT_NONE_ANSWERED),
        _ => ExitCode::from(EXIT_SOME_UNANSWERED),
    }
}

/// Formats all results as one JSON document.
pub fn links_json(answers: &[ControllerAnswer]) -> String {
    #[derive(Serialize)]
    struct AnswerJson<'a> {
        node: &'a NodeName,
        addr: SocketAddr,
        #[serde(skip_serializing_if = "Option::is_none")]
        report: Option<&'a LinkReport>,
        #[serde(skip_serializing_if = "Option::is_none")]
        problem: Option<&'a ReportRequestError>,
    }
    let answers: Vec<AnswerJson> = answers
        .iter()
        .map(|answer| AnswerJson {
            node: &answer.node,
            addr: answer.addr,
            report: answer.report.as_ref().ok(),
            problem: answer.report.as_ref().err(),
        })
        .collect();
    serde_json::to_string_pretty(&answers).unwrap_or_default()
}

/// Formats all results as tables.
pub fn links_table(answers: &[ControllerAnswer]) -> String {
    let mut out = String::new();
    for answer in answers {
        // Writing to a string can't fail.
        let _ = match &answer.report {
            Ok(report) => write_report(&mut out, report),
            Err(problem) => writeln!(out, "{} ({}): {problem}\n", answer.node, answer.addr),
        };
    }
    out
}

fn write_report(out: &mut String, report: &LinkReport) -> std::fmt::Result {
    let role = match (report.leads, &report.leader) {
        (true, _) => "leads".to_string(),
        (false, Some(leader)) => format!("follows {leader}"),
        (false, None) => "knows no leader".to_string(),
    };
    writeln!(out, "{}: {role}, term {}", report.node, report.term)?;
    let decisions = match (report.leads, report.permissions.assign) {
        (false, _) => "none, it doesn't lead",
        (true, true) => "all",
        (true, false) => "none, it can't record them",
    };
    writeln!(out, "  decisions: {decisions}")?;
    let reachability = report.reachability;
    match report.leads {
        true => writeln!(
            out,
            "  workers heard: {} of {}",
            reachability.reachable, reachability.expected
        )?,
        false => writeln!(out, "  workers refused lately: {}", reachability.reachable)?,
    }
    writeln!(
        out,
        "  {:<20} {:<8} {:>9} {:>12} {:>9} {:>6}  last failure",
        "link", "state", "for", "answered", "heard", "losses"
    )?;
    for row in &report.links {
        write_link(out, row)?;
    }
    for peer in &report.peers {
        write_peer(out, peer)?;
    }
    if report.rejected_views > 0 {
        writeln!(out, "  views without effect: {}", report.rejected_views)?;
    }
    writeln!(out)
}

fn write_link(out: &mut String, row: &LinkRow) -> std::fmt::Result {
    let failure = row.last_failure.map(|failure| failure.to_string());
    writeln!(
        out,
        "  {:<20} {:<8} {:>9} {:>12} {:>9} {:>6}  {}",
        row.link,
        row.state,
        seconds(Some(row.for_ms)),
        seconds(row.answered_ms_ago),
        seconds(row.received_ms_ago),
        row.flaps,
        failure.unwrap_or_else(|| "-".into())
    )
}

fn write_peer(out: &mut String, peer: &PeerRow) -> std::fmt::Result {
    let text = match (peer.offers_views, peer.view_ms_ago, peer.reachable_workers) {
        (false, _, _) => "doesn't exchange views".to_string(),
        (true, Some(age), Some(workers)) => {
            format!(
                "view of {} ago, hears {workers} workers",
                seconds(Some(age))
            )
        }
        _ => "no view yet".to_string(),
    };
    writeln!(out, "  view of {}: {text}", peer.peer)
}

fn seconds(millis: Option<u64>) -> String {
    millis.map_or("-".into(), |ms| format!("{:.1} s", ms as f64 / 1000.0))
}
