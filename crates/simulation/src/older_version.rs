//! A controller of the version in production that takes the lead for a while, as far as the records show
//! it: it raises the term in the form that it knows, drops the claims of jobs that it can't read, and writes
//! pages as large as values may be before the limits are lowered.

use crate::fake_store::FakeStore;
use crate::scheduler::secs;
use crate::simulation::Simulation;
use aspenreel::http::cbor::{decode, encode};
use aspenreel::leadership::LeaderRecord;
use aspenreel::store::paged_map::PAGE_ENTRIES;
use aspenreel::store::{Change, Precondition, from_value, to_value};
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How often it looks whether the lead is free.
const POLL_INTERVAL_US: u64 = 20_000;

/// The counter of terms as that version reads and writes it.
#[derive(Serialize, Deserialize)]
struct OlderTerm {
    term: u64,
}

#[derive(Serialize)]
struct Transaction {
    guards: Vec<Precondition>,
    apply: Vec<Change>,
}

/// The node's process ends, and comes back as one of that version, which leads for so long as soon as it
/// can; then the newer one is back.
pub fn lead(sim: &Arc<Simulation>, n: usize, span: f64) {
    sim.crash(n, span + 20.0);
    let give_up = sim.now() + secs(18.0);
    poll_for_lead(sim, n, span, give_up);
}

fn poll_for_lead(sim: &Arc<Simulation>, n: usize, span: f64, give_up: u64) {
    if !try_take_lead(sim, n, span) && sim.now() < give_up {
        sim.after(POLL_INTERVAL_US, move |sim| {
            poll_for_lead(sim, n, span, give_up)
        });
    }
}

/// Takes the lead, if it is free and the term can be read.
fn try_take_lead(sim: &Arc<Simulation>, n: usize, span: f64) -> bool {
    let now = Duration::from_micros(sim.now());
    {
        let mut state = sim.state();
        let keys = &mut state.store;
        let Some((data, revision, _)) = keys.rows.get("term").cloned() else {
            return false;
        };
        let Some(OlderTerm { term }) = from_value(&data) else {
            return false;
        };
        if keys.data("leader").is_some() {
            return false;
        }
        let life = encode(&to_value(&Life {
            life_ms: (span * 1000.0) as u64,
        }));
        let (_, body) = keys.call("POST", "/holds", &life, now);
        let Permit { permit } = decode(&body).unwrap();
        let leader = LeaderRecord {
            node: format!("n-{n}"),
            term: term + 1,
            lease_id: permit,
        };
        let mut apply = vec![
            Change::write("term", to_value(&OlderTerm { term: term + 1 })),
            Change::Write {
                write: "leader".into(),
                data: to_value(&leader),
                lease_id: Some(permit),
            },
        ];
        apply.extend(rewritten_claims(keys));
        let guards = vec![
            Precondition::new("leader", 0),
            Precondition::new("term", revision),
        ];
        let body = encode(&to_value(&Transaction { guards, apply }));
        let (status, _) = keys.call("POST", "/multi", &body, now);
        assert_eq!(status, 200);
    }
    sim.store_changed();
    true
}

/// All claims but those of jobs that the version in production can't read, on pages of 64 entries.
fn rewritten_claims(keys: &FakeStore) -> Vec<Change> {
    let unknown = |id: &str| {
        let job = keys.data(&format!("jobs/{id}"));
        job.is_some_and(|data| kind_of(&data) != "array")
    };
    let stored: Vec<&String> = keys
        .rows
        .keys()
        .filter(|key| key.starts_with("claims/"))
        .collect();
    let mut claims: BTreeMap<String, u32> = BTreeMap::new();
    for key in &stored {
        let entries: Vec<(String, u32)> = from_value(&keys.rows[*key].0).unwrap();
        for (id, below) in entries {
            let known = claims.entry(id).or_insert(0);
            *known = below.max(*known);
        }
    }
    claims.retain(|id, _| !unknown(id));
    let claims: Vec<(String, u32)> = claims.into_iter().collect();
    let pages = claims.chunks(PAGE_ENTRIES).enumerate();
    let written = pages.map(|(n, page)| Change::write(format!("claims/{n}"), to_value(&page)));
    let deleted = stored.iter().map(|key| Change::delete(key.as_str()));
    deleted.chain(written).collect()
}

fn kind_of(data: &Value) -> String {
    #[derive(Deserialize)]
    struct Job {
        #[serde(rename = "shape")]
        kind: String,
    }
    from_value::<Job>(data).map_or(String::new(), |job| job.kind)
}

#[derive(Serialize)]
struct Life {
    #[serde(rename = "lifeMs")]
    life_ms: u64,
}

#[derive(Deserialize)]
struct Permit {
    permit: u64,
}
