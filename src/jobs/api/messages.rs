//! Responses to users and their bodies.

use crate::http::cbor::encode;
use crate::http::server::Response;
use crate::jobs::{JobView, ViewState};
use serde::Serialize;

/// Seconds after which a user should repeat a request that could not be decided.
const RETRY_AFTER_S: u32 = 1;
/// Seconds after which a user should repeat a submission that was refused because the memory for jobs is full. It is
/// longer because some jobs must end first.
const FULL_RETRY_AFTER_S: u32 = 5;

#[derive(Serialize)]
struct JobAnswer<'a> {
    #[serde(rename = "ref")]
    id: &'a str,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u32>,
}

#[derive(Serialize)]
struct ErrorAnswer {
    error: String,
}

/// Response 201: the job was accepted by this request.
pub(super) fn accepted(id: &str) -> Response {
    job_state(201, id, ViewState::Queued)
}

/// Response 200 with the state of a job that was known before or has ended.
pub(super) fn known(id: &str, view: JobView) -> Response {
    job_state(200, id, view.state)
}

fn job_state(status: u16, id: &str, state: ViewState) -> Response {
    let answer = JobAnswer {
        id,
        status: state.name(),
        done: None,
        running: None,
    };
    Response::new(status, encode(&answer))
}

/// Response 200 with the state of a job and its numbers of done and running tasks.
pub(super) fn job_status(id: &str, view: JobView) -> Response {
    let answer = JobAnswer {
        id,
        status: view.state.name(),
        done: Some(view.done),
        running: Some(view.running),
    };
    Response::new(200, encode(&answer))
}

/// Response 404: no such job was ever accepted.
pub(super) fn unknown_job() -> Response {
    Response::new(404, Vec::new())
}

/// Response with this status and reason to a request that will never succeed.
pub(super) fn refused(status: u16, reason: String) -> Response {
    Response::new(status, encode(&ErrorAnswer { error: reason }))
}

/// Response to a request that can't be decided now: the user should repeat it after [`RETRY_AFTER_S`].
pub(super) fn retry_soon() -> Response {
    Response::busy(RETRY_AFTER_S)
}

/// Response to a submission while no more jobs are accepted: the user should repeat it after [`FULL_RETRY_AFTER_S`].
pub(super) fn retry_when_not_full() -> Response {
    Response::busy(FULL_RETRY_AFTER_S)
}
