//! `aspenreel links`: what each controller concludes about its links, for a person or a script.

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

/// The exit code if some controllers answered and some didn't.
const EXIT_SOME_SILENT: u8 = 3;
/// The exit code if no controller answered.
const EXIT_ALL_SILENT: u8 = 4;

/// Why there is no report of a controller.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoReport {
    /// Nothing listens there.
    #[error("refuses connections: it is down, or has no free sockets")]
    Refused,
    /// It didn't answer in time.
    #[error("no answer in time: it is down, busy, or cut off from here")]
    Silent,
    /// It closed the connection on the request.
    #[error("closes the connection: an earlier version, or not a controller")]
    Closed,
    /// Its answer is none that a controller would give.
    #[error("answers in another protocol: not a controller")]
    Foreign,
    /// It doesn't watch its links.
    #[error("doesn't watch its links: it runs without --half-cut-links")]
    NotWatching,
    /// Its report can't be read here.
    #[error("its report can't be read: {0}")]
    Unreadable(String),
    /// Any other failure.
    #[error("{0}")]
    Other(String),
}

/// What one controller answered.
#[derive(Debug)]
pub struct Answer {
    /// The controller, as the settings name it.
    pub node: NodeName,
    /// Where it was asked.
    pub addr: SocketAddr,
    /// Its report, or why there is none.
    pub report: Result<LinkReport, NoReport>,
}

/// Asks all controllers that the settings name at the same time; their answers by name. Never takes much longer
/// than twice `timeout`, whatever the other ends do.
pub fn ask_for_links(settings: &Settings, timeout: Duration) -> Vec<Answer> {
    let own = (settings.node.clone(), settings.peer_listen);
    let members = settings.members.iter();
    let mut nodes: Vec<_> = members.map(|m| (m.node.clone(), m.peer_addr)).collect();
    nodes.push(own);
    nodes.sort();
    let asked: Vec<_> = nodes
        .into_iter()
        .map(|(node, addr)| {
            let (sender, receiver) = mpsc::channel();
            // An answer that arrives byte by byte delays this thread, but not the command.
            std::thread::spawn(move || {
                let _ = sender.send(ask(addr, timeout));
            });
            (NodeName(node), addr, receiver)
        })
        .collect();
    asked
        .into_iter()
        .map(|(node, addr, receiver)| {
            let report = receiver.recv_timeout(2 * timeout);
            Answer {
                node,
                addr,
                report: report.unwrap_or(Err(NoReport::Silent)),
            }
        })
        .collect()
}

fn ask(addr: SocketAddr, timeout: Duration) -> Result<LinkReport, NoReport> {
    let reply = TcpTransport::new(addr).call(&PeerRequest::LinkReport, timeout);
    match reply {
        Ok(PeerReply::LinkReport { report }) => LinkReport::decode(&report)
            .map_err(|e: ReportError| NoReport::Unreadable(e.to_string())),
        Ok(PeerReply::Busy) => Err(NoReport::NotWatching),
        Ok(_) => Err(NoReport::Foreign),
        Err(e) => Err(no_report(&e)),
    }
}

fn no_report(error: &Error) -> NoReport {
    match error.kind() {
        ErrorKind::ConnectionRefused => NoReport::Refused,
        ErrorKind::TimedOut | ErrorKind::WouldBlock => NoReport::Silent,
        ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => {
            NoReport::Closed
        }
        // A frame that is too large, or that holds no reply.
        ErrorKind::Other | ErrorKind::InvalidData | ErrorKind::InvalidInput => NoReport::Foreign,
        _ => NoReport::Other(error.to_string()),
    }
}

/// 0 if all controllers answered, 3 if some did, 4 if none did.
pub fn exit_code(answers: &[Answer]) -> ExitCode {
    let silent = answers.iter().filter(|a| a.report.is_err()).count();
    match silent {
        0 => ExitCode::SUCCESS,
        n if n == answers.len() => ExitCode::from(EXIT_ALL_SILENT),
        _ => ExitCode::from(EXIT_SOME_SILENT),
    }
}

/// All answers as one JSON document.
pub fn links_json(answers: &[Answer]) -> String {
    #[derive(Serialize)]
    struct AnswerJson<'a> {
        node: &'a NodeName,
        addr: SocketAddr,
        #[serde(skip_serializing_if = "Option::is_none")]
        report: Option<&'a LinkReport>,
        #[serde(skip_serializing_if = "Option::is_none")]
        problem: Option<&'a NoReport>,
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

/// All answers as tables.
pub fn links_table(answers: &[Answer]) -> String {
    let mut out = String::new();
    for answer in answers {
        // Writing to a string doesn't fail.
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
