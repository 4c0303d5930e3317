//! What an entry remembers beyond the platform's store: targets that said that they are leaving, and
//! objects that a copy of the store lacks or has in an older version.

use std::time::Duration;

use guavahold::gateway::{RegisteredTarget, TargetTable};
use guavahold::platform::{Listing, Object, StoreRevision, WatchEvent};
use guavahold::scheduler::TargetInfo;
use guavahold::store_view::{ObjectCache, PeerObject};
use serde_json::json;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn names(table: &TargetTable) -> Vec<String> {
    table.iter().map(|t| t.info.name.to_string()).collect()
}

fn started(name: &str, started_ms: u64) -> RegisteredTarget {
    RegisteredTarget {
        info: TargetInfo {
            name: name.into(),
            domain: "a".into(),
            address: "10.0.0.1:80".parse().unwrap(),
            serves: "llm".into(),
            leaving: false,
            started_ms,
            software: "v1".into(),
        },
        slots: 4,
        weights: std::iter::once(("m".into(), 1)).collect(),
        started_ms,
        cold: Duration::ZERO,
    }
}

fn leaving_names(table: &TargetTable) -> Vec<String> {
    let leaving = table.iter().filter(|t| t.info.leaving);
    leaving.map(|t| t.info.name.to_string()).collect()
}

/// What a target itself said outlives its registration, which may say otherwise.
#[test]
fn says_leaving_outlives_registration() {
    let mut table = TargetTable::default();
    table.set_registered(ms(0), vec![started("a", 7), started("b", 7)]);
    assert!(table.record_said_leaving(&"a".into()));
    assert_eq!(leaving_names(&table), ["a"]);
    table.set_registered(ms(100), vec![started("b", 7)]);
    table.set_registered(ms(600_000), vec![started("a", 7), started("b", 7)]);
    assert_eq!(leaving_names(&table), ["a"]);
    assert!(!table.record_said_leaving(&"a".into()));
}

#[test]
fn says_leaving_ends_when_target_starts_anew() {
    let mut table = TargetTable::default();
    table.set_registered(ms(0), vec![started("a", 7)]);
    table.record_said_leaving(&"a".into());
    table.set_registered(ms(100), vec![started("a", 8)]);
    assert!(leaving_names(&table).is_empty());
}

/// The restored store lists a target as ready that was leaving, and one that was gone. Both are
/// distrusted until a registration that nobody renews has expired.
#[test]
fn store_era_copy_revives_no_leaving_target() {
    let mut table = TargetTable::default();
    let mut leaving = started("a", 7);
    leaving.info.leaving = true;
    table.set_registered(
        ms(0),
        vec![started("a", 7), started("b", 7), started("c", 7)],
    );
    table.set_registered(ms(100), vec![leaving, started("c", 7)]);
    table.record_store_restore(ms(1_000), ms(5_000));
    table.set_registered(ms(1_000), vec![started("a", 7), started("b", 7)]);
    assert_eq!(leaving_names(&table), ["a", "b"]);
    assert_eq!(names(&table), ["a", "b", "c"], "c may register again");
    assert!(table.expire(ms(6_000)));
    assert!(leaving_names(&table).is_empty());
    assert_eq!(names(&table), ["a", "b"]);
}

fn listing(revision: StoreRevision, objects: &[(&str, u64)]) -> Listing {
    Listing {
        items: objects
            .iter()
            .map(|(name, version)| Object::new("k", *name, json!({ "version": version })))
            .collect(),
        version: revision.to_version(),
        ..Listing::default()
    }
}

fn cached(cache: &ObjectCache) -> Vec<(String, u64)> {
    let objects = cache.iter();
    objects
        .map(|(name, spec)| (name.to_string(), spec["version"].as_u64().unwrap()))
        .collect()
}

#[test]
fn store_era_older_copy_replaces_no_newer_version() {
    let mut cache = ObjectCache::default();
    cache.replace(listing(
        StoreRevision::new(1, 90),
        &[("main", 4), ("new", 1)],
    ));
    let restored = listing(StoreRevision::new(2, 50), &[("main", 3), ("other", 9)]);
    assert!(cache.is_restored_by(&restored));
    cache.merge_versioned(restored, |spec| spec["version"].as_u64());
    let expected = [("main".into(), 4), ("new".into(), 1), ("other".into(), 9)];
    assert_eq!(cached(&cache), expected);
    assert_eq!(cache.revision(), StoreRevision::new(2, 50).to_bits());
}

#[test]
fn store_era_missing_object_is_kept_until_written_or_expired() {
    let mut cache = ObjectCache::default();
    cache.replace(listing(
        StoreRevision::new(1, 90),
        &[("a", 1), ("b", 1), ("c", 1)],
    ));
    cache.merge_restored(listing(StoreRevision::new(2, 50), &[("a", 1)]), ms(9_000));
    assert!(!cache.expire(ms(8_999)));
    let mut written = Object::new("k", "b", json!({"version": 2}));
    written.version = StoreRevision::new(2, 51).to_version();
    cache.apply(WatchEvent::Put(written));
    assert!(cache.expire(ms(9_000)));
    assert_eq!(cached(&cache), [("a".into(), 1), ("b".into(), 2)]);
}

/// A peer's objects of a later era are newer, however small their revision is; a listing of a
/// former era is not applied over them.
#[test]
fn store_era_orders_objects_of_peers() {
    let mut cache = ObjectCache::default();
    let former = listing(StoreRevision::new(1, 900), &[("a", 1)]);
    cache.replace(former.clone());
    let objects = vec![PeerObject {
        name: "a".into(),
        spec: r#"{"version":2}"#.into(),
    }];
    let later = StoreRevision::new(2, 5).to_bits();
    assert!(cache.replace_from_peer(later, objects.clone(), None));
    assert!(cache.is_outdated(&former));
    let old = StoreRevision::new(1, 901).to_bits();
    assert!(!cache.replace_from_peer(old, objects, None));
    assert_eq!(cached(&cache), [("a".into(), 2)]);
}

/// A peer keeps an evacuation that the restored store lacks, and tells it to an entry that has read
/// nothing from that store yet. Guards against an entry that lifts it with its own first listing.
#[test]
fn store_era_evacuation_kept_by_a_peer_is_not_lifted_by_the_copy() {
    let told = || {
        let kept = ["a", "b"].map(|name| PeerObject {
            name: name.into(),
            spec: r#"{"version":1}"#.into(),
        });
        kept.to_vec()
    };
    let copy = || listing(StoreRevision::new(2, 50), &[("a", 1)]);
    let in_force = [("a".into(), 1), ("b".into(), 1)];
    let former = listing(StoreRevision::new(1, 90), &[("a", 1), ("b", 1)]);
    let mut known = ObjectCache::default();
    known.replace(former);
    for mut cache in [known, ObjectCache::default()] {
        let revision = StoreRevision::new(2, 50).to_bits();
        assert!(cache.replace_from_peer(revision, told(), Some(ms(6_000))));
        assert!(!cache.expire(ms(5_999)), "the store may have it");
        cache.replace_confirmed(copy());
        assert_eq!(cached(&cache), in_force);
        cache.replace_confirmed(copy());
        assert_eq!(cached(&cache), in_force);
        assert!(cache.expire(ms(6_000)), "its writer did not write it again");
        assert_eq!(cached(&cache), [("a".into(), 1)]);
    }
}

/// A restored store that only lacks an evacuation lifts it neither by its first listing, nor by the
/// next ones, nor by what peers that know only the copy have; its deletion does.
#[test]
fn store_era_missing_evacuation_is_not_lifted_by_the_copy() {
    let peer = |revision, known: &[&str]| {
        let objects = known.iter().map(|name| PeerObject {
            name: (*name).into(),
            spec: "{}".into(),
        });
        (revision, objects.collect::<Vec<_>>())
    };
    let in_force = |cache: &ObjectCache| -> Vec<String> {
        cache.iter().map(|(name, _)| name.to_string()).collect()
    };
    let evacuated = |restored: &dyn Fn(&mut ObjectCache)| {
        let mut cache = ObjectCache::default();
        cache.replace(listing(StoreRevision::new(1, 90), &[("a", 1), ("b", 1)]));
        restored(&mut cache);
        assert_eq!(in_force(&cache), ["a", "b"]);
        cache
    };
    let by_store = |cache: &mut ObjectCache| {
        cache.merge_restored(listing(StoreRevision::new(2, 50), &[("a", 1)]), ms(6_000));
    };
    let by_peer = |cache: &mut ObjectCache| {
        let (revision, objects) = peer(StoreRevision::new(2, 50).to_bits(), &["a"]);
        assert!(cache.replace_from_peer(revision, objects, Some(ms(6_000))));
    };
    for restored in [&by_store as &dyn Fn(&mut ObjectCache), &by_peer] {
        let mut cache = evacuated(restored);
        cache.replace_confirmed(listing(StoreRevision::new(2, 51), &[("a", 1)]));
        assert_eq!(in_force(&cache), ["a", "b"]);
        let (revision, objects) = peer(StoreRevision::new(2, 52).to_bits(), &["a"]);
        assert!(cache.replace_from_peer(revision, objects, Some(ms(9_000))));
        assert_eq!(in_force(&cache), ["a", "b"]);
        assert!(!cache.expire(ms(5_999)));
        assert!(cache.expire(ms(6_000)), "its writer did not write it again");
        assert_eq!(in_force(&cache), ["a"]);

        let mut cache = evacuated(restored);
        cache.apply(WatchEvent::Deleted(Object::new("k", "b", json!({}))));
        assert_eq!(in_force(&cache), ["a"]);
    }
}
