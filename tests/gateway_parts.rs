//! Unit tests of the gateway's parts that need no network: body and event decoding, target and load
//! tables, weight versions, the object cache, and the log queue.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use guavahold::gateway::{
    BodyReader, BrittleTargets, EvacuationChange, Evacuations, EventSplitter, LoadTable,
    RegisteredTarget, ResponseInfo, TargetLoad, TargetTable,
};
use guavahold::http::{Framing, MessageError};
use guavahold::name_hash::name_hash;
use guavahold::platform::{Listing, Object, Version, WatchEvent};
use guavahold::prelude::Name;
use guavahold::scheduler::TargetInfo;
use guavahold::store_view::{ObjectCache, PeerObject};
use guavahold::telemetry::{DEFAULT_LOG_LINES_PER_SECOND, LineBudget, LogQueue};
use serde_json::json;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Feeds a body in pieces of `step` bytes; returns the decoded body and the bytes after it.
fn read_body(
    framing: Framing,
    raw: &[u8],
    step: usize,
) -> Result<(Vec<u8>, Vec<u8>), MessageError> {
    let mut reader = BodyReader::new(framing, false);
    let (mut buf, mut out) = (Vec::new(), Vec::new());
    for piece in raw.chunks(step) {
        buf.extend_from_slice(piece);
        reader.feed(&mut buf, &mut out)?;
    }
    if !reader.is_done() {
        reader.end()?;
    }
    Ok((out, buf))
}

#[test]
fn body_reader_decodes_body_split_at_any_byte() {
    for step in 1..9 {
        let (body, rest) = read_body(Framing::Length(4), b"bodyextra", step).unwrap();
        assert_eq!((&body[..], &rest[..]), (&b"body"[..], &b"extra"[..]));
        let chunked = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nextra";
        let (body, rest) = read_body(Framing::Chunked, chunked, step).unwrap();
        assert_eq!((&body[..], &rest[..]), (&b"abcde"[..], &b"extra"[..]));
        let (body, rest) = read_body(Framing::Unspecified, b"to the end", step).unwrap();
        assert_eq!((&body[..], rest.len()), (&b"to the end"[..], 0));
    }
}

#[test]
fn body_reader_rejects_truncated_or_malformed_body() {
    let truncated = [
        (Framing::Length(5), &b"body"[..]),
        (Framing::Chunked, b"3\r\nabc\r\n"),
        (Framing::Chunked, b"3\r\nab"),
    ];
    for (framing, raw) in truncated {
        assert_eq!(read_body(framing, raw, 2), Err(MessageError::CutShort));
    }
    let garbled = read_body(Framing::Chunked, b"zz\r\n", 2);
    assert_eq!(garbled, Err(MessageError::BadChunk));
}

/// Guards against chunk lines that are read differently when they arrive in parts.
#[test]
fn body_reader_reads_chunk_lines_split_at_any_byte() {
    let long_line = format!("1;{}\r\nx\r\n0\r\n\r\n", "e".repeat(1_021));
    let trailers = format!("1\r\nx\r\n0\r\n{}\r\n", "Y: z\r\n".repeat(1_365));
    let accepted = [
        "1;a=b\r\nx\r\n0\r\nY: z\r\n\r\n",
        "001 \t\r\nx\r\n0;a\r\n\r\n",
        &long_line,
        &trailers,
    ];
    let longer_line = long_line.replacen("1;", "1;e", 1);
    let more_trailers = trailers.replacen("Y: z", "Y: zz", 1);
    let rejected = [
        "\r\n",
        ";a\r\n",
        "+1\r\nx\r\n0\r\n\r\n",
        "1\nx\r\n0\r\n\r\n",
        "1\r\nxy\r\n0\r\n\r\n",
        "1 1\r\nx\r\n0\r\n\r\n",
        "10000000000000000\r\nx\r\n0\r\n\r\n",
        &longer_line,
        &more_trailers,
    ];
    for step in [1, 2, 3, 5, 1_000, 20_000] {
        for raw in accepted {
            let (body, rest) = read_body(Framing::Chunked, raw.as_bytes(), step).unwrap();
            assert_eq!((&body[..], rest.len()), (&b"x"[..], 0), "{raw:?}");
        }
        for raw in rejected {
            let read = read_body(Framing::Chunked, raw.as_bytes(), step);
            assert_eq!(read, Err(MessageError::BadChunk), "{raw:?}");
        }
    }
}

#[test]
fn event_splitter_keeps_event_bytes_for_any_chunk_size() {
    let raw = b"weight-versions: 2\nid: 6\ndata: a\ndata: b\n\nid:7\r\ndata: c\r\n\r\nid: 8\nda";
    for step in 1..raw.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for piece in raw.chunks(step) {
            splitter.buf().extend_from_slice(piece);
            while let Some(event) = splitter.next_event() {
                events.push(event);
            }
        }
        let ids: Vec<_> = events.iter().map(|e| e.id).collect();
        assert_eq!(ids, [Some(6), Some(7)], "in pieces of {step}");
        let bytes: Vec<u8> = events.iter().flat_map(|e| e.bytes.clone()).collect();
        assert_eq!(&bytes[..], &raw[..raw.len() - 8]);
        assert!(splitter.has_rest());
    }
}

fn registered(name: &str, leaving: bool) -> RegisteredTarget {
    RegisteredTarget {
        info: TargetInfo {
            name: name.into(),
            domain: "a".into(),
            address: "10.0.0.1:80".parse().unwrap(),
            serves: "llm".into(),
            leaving,
            started_ms: 0,
            software: Name::default(),
        },
        slots: 4,
        weights: std::iter::once(("m".into(), 1)).collect(),
        started_ms: 0,
        cold: Duration::ZERO,
    }
}

fn names(table: &TargetTable) -> Vec<String> {
    table.iter().map(|t| t.info.name.to_string()).collect()
}

#[test]
fn target_table_keeps_target_missing_right_after_store_outage() {
    let mut table = TargetTable::default();
    table.set_registered(ms(0), vec![registered("a", false), registered("b", false)]);
    // The store was back at 10 s.
    table.record_store_recovery(ms(12_000));
    table.set_registered(ms(10_000), vec![registered("a", false)]);
    assert_eq!(names(&table), ["a", "b"]);
    table.set_registered(
        ms(11_000),
        vec![registered("a", false), registered("b", false)],
    );
    assert!(!table.expire(ms(20_000)));
    assert_eq!(names(&table), ["a", "b"]);
}

#[test]
fn target_table_removes_missing_target_after_grace_period() {
    let mut table = TargetTable::default();
    table.set_registered(ms(0), vec![registered("a", false), registered("b", false)]);
    // The store was back at 10 s.
    table.record_store_recovery(ms(12_000));
    table.set_registered(ms(10_100), vec![registered("a", false)]);
    assert!(!table.expire(ms(11_900)));
    assert!(table.expire(ms(12_000)));
    assert_eq!(names(&table), ["a"]);
}

#[test]
fn target_table_removes_target_at_once_without_store_outage() {
    let mut table = TargetTable::default();
    table.set_registered(ms(0), vec![registered("a", false), registered("b", false)]);
    table.set_registered(ms(5_000), vec![registered("b", true)]);
    assert_eq!(names(&table), ["b"]);
    assert!(table.get("b").unwrap().info.leaving);
}

fn object(name: &str, revision: u64, value: u64) -> Object {
    Object {
        kind: "k".into(),
        name: name.into(),
        version: Version(revision.to_string()),
        spec: json!(value),
    }
}

#[test]
fn object_cache_accepts_only_newer_objects_from_peer() {
    let mut cache = ObjectCache::default();
    cache.replace(Listing {
        items: vec![object("a", 5, 1)],
        version: Version("7".into()),
        ..Listing::default()
    });
    assert!(cache.apply(WatchEvent::Put(object("b", 9, 2))));
    assert!(!cache.apply(WatchEvent::Put(object("b", 10, 2))));
    assert!(!cache.apply(WatchEvent::Bookmark(Version("12".into()))));
    assert_eq!(cache.revision(), 12);
    let objects = |spec: &str| {
        vec![PeerObject {
            name: "c".into(),
            spec: spec.into(),
        }]
    };
    assert!(!cache.replace_from_peer(12, objects("3"), None));
    assert_eq!(cache.iter().count(), 2);
    assert!(cache.replace_from_peer(13, objects("3"), None));
    assert_eq!(cache.to_peer_objects(), objects("3"));
    assert!(!cache.apply(WatchEvent::Deleted(object("b", 14, 2))));
}

#[test]
fn object_cache_takes_the_other_objects_of_a_peer_beside_an_unreadable_one() {
    let mut cache = ObjectCache::default();
    let told = |name: &str, spec: &str| PeerObject {
        name: name.into(),
        spec: spec.into(),
    };
    let objects = vec![told("a", "1"), told("b", "{broken"), told("c", "3")];
    assert!(cache.replace_from_peer(13, objects, None));
    assert_eq!(cache.revision(), 13);
    let expected = vec![told("a", "1"), told("b", "null"), told("c", "3")];
    assert_eq!(cache.to_peer_objects(), expected);
}

#[test]
fn object_cache_is_ahead_of_answers_older_than_a_peer_s_objects() {
    let mut cache = ObjectCache::default();
    cache.replace(Listing {
        items: vec![object("a", 5, 1)],
        version: Version("7".into()),
        ..Listing::default()
    });
    let answer = Version("9".into());
    assert!(!cache.is_ahead_of(&answer));
    assert!(cache.replace_from_peer(12, Vec::new(), None));
    assert!(cache.is_ahead_of(&answer));
    assert!(!cache.is_ahead_of(&Version("12".into())));
}

#[test]
fn object_cache_last_change_includes_deletions_and_no_bookmarks() {
    let mut cache = ObjectCache::default();
    cache.replace(Listing {
        items: vec![object("a", 5, 1), object("b", 4, 1)],
        version: Version("7".into()),
        ..Listing::default()
    });
    assert_eq!(cache.last_change(), 5);
    cache.apply(WatchEvent::Bookmark(Version("12".into())));
    assert_eq!((cache.last_change(), cache.revision()), (5, 12));
    cache.apply(WatchEvent::Deleted(object("a", 14, 1)));
    assert_eq!((cache.last_change(), cache.revision()), (14, 14));
}

#[test]
fn load_table_sums_peers_until_reports_expire() {
    let mut table = LoadTable::default();
    let key = name_hash("t");
    let load = TargetLoad::from_tokens(2, 640, 6_400);
    table.record(ms(0), &"a".into(), vec![(key, load)]);
    table.record(ms(1_000), &"b".into(), vec![(key, load)]);
    let sum = table.sums()[&key];
    assert_eq!(
        (sum.requests, sum.work_tokens(), sum.context_tokens()),
        (4, 1_280, 12_800)
    );
    table.record(ms(1_200), &"b".into(), vec![]);
    assert!(!table.expire(ms(2_900)));
    assert!(table.expire(ms(3_100)));
    assert!(table.sums().is_empty());
}

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn log_queue_counts_dropped_lines() {
    let out = SharedBuffer::default();
    let queue = LogQueue::start(out.clone(), DEFAULT_LOG_LINES_PER_SECOND).unwrap();
    for n in 0..3_000 {
        queue.push(format!("event=line n={n}\n"));
    }
    drop(queue);
    let text = || String::from_utf8(out.0.lock().unwrap().clone()).unwrap();
    while !text().contains("log_lines_dropped") {
        std::thread::sleep(ms(5));
    }
    let text = text();
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    let mut dropped = 0;
    for line in text.lines() {
        match line.split_once("count=") {
            Some((_, count)) => dropped += count.parse::<usize>().unwrap(),
            None => *kinds.entry("line").or_default() += 1,
        }
    }
    assert_eq!(kinds["line"] + dropped, 3_000);
}

/// A flood gets its lines in each window, and each line that is left out is counted with a later one.
#[test]
fn line_budget_bounds_lines_and_counts_those_left_out() {
    let budget = LineBudget::half_of(80);
    let (mut permitted, mut left_out, mut told) = (Vec::new(), 0, 0);
    for n in 0..3_000_u64 {
        let now = ms(n);
        match budget.permit(now) {
            Some(count) => {
                permitted.push(now);
                told += count;
            }
            None => left_out += 1,
        }
    }
    for start in permitted.iter().step_by(20) {
        let window = permitted.iter().filter(|at| *at >= start);
        let window = window.filter(|at| **at < *start + ms(500));
        assert_eq!(window.count(), 20, "from {start:?}");
    }
    told += budget.permit(ms(4_000)).unwrap();
    assert_eq!(told, left_out);
}

/// Each change is logged once; a domain without targets is ignored until it has some.
#[test]
fn evacuations_report_each_change_once() {
    let (a, b) = (Name::from("a"), Name::from("b"));
    let counts = |pairs: &[(&Name, usize)]| -> BTreeMap<Name, usize> {
        pairs
            .iter()
            .map(|(name, n)| ((*name).clone(), *n))
            .collect()
    };
    let targets = counts(&[(&a, 3)]);
    let mut evacuations = Evacuations::default();
    evacuations.set([a.clone(), b.clone()].into());
    let began = EvacuationChange::Began(a.clone(), 3);
    let unknown = EvacuationChange::UnknownDomain(b.clone());
    assert_eq!(evacuations.changes(&targets), [began.clone(), unknown]);
    assert!(evacuations.changes(&targets).is_empty());
    assert!(
        evacuations.changes(&counts(&[])).is_empty(),
        "a lost its targets"
    );
    assert!(evacuations.contains("a") && evacuations.count_in_force() == 1);
    let both = counts(&[(&a, 3), (&b, 1)]);
    let later = EvacuationChange::Began(b.clone(), 1);
    assert_eq!(evacuations.changes(&both), [later]);
    evacuations.set([b].into());
    let ended = EvacuationChange::Ended(a.clone(), 3);
    assert_eq!(evacuations.changes(&both), [ended]);
    evacuations.set([a].into());
    assert_eq!(evacuations.changes(&both)[0], began);
}

fn brittle_after(unlisted: Duration) -> bool {
    let brittle = BrittleTargets::default();
    let target = Name::from("i-1");
    let says_brittle = ResponseInfo {
        brittle: Some(6),
        ..ResponseInfo::default()
    };
    brittle.observe(&target, &says_brittle);
    brittle.set_registered(ms(1_000), &[target.clone()].into());
    brittle.set_registered(ms(2_000), &BTreeSet::new());
    brittle.set_registered(ms(2_000) + unlisted, &[target.clone()].into());
    brittle.current().contains(&target)
}

/// Guards against a brittle target that is loaded like others once its registration was missing for a
/// moment.
#[test]
fn brittle_targets_stay_brittle_while_their_registration_is_missing() {
    assert!(brittle_after(ms(300)));
    assert!(brittle_after(Duration::from_secs(30)));
}

#[test]
fn brittle_targets_are_forgotten_long_after_their_registration() {
    assert!(!brittle_after(Duration::from_mins(3)));
}
