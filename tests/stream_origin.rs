//! Origins of streams: who may name a stream, and what an entry forgets.

use guavahold::prelude::*;
use guavahold::stream_origin::{OriginTable, StreamKey, StreamOrigin};

/// Time after which a stream is not taken up any more.
const LIFETIME: Duration = Duration::from_mins(1);

fn ms(n: u64) -> Timestamp {
    Timestamp::from_millis(n)
}

fn origin(key: StreamKey, software: &str) -> StreamOrigin {
    StreamOrigin {
        key,
        software: software.into(),
    }
}

#[test]
fn stream_key_differs_by_customer_path_and_request() {
    let key = StreamKey::new("a", "/p/", "r");
    assert_eq!(key, StreamKey::new("a", "/p/", "r"));
    let others = [
        ("b", "/p/", "r"),
        ("a", "/q/", "r"),
        ("a", "/p/", "s"),
        ("a/", "p/", "r"),
    ];
    for (customer, path, request) in others {
        assert_ne!(key, StreamKey::new(customer, path, request));
    }
}

#[test]
fn origin_table_forgets_streams_that_ended_long_ago() {
    let mut table = OriginTable::default();
    let (old, kept) = (
        StreamKey::new("", "/", "old"),
        StreamKey::new("", "/", "kept"),
    );
    table.record(ms(0), origin(old, "v1"));
    table.record(ms(0), origin(kept, "v1"));
    table.record(ms(50_000), origin(kept, "v1"));
    assert_eq!(table.software(ms(59_999), old), Some("v1".into()));
    assert_eq!(table.software(LIFETIME, old), None);
    let new = StreamKey::new("", "/", "new");
    table.record(LIFETIME, origin(new, "v2"));
    assert_eq!(table.len(), 2, "the old one takes no memory");
    assert_eq!(table.software(LIFETIME, kept), Some("v1".into()));
}

/// A request ID that was used for two streams names neither.
#[test]
fn origin_table_trusts_no_key_with_two_versions() {
    let mut table = OriginTable::default();
    let key = StreamKey::new("", "/", "r");
    table.record(ms(0), origin(key, "v1"));
    table.record(ms(1), origin(key, "v2"));
    table.record(ms(2), origin(key, "v1"));
    assert_eq!(table.software(ms(3), key), None);
}

#[test]
fn origin_table_stays_within_its_size() {
    let mut table = OriginTable::default();
    for n in 0..150_000 {
        let key = StreamKey::new("", "/", &n.to_string());
        table.record(ms(n / 100), origin(key, "v1"));
    }
    assert!(table.len() <= 100_000);
    let newest = StreamKey::new("", "/", "149999");
    assert_eq!(table.software(ms(1_500), newest), Some("v1".into()));
}

/// Every entry ranks the keepers of a stream alike, and streams spread evenly over them.
#[test]
fn stream_key_spreads_streams_over_keepers() {
    let entries: Vec<String> = (0..24).map(|n| format!("front-{n}")).collect();
    let mut kept = vec![0_u32; entries.len()];
    for n in 0..2_400 {
        let key = StreamKey::new("", "/", &n.to_string());
        let ranked = (0..entries.len()).max_by_key(|e| key.rank(&entries[*e]));
        kept[ranked.unwrap()] += 1;
    }
    assert!(kept.iter().all(|n| (50..200).contains(n)), "{kept:?}");
}
