//! Imitation of a controller of the version in production that leads for a while, as far as it shows in the records:
//! it raises the term in the format that it knows, drops the start watermarks of jobs that it can't read, and writes
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

/// Interval at which the imitated controller checks whether there is no leader, in microseconds.
const POLL_INTERVAL_US: u64 = 20_000;

/// Term record in the format of the version in production.
#[derive(Serialize, Deserialize)]
struct OlderTerm {
    term: u64,
}

/// Transaction in the store's format.
#[derive(Serialize)]
struct Transaction {
    guards: Vec<Precondition>,
    apply: Vec<Change>,
}

/// Replaces the process of a node by one of the version in production, which becomes the leader as soon as there is no
/// other and leads for `span` seconds. The process of the present version starts `span` + 20 seconds from now.
pub fn lead(sim: &Arc<Simulation>, node: usize, span: f64) {
    sim.crash(node, span + 20.0);
    let give_up_at = sim.now() + secs(18.0);
    poll_for_leadership(sim, node, span, give_up_at);
}

/// Tries to become the leader at intervals, until it succeeds or the time `give_up_at` is reached.
fn poll_for_leadership(sim: &Arc<Simulation>, node: usize, span: f64, give_up_at: u64) {
    if !try_take_leadership(sim, node, span) && sim.now() < give_up_at {
        sim.after(POLL_INTERVAL_US, move |sim| {
            poll_for_leadership(sim, node, span, give_up_at)
        });
    }
}

/// Becomes the leader if there is none and the term record can be read; returns whether it did.
fn try_take_leadership(sim: &Arc<Simulation>, node: usize, span: f64) -> bool {
    let now = Duration::from_micros(sim.now());
    {
        let mut state = sim.state();
        let store = &mut state.store;
        let Some((data, revision, _)) = store.rows.get("term").cloned() else {
            return false;
        };
        let Some(OlderTerm { term }) = from_value(&data) else {
            return false;
        };
        if store.data("leader").is_some() {
            return false;
        }
        let life = encode(&to_value(&Life {
            life_ms: (span * 1000.0) as u64,
        }));
        let (_, body) = store.call("POST", "/holds", &life, now);
        let Permit { permit } = decode(&body).unwrap();
        let leader = LeaderRecord {
            node: format!("n-{node}"),
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
        apply.extend(rewritten_watermarks(store));
        let guards = vec![
            Precondition::new("leader", 0),
            Precondition::new("term", revision),
        ];
        let body = encode(&to_value(&Transaction { guards, apply }));
        let (status, _) = store.call("POST", "/multi", &body, now);
        assert_eq!(status, 200);
    }
    sim.store_changed();
    true
}

/// Changes that rewrite all start watermarks, except those of jobs that the version in production can't read, on
/// pages of [`PAGE_ENTRIES`] entries.
fn rewritten_watermarks(store: &FakeStore) -> Vec<Change> {
    let is_unreadable = |id: &str| {
        let job = store.data(&format!("jobs/{id}"));
        job.is_some_and(|data| kind_of(&data) != "array")
    };
    let stored: Vec<&String> = store
        .rows
        .keys()
        .filter(|key| key.starts_with("claims/"))
        .collect();
    let mut watermarks: BTreeMap<String, u32> = BTreeMap::new();
    for key in &stored {
        let entries: Vec<(String, u32)> = from_value(&store.rows[*key].0).unwrap();
        for (id, below) in entries {
            let known = watermarks.entry(id).or_insert(0);
            *known = below.max(*known);
        }
    }
    watermarks.retain(|id, _| !is_unreadable(id));
    let watermarks: Vec<(String, u32)> = watermarks.into_iter().collect();
    let pages = watermarks.chunks(PAGE_ENTRIES).enumerate();
    let written = pages.map(|(n, page)| Change::write(format!("claims/{n}"), to_value(&page)));
    let deleted = stored.iter().map(|key| Change::delete(key.as_str()));
    deleted.chain(written).collect()
}

/// Kind of a job by its record; empty if the record can't be decoded.
fn kind_of(data: &Value) -> String {
    #[derive(Deserialize)]
    struct Job {
        #[serde(rename = "shape")]
        kind: String,
    }
    from_value::<Job>(data).map_or(String::new(), |job| job.kind)
}

/// Body of a request for a lease.
#[derive(Serialize)]
struct Life {
    #[serde(rename = "lifeMs")]
    life_ms: u64,
}

/// Response to a request for a lease.
#[derive(Deserialize)]
struct Permit {
    permit: u64,
}
