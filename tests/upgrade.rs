//! Compatibility with the version in production during a rolling upgrade: its records and frames are decoded, and
//! encoded byte for byte as it does; records that are new in the present version are written only once no controller
//! of the old version can lead. Also the limits on the sizes of values and transactions.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use aspenreel::http::cbor::{decode, encode, json_len};
use aspenreel::jobs::TaskSet;
use aspenreel::jobs::{DoneRecord, FinalRecord, JobView, Outcome, ViewState};
use aspenreel::jobs::{JobKind, Submission};
use aspenreel::jobs::{PendingWrite, PendingWriteKind, pack_transactions, page_write};
use aspenreel::leadership::LeaderRecord;
use aspenreel::leadership::feature_level::{CURRENT_FORMAT, FeatureLevel};
use aspenreel::leadership::term_counter::TermCounter;
use aspenreel::peer::{PeerReply, PeerRequest};
use aspenreel::provisioning::wire::Catalog;
use aspenreel::settings::{Settings, StoreSettings};
use aspenreel::store::paged_map::PagedMap;
use aspenreel::store::{Change, KeyValue, Precondition, from_value, to_value};
use ciborium::cbor;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn submission() -> Submission {
    let wire = cbor!({
        "ref" => "run-000412", "lane" => "train", "crew" => "vision", "shape" => "array",
        "rank" => "high", "pieces" => 16, "cpus" => 8.0, "gpus" => 1.0, "ramGb" => 64.0,
        "bundle" => "img-07", "imageGb" => 6.2, "builds" => ["g8"], "yard" => null,
        "samePlace" => true, "spread" => false, "loaners" => true, "guessS" => 240.0,
        "bookmarkS" => 30.0, "stashS" => 4.0, "dueS" => 900.0
    });
    let mut s = Submission::decode(&encode(&wire.unwrap())).unwrap();
    s.accepted_us = 1_764_651_600_000_000;
    s
}

fn catalog() -> Catalog {
    let wire = cbor!({"builds" => [{"label" => "g8", "cpus" => 96, "gpus" => 8, "ramGb" => 768,
        "cacheGb" => 200, "fetchGbPerS" => 1.0, "rate" => 12.0, "lowPrice" => 4.5,
        "startupS" => 45, "yards" => ["a", "b"]}]});
    decode(&encode(&wire.unwrap())).unwrap()
}

/// One example of each record that the version in production writes, with its name in the snapshot.
fn records() -> Vec<(&'static str, Vec<u8>)> {
    let set = DoneRecord {
        state: None,
        set: "0-3,7".into(),
    };
    let cancelled = DoneRecord {
        state: Some(Outcome::Cancelled),
        set: String::new(),
    };
    let over = FinalRecord {
        state: Outcome::Done,
        tasks: 16,
    };
    let leader = LeaderRecord {
        node: "reelhand-2".into(),
        term: 7,
        lease_id: 31,
    };
    vec![
        ("jobs", encode(&to_value(&submission()))),
        ("done", encode(&to_value(&set))),
        ("done, final", encode(&to_value(&cancelled))),
        ("final", encode(&to_value(&over))),
        ("leader", encode(&to_value(&leader))),
        ("claims", encode(&to_value(&vec![("run-000412", 9u32)]))),
        (
            "fleet",
            encode(&to_value(&vec![("n-000231", 1_764_651_600_000_000u64)])),
        ),
        ("catalog", encode(&to_value(&catalog()))),
    ]
}

/// One example of each frame that the version in production sends to another controller, with its name in the
/// snapshot.
fn frames() -> Vec<(&'static str, Vec<u8>)> {
    let id = || "run-000412".to_string();
    let view = JobView {
        state: ViewState::Running,
        done: 3,
        running: 13,
    };
    let request = |r: &PeerRequest| borsh::to_vec(r).unwrap();
    let reply = |r: &PeerReply| borsh::to_vec(r).unwrap();
    vec![
        ("status", request(&PeerRequest::Status { id: id() })),
        ("cancel", request(&PeerRequest::Cancel { id: id() })),
        ("read", request(&PeerRequest::Read { id: id() })),
        ("ping", request(&PeerRequest::Ping)),
        ("accept", request(&PeerRequest::Accept { body: vec![1, 2] })),
        ("job", reply(&PeerReply::Job(view))),
        ("unknown", reply(&PeerReply::Unknown)),
        ("not leading", reply(&PeerReply::NotLeading)),
        ("absent", reply(&PeerReply::Absent)),
        ("busy", reply(&PeerReply::Busy)),
        ("accepted", reply(&PeerReply::Accepted)),
    ]
}

#[test]
fn records_and_frames_are_encoded_as_by_the_version_in_production() {
    let all: String = records()
        .iter()
        .chain(&frames())
        .map(|(what, bytes)| format!("{what}: {}\n", hex(bytes)))
        .collect();
    // This snapshot must not be updated while that version may run, since its controllers read exactly these bytes.
    insta::assert_snapshot!("production_records_and_frames", all);
}

#[test]
fn records_and_frames_of_the_version_in_production_are_decoded() {
    let kept = include_str!("snapshots/upgrade__production_records_and_frames.snap");
    let bytes = |what: &str| -> Vec<u8> {
        let line = kept
            .lines()
            .find_map(|l| l.strip_prefix(&format!("{what}: ")))
            .unwrap();
        (0..line.len())
            .step_by(2)
            .map(|i| u8::from_str_radix(&line[i..i + 2], 16).unwrap())
            .collect()
    };
    let job: Submission = decode(&bytes("jobs")).unwrap();
    assert_eq!(job.spec().id, "run-000412");
    assert_eq!(
        (job.kind, job.accepted_us, job.tasks),
        (JobKind::Array, 1_764_651_600_000_000, 16)
    );
    let done: DoneRecord = decode(&bytes("done")).unwrap();
    let ended: DoneRecord = decode(&bytes("done, final")).unwrap();
    assert_eq!((done.set.as_str(), done.state), ("0-3,7", None));
    assert_eq!(ended.state, Some(Outcome::Cancelled));
    let over: FinalRecord = decode(&bytes("final")).unwrap();
    assert_eq!((over.state, over.tasks), (Outcome::Done, 16));
    let leader: LeaderRecord = decode(&bytes("leader")).unwrap();
    assert_eq!((leader.term, leader.lease_id), (7, 31));
    let claims: Vec<(String, u32)> = decode(&bytes("claims")).unwrap();
    assert_eq!(claims, [("run-000412".to_string(), 9)]);
    let machines: Vec<(String, u64)> = decode(&bytes("fleet")).unwrap();
    assert_eq!(machines[0].1, 1_764_651_600_000_000);
    let catalog: Catalog = decode(&bytes("catalog")).unwrap();
    assert_eq!(catalog.types()[0].name, "g8");
    for (what, sent) in frames() {
        assert_eq!(bytes(what), sent, "{what}");
    }
    let status: PeerRequest = borsh::from_slice(&bytes("status")).unwrap();
    assert_eq!(
        status,
        PeerRequest::Status {
            id: "run-000412".into()
        }
    );
    let accepted: PeerReply = borsh::from_slice(&bytes("accepted")).unwrap();
    assert_eq!(accepted, PeerReply::Accepted);
}

/// Term counter as the version in production stores it.
#[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
struct ProductionTermValue {
    term: u64,
}

fn term_row(data: ciborium::Value, revision: u64) -> KeyValue {
    KeyValue {
        key: "term".into(),
        data,
        revision,
    }
}

/// The present version reads term counters of earlier versions. Those read the open form, whose other fields they
/// ignore, but not the fenced form, and so can't be elected while it is stored.
#[test]
fn earlier_versions_read_only_the_open_form_of_the_term_counter() {
    let read = |data| TermCounter::read(Some(&term_row(data, 70))).unwrap();
    // Stored form of {"term": 6} as the version in production writes it.
    let older = to_value(&ProductionTermValue { term: 6 });
    assert_eq!(hex(&encode(&older)), "a1647465726d06");
    let found = read(older);
    let expected = TermCounter {
        term: 6,
        fenced: false,
        older_version_led_at: 70,
        raised_by: None,
    };
    assert_eq!(
        found, expected,
        "a value without the field was written by an election of an earlier version"
    );
    assert_eq!(TermCounter::read(None).unwrap(), TermCounter::default());

    let next = found.next();
    assert_eq!(read(next.to_value()), next);
    let as_production = from_value::<ProductionTermValue>(&next.to_value());
    assert_eq!(as_production, Some(ProductionTermValue { term: 7 }));

    let fenced = next.with_fenced(true);
    assert_eq!(read(fenced.to_value()), fenced);
    assert_eq!(from_value::<ProductionTermValue>(&fenced.to_value()), None);
    assert_eq!(read(fenced.next().to_value()).term, 8);
    assert!(TermCounter::read(Some(&term_row(to_value(&"odd"), 70))).is_err());
}

/// A leader has incremented the term counter for a fencing token. Earlier versions read the number and take the next
/// one as their term. The present version stores which leader incremented it, so that earlier versions can still be
/// fenced.
#[test]
fn term_counter_raised_for_a_token_is_readable_and_names_its_leader() {
    let read = |data| TermCounter::read(Some(&term_row(data, 90))).unwrap();
    let taken = TermCounter {
        term: 7,
        fenced: false,
        older_version_led_at: 12,
        raised_by: None,
    };
    // Without an increment for a token the encoding is unchanged.
    let kept = "a2647465726d076a6f6c6465724c656441740c";
    assert_eq!(hex(&encode(&taken.to_value())), kept);

    let raised = taken.raised(80);
    assert_eq!(read(raised.to_value()), raised);
    let as_production = from_value::<ProductionTermValue>(&raised.to_value());
    assert_eq!(as_production, Some(ProductionTermValue { term: 8 }));

    // The leader that was elected at revision 80 incremented it, and no other one.
    assert!(raised.was_raised_by_leader(90, 80) && !raised.was_raised_by_leader(90, 85));
    assert!(taken.was_raised_by_leader(80, 80) && !taken.was_raised_by_leader(90, 80));
    // The form of the counter may change in between, and the next leader continues from this number.
    assert!(raised.with_fenced(true).was_raised_by_leader(95, 80));
    let next = raised.next();
    assert_eq!((next.term, next.raised_by), (9, None));
}

/// Records that an earlier release (43046cd) writes in addition to those of the version in production: a standing
/// job, and the record format that it publishes and sets as feature level. The bytes are those that this release
/// wrote; they are decoded, and encoded identically.
#[test]
fn records_of_an_earlier_release_are_decoded_and_encoded_identically() {
    let job = concat!(
        "b5637265666a72756e2d303030343133646c616e6566706f7274616c646372657766766973696f6e6573686170",
        "65687374616e64696e676472616e6b6a70726f64756374696f6e66706965636573036463707573f94000646770",
        "7573f900006572616d4762fb400999999999999a6662756e646c6566696d672d303867696d6167654762f93c00",
        "666275696c6473f66479617264f66973616d65506c616365f466737072656164f4676c6f616e657273f4666775",
        "65737353f9000069626f6f6b6d61726b53f9000066737461736853f900006464756553f66a6163636570746564",
        "55731b000644f0f7c53400"
    );
    let bytes: Vec<u8> = (0..job.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&job[i..i + 2], 16).unwrap())
        .collect();
    let submission: Submission = decode(&bytes).unwrap();
    assert_eq!((submission.kind, submission.tasks), (JobKind::Standing, 3));
    assert!(submission.spec().is_standing() && !submission.spec().spot);
    assert_eq!(hex(&encode(&to_value(&submission))), job);

    // That release sets feature level 2 without fencing the term counter, and accepts standing jobs from then on.
    let level = |stored: &[u8]| FeatureLevel {
        format: decode(stored).unwrap(),
        revision: 90,
    };
    assert!(level(&[0x02]).has_standing_jobs());
    assert!(!level(&[0x01]).has_standing_jobs());
    // That release accepts standing jobs at any feature level that is not lower than its own.
    assert_eq!(encode(&to_value(&CURRENT_FORMAT)), [0x03]);
}

/// For each limit separately, the stricter of the current and the announced next value applies.
#[test]
fn stricter_of_current_and_next_limits_applies() {
    let with = |next: &str| -> StoreSettings {
        let text = format!("rps = 120.0\nwrite_rps = 20.0\nvalue_kb = 8.0\ntxn_ops = 12\n{next}");
        toml::from_str::<StoreSettings>(&text).unwrap().strictest()
    };
    let values = |s: StoreSettings| (s.rps, s.write_rps, s.value_kb, s.txn_ops);
    assert_eq!(values(with("")), (120.0, 20.0, 8.0, 12));
    assert_eq!(
        values(with(
            "[next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0"
        )),
        (120.0, 15.0, 2.0, 4)
    );
    assert_eq!(
        values(with("[next]\nvalue_kb = 16.0\nrps = 60.0\nodd = 1")),
        (60.0, 20.0, 8.0, 12)
    );
}

/// Pages of entries and done sets stay within the size limit of values while they grow.
#[test]
fn growing_pages_and_done_sets_stay_within_the_value_limit() {
    let max_bytes = 2032;
    let mut pages: PagedMap<u64> = PagedMap::new(max_bytes);
    for i in 0..300u64 {
        let name = format!("a-machine-with-a-long-name-{i:06}");
        pages.put(&name, 1_764_651_600_000_000 + i);
    }
    for i in 0..300u64 {
        let name = format!("a-machine-with-a-long-name-{i:06}");
        pages.put(&name, 9_999_999_999_999_999 - i);
    }
    let images = pages.pages_due(false);
    let entries: usize = images.iter().map(|p| p.entries.len()).sum();
    assert_eq!(entries, 300);
    for image in &images {
        let size = json_len(&to_value(&image.entries));
        assert!(size <= max_bytes, "{size}");
    }

    // 100,000 tasks, every third of them done: the bitmap of a chunk has 2 KiB, which doesn't fit.
    let mut done = TaskSet::new(100_000);
    for task in (0..100_000).step_by(3) {
        done.insert(task);
    }
    let mut recorded = TaskSet::new(100_000);
    for chunk in 0..done.chunk_count() {
        for _ in 0..3 {
            if let Some(text) = done.fitting_text(chunk, &recorded, max_bytes - 40) {
                let record = DoneRecord {
                    state: None,
                    set: text.clone(),
                };
                let size = json_len(&to_value(&record));
                assert!(size <= max_bytes, "{size}");
                recorded.add_chunk(chunk, &text).unwrap();
            }
        }
    }
    assert!(recorded.iter().all(|t| done.contains(t)));
    assert!(recorded.len() > 2000, "{}", recorded.len());
    // Once all tasks are done, a chunk is a single range.
    for task in 0..100_000 {
        done.insert(task);
    }
    assert_eq!(
        done.fitting_text(0, &recorded, max_bytes - 40).as_deref(),
        Some("0-8191")
    );
}

/// Oversized pages, written before the limit was lowered, are read. A changed entry of such a page is written to a
/// page whose key sorts later. So both versions get the newer entry: an earlier version takes the entry that it reads
/// last in the order of keys, and the present one takes the larger entry.
#[test]
fn changed_entries_of_oversized_pages_move_to_later_pages() {
    let name = |i: u32| format!("run-{i:040}");
    let entries: Vec<(String, u32)> = (0..64).map(|i| (name(i), 5)).collect();
    for (large, others, expected) in [(3, vec![], 4), (9, vec![], 90), (2, vec![1, 3, 10], 3)] {
        let mut pages: PagedMap<u32> = PagedMap::new(2032);
        pages.load(large, 70, entries.clone());
        for other in others {
            pages.load(other, 71, vec![(name(100 + other), 1)]);
        }
        pages.put(&name(1), 9);
        let due = pages.pages_due(true);
        let moved = due.iter().map(|image| image.number).collect::<Vec<_>>();
        assert_eq!(moved, [expected], "the oversized page is not rewritten");
        assert!(due[0].entries.contains(&(name(1), 9)));
        // The entry then stays on this page.
        pages.mark_written(expected, due[0].version, 80);
        assert!(pages.is_stored(&name(1)));
        pages.put(&name(1), 11);
        assert_eq!(pages.pages_due(false)[0].number, expected);

        // An earlier version reads the pages in the order of keys, and the last entry takes effect.
        let mut stored = [
            (large.to_string(), entries.clone()),
            (expected.to_string(), due[0].entries.clone()),
        ];
        stored.sort_by(|a, b| a.0.cmp(&b.0));
        let read_by_production: std::collections::HashMap<String, u32> =
            stored.iter().flat_map(|(_, page)| page.clone()).collect();
        assert_eq!(read_by_production[&name(1)], 9);
        // The present version takes the larger entry, in any order of the pages.
        for order in [[0, 1], [1, 0]] {
            let mut next: PagedMap<u32> = PagedMap::new(2032);
            for at in order {
                let (key, page) = &stored[at];
                next.load(key.parse().unwrap(), 80, page.clone());
            }
            assert_eq!(next.get(&name(1)), Some(&9));
        }
    }
}

/// Packed transactions stay within the limits of changes and of bytes, also for pages of entries with long names.
#[test]
fn packed_transactions_stay_within_the_limits() {
    let max_page_bytes = 8192 - 16;
    let mut pages: PagedMap<u32> = PagedMap::new(max_page_bytes);
    for i in 0..2000 {
        pages.put(&format!("run-{i:040}"), 100_000);
    }
    let writes: Vec<PendingWrite> = pages
        .pages_due(false)
        .into_iter()
        .map(|image| page_write("claims/", image, PendingWriteKind::StartWatermarks))
        .collect();
    let count = writes.len();
    let transactions = pack_transactions(writes, 24, 60 * 1024);
    assert_eq!(transactions.iter().map(Vec::len).sum::<usize>(), count);
    assert!(
        transactions.len() > 1,
        "all writes fit into one transaction"
    );
    for transaction in &transactions {
        let changes: Vec<&Change> = transaction.iter().flat_map(|w| &w.changes).collect();
        let preconditions: Vec<&Precondition> =
            transaction.iter().flat_map(|w| &w.preconditions).collect();
        let size = json_len(&to_value(&(preconditions, changes)));
        assert!(transaction.len() <= 24 && size <= 64 * 1024, "{size}");
    }
}

/// Invalid next limits are reported with the name of the field, like other settings.
#[test]
fn invalid_next_limits_are_rejected_with_their_field() {
    let source = include_str!("settings.rs");
    let valid = source
        .split("r#\"")
        .nth(1)
        .unwrap()
        .split("\"#")
        .next()
        .unwrap();
    let with = |next: &str| {
        let text = valid.replace(
            "txn_ops = 12 }",
            &format!("txn_ops = 12, next = {{ {next} }} }}"),
        );
        Settings::parse(&text).map(drop).map_err(|e| e.to_string())
    };
    assert_eq!(
        with("value_kb = 2.0, txn_ops = 4, write_rps = 15.0"),
        Ok(())
    );
    for (next, field) in [
        ("value_kb = 0.2", "settings.state.next.value_kb"),
        ("txn_ops = 3", "settings.state.next.txn_ops"),
        ("write_rps = -1.0", "settings.state.next.write_rps"),
        ("rps = 0.0", "settings.state.next.rps"),
    ] {
        let error = with(next).unwrap_err();
        assert!(error.contains(&format!("field `{field}`")), "{error}");
    }
}
