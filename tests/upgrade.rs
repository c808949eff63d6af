//! Two versions side by side: what the version in production wrote and sent, byte by byte, is read and
//! written by this one just so; and this one's new records wait until nobody of the old one can lead.

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

/// Every record that the version in production writes, by what it is.
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

/// Every frame that the version in production sends to another controller.
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

/// As the version in production writes and reads them.
#[test]
fn kept_records_and_frames() {
    let all: String = records()
        .iter()
        .chain(&frames())
        .map(|(what, bytes)| format!("{what}: {}\n", hex(bytes)))
        .collect();
    // Never to be updated while that version may run: an earlier controller reads just these bytes.
    insta::assert_snapshot!("production_records_and_frames", all);
}

/// What was kept is read back as what it was.
#[test]
fn kept_records_and_frames_are_read() {
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
    let roster: Vec<(String, u64)> = decode(&bytes("fleet")).unwrap();
    assert_eq!(roster[0].1, 1_764_651_600_000_000);
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

/// The counter of terms as the version in production stores it.
#[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
struct Production {
    term: u64,
}

fn term_row(data: ciborium::Value, revision: u64) -> KeyValue {
    KeyValue {
        key: "term".into(),
        data,
        revision,
    }
}

/// The counter of terms: this version reads what earlier ones wrote, and they read it in its open form,
/// whose other fields they ignore. In the fenced form they can't, and so can't lead.
#[test]
fn terms_of_both_versions() {
    let read = |data| TermCounter::read(Some(&term_row(data, 70))).unwrap();
    // Kept: {"term": 6} as the version in production writes it.
    let older = to_value(&Production { term: 6 });
    assert_eq!(hex(&encode(&older)), "a1647465726d06");
    let found = read(older);
    let expected = TermCounter {
        term: 6,
        fenced: false,
        older_version_led_at: 70,
        raised_by: None,
    };
    assert_eq!(found, expected, "who leaves the field out led then");
    assert_eq!(TermCounter::read(None).unwrap(), TermCounter::default());

    let next = found.next();
    assert_eq!(read(next.to_value()), next);
    let as_production = from_value::<Production>(&next.to_value());
    assert_eq!(as_production, Some(Production { term: 7 }));

    let fenced = next.with_fenced(true);
    assert_eq!(read(fenced.to_value()), fenced);
    assert_eq!(from_value::<Production>(&fenced.to_value()), None);
    assert_eq!(read(fenced.next().to_value()).term, 8);
    assert!(TermCounter::read(Some(&term_row(to_value(&"odd"), 70))).is_err());
}

/// A counter that its leader raised for a fencing token: earlier versions read the number and lead under the
/// next one; this version tells who raised it, so that earlier versions can still be fenced off.
#[test]
fn a_raised_counter_of_terms() {
    let read = |data| TermCounter::read(Some(&term_row(data, 90))).unwrap();
    let taken = TermCounter {
        term: 7,
        fenced: false,
        older_version_led_at: 12,
        raised_by: None,
    };
    // Without a raise the bytes are what they were.
    let kept = "a2647465726d076a6f6c6465724c656441740c";
    assert_eq!(hex(&encode(&taken.to_value())), kept);

    let raised = taken.raised(80);
    assert_eq!(read(raised.to_value()), raised);
    let as_production = from_value::<Production>(&raised.to_value());
    assert_eq!(as_production, Some(Production { term: 8 }));

    // The leader that took the lead at 80 raised it, not another one.
    assert!(raised.was_raised_by_leader(90, 80) && !raised.was_raised_by_leader(90, 85));
    assert!(taken.was_raised_by_leader(80, 80) && !taken.was_raised_by_leader(90, 80));
    // Its form may change meanwhile; the next leader goes on from there.
    assert!(raised.with_fenced(true).was_raised_by_leader(95, 80));
    let next = raised.next();
    assert_eq!((next.term, next.raised_by), (9, None));
}

/// What an earlier landing (43046cd) writes beside what the version in production does: a standing job, and
/// the format that it states and sets. Kept byte by byte as that version wrote them; read and written just so.
#[test]
fn kept_records_of_an_earlier_landing() {
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
    let kept: Submission = decode(&bytes).unwrap();
    assert_eq!((kept.kind, kept.tasks), (JobKind::Standing, 3));
    assert!(kept.spec().is_standing() && !kept.spec().spot);
    assert_eq!(hex(&encode(&to_value(&kept))), job);

    // 2: that version sets it without a fence, and accepts standing jobs from then on.
    let level = |stored: &[u8]| FeatureLevel {
        format: decode(stored).unwrap(),
        revision: 90,
    };
    assert!(level(&[0x02]).has_standing_jobs());
    assert!(!level(&[0x01]).has_standing_jobs());
    // It takes any number that isn't smaller than its own for "all know".
    assert_eq!(encode(&to_value(&CURRENT_FORMAT)), [0x03]);
}

/// The stricter of the limits of now and later are obeyed, whichever that is, one by one.
#[test]
fn the_stricter_limits_hold() {
    let with = |next: &str| -> StoreSettings {
        let text = format!("rps = 120.0\nwrite_rps = 20.0\nvalue_kb = 8.0\ntxn_ops = 12\n{next}");
        toml::from_str::<StoreSettings>(&text).unwrap().strictest()
    };
    let told = |s: StoreSettings| (s.rps, s.write_rps, s.value_kb, s.txn_ops);
    assert_eq!(told(with("")), (120.0, 20.0, 8.0, 12));
    assert_eq!(
        told(with(
            "[next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0"
        )),
        (120.0, 15.0, 2.0, 4)
    );
    assert_eq!(
        told(with("[next]\nvalue_kb = 16.0\nrps = 60.0\nodd = 1")),
        (60.0, 20.0, 8.0, 12)
    );
}

/// Values stay below the stricter limit also when they grow: pages of entries and done sets.
#[test]
fn values_stay_small_as_they_grow() {
    let most = 2032;
    let mut pages: PagedMap<u64> = PagedMap::new(most);
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
        assert!(size <= most, "{size}");
    }

    // A hundred thousand tasks, every third done: as a bitmap each chunk has 2 KiB, which doesn't fit.
    let mut done = TaskSet::new(100_000);
    for task in (0..100_000).step_by(3) {
        done.insert(task);
    }
    let mut recorded = TaskSet::new(100_000);
    for chunk in 0..done.chunk_count() {
        for _ in 0..3 {
            if let Some(text) = done.fitting_text(chunk, &recorded, most - 40) {
                let record = DoneRecord {
                    state: None,
                    set: text.clone(),
                };
                let size = json_len(&to_value(&record));
                assert!(size <= most, "{size}");
                recorded.add_chunk(chunk, &text).unwrap();
            }
        }
    }
    assert!(recorded.iter().all(|t| done.contains(t)));
    assert!(recorded.len() > 2000, "{}", recorded.len());
    // Once all are done they are one range.
    for task in 0..100_000 {
        done.insert(task);
    }
    assert_eq!(
        done.fitting_text(0, &recorded, most - 40).as_deref(),
        Some("0-8191")
    );
}

/// A page that is too large, as one that was written before the limit was lowered, is read; what changes on
/// it goes to a page whose key sorts later. So an earlier version, which takes the entry that it reads last
/// in order of keys, and this one, which takes the larger one, both know the newer entry.
#[test]
fn large_pages_of_an_earlier_version() {
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
        assert_eq!(moved, [expected], "the large page stays as it is");
        assert!(due[0].entries.contains(&(name(1), 9)));
        // Once it is there it stays there.
        pages.mark_written(expected, due[0].version, 80);
        assert!(pages.is_stored(&name(1)));
        pages.put(&name(1), 11);
        assert_eq!(pages.pages_due(false)[0].number, expected);

        // The earlier version reads page by page in order of keys, and the last entry stands.
        let mut stored = [
            (large.to_string(), entries.clone()),
            (expected.to_string(), due[0].entries.clone()),
        ];
        stored.sort_by(|a, b| a.0.cmp(&b.0));
        let read_by_production: std::collections::HashMap<String, u32> =
            stored.iter().flat_map(|(_, page)| page.clone()).collect();
        assert_eq!(read_by_production[&name(1)], 9);
        // This one, in whichever order, takes the larger entry.
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

/// A transaction stays within its limits of changes and of bytes, whatever pages have names of.
#[test]
fn transactions_stay_small() {
    let most = 8192 - 16;
    let mut pages: PagedMap<u32> = PagedMap::new(most);
    for i in 0..2000 {
        pages.put(&format!("run-{i:040}"), 100_000);
    }
    let writes: Vec<PendingWrite> = pages
        .pages_due(false)
        .into_iter()
        .map(|image| page_write("claims/", image, PendingWriteKind::StartWatermarks))
        .collect();
    let count = writes.len();
    let packs = pack_transactions(writes, 24, 60 * 1024);
    assert_eq!(packs.iter().map(Vec::len).sum::<usize>(), count);
    assert!(packs.len() > 1, "they don't fit into one");
    for pack in &packs {
        let changes: Vec<&Change> = pack.iter().flat_map(|w| &w.changes).collect();
        let guards: Vec<&Precondition> = pack.iter().flat_map(|w| &w.preconditions).collect();
        let size = json_len(&to_value(&(guards, changes)));
        assert!(pack.len() <= 24 && size <= 64 * 1024, "{size}");
    }
}

/// Limits to come that are absurd are told like other settings.
#[test]
fn absurd_limits_to_come_are_told() {
    let base = include_str!("settings.rs");
    let good = base
        .split("r#\"")
        .nth(1)
        .unwrap()
        .split("\"#")
        .next()
        .unwrap();
    let with = |next: &str| {
        let text = good.replace(
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
        let told = with(next).unwrap_err();
        assert!(told.contains(&format!("field `{field}`")), "{told}");
    }
}
