//! What every stand-in of a worker reads from the wire.

use aspenreel::http::cbor::decode;
use serde::Deserialize;

/// The controller that a refusal of a heartbeat names.
pub fn leader_of(body: &[u8]) -> Option<String> {
    #[derive(Deserialize)]
    struct Hint {
        #[serde(rename = "foreman")]
        leader: Option<String>,
    }
    let hint: Hint = decode(body).unwrap();
    hint.leader
}
