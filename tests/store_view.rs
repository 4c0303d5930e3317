//! What entries know of the platform's store, without a network: how late a change may be known, by
//! the sums of the constants and in a randomized system, and that no entry calls itself newer than it
//! is.

#[path = "store_view/entry.rs"]
mod entry;
#[path = "store_view/site.rs"]
mod site;
#[path = "store_view/store.rs"]
mod store;
#[path = "store_view/sums.rs"]
mod sums;
#[path = "store_view/system.rs"]
mod system;

use guavahold::platform::{Listing, Object, StoreRevision};
use guavahold::store_view::{ConfirmedBy, KindView, PeerObject};
use serde_json::json;
use site::{LARGE, MEDIUM, SMALL, Site};
use std::time::Duration;
use system::System;

/// Encodes a revision of the first era.
fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(1, number)
}

fn listing(number: u64, version: u64) -> Listing {
    let mut object = Object::new("config", "main", json!({"version": version}));
    object.version = revision(number).to_version();
    Listing {
        items: vec![object],
        version: revision(number).to_version(),
        ..Listing::default()
    }
}

fn told_by_peer(version: u64) -> Vec<PeerObject> {
    vec![PeerObject {
        name: "main".into(),
        spec: json!({ "version": version }).to_string(),
    }]
}

fn version(view: &KindView) -> Option<u64> {
    let (_, spec) = view.cache.iter().next()?;
    spec["version"].as_u64()
}

/// Guards against a listing that was answered before, and arrives after, newer objects of a peer.
#[test]
fn replace_older_listing_takes_nothing_back() {
    let mut view = KindView::default();
    assert!(view.adopt(revision(22).to_bits(), told_by_peer(22), None));
    view.cache.replace(listing(15, 15));
    assert_eq!(version(&view), Some(22));
    assert_eq!(view.cache.revision(), revision(22).to_bits());
}

/// Guards against a hub that confirms an older change as the newest after a peer told it of a newer
/// one.
#[test]
fn adopt_newer_objects_confirms_no_older_change() {
    let mut hub = KindView::default();
    hub.cache.replace(listing(15, 15));
    let second = Duration::from_secs(1);
    hub.confirm(second, ConfirmedBy::Store);
    assert!(hub.adopt(revision(22).to_bits(), told_by_peer(22), None));
    let word = hub.confirmation(second).unwrap();
    let mut entry = KindView::default();
    entry.cache.replace(listing(15, 15));
    entry.observe_confirmation(second, &"hub".into(), &word);
    assert!(entry.is_behind_hub());
    assert_eq!(entry.freshness.confirmed_by(), &ConfirmedBy::Nobody);
}

/// Seeds with a hub that stood still, was excluded by its entries, and then heard of nothing.
const FAILED_BESIDE_HUBS: [u64; 3] = [1_044, 1_151, 1_379];

/// Seeds in which the store turns all entries away at once, some after the others.
const UNREACHED_WITHOUT_HUBS: [u64; 2] = [20_139, 21_189];

/// Plays systems with random disruptions, one for each seed, and checks each entry all the while.
fn play(site: Site, seeds: impl IntoIterator<Item = u64>) {
    let found = seeds.into_iter().filter_map(|seed| {
        let found = System::new(site, seed).play();
        (!found.is_empty()).then_some((seed, found))
    });
    let found: Vec<_> = found.collect();
    assert!(found.is_empty(), "{} entries: {found:#?}", site.entries);
}

#[test]
fn change_without_hubs_is_in_force_in_time() {
    play(SMALL, UNREACHED_WITHOUT_HUBS.into_iter().chain(1..=25));
}

#[test]
fn change_beside_hubs_is_in_force_in_time() {
    play(MEDIUM, FAILED_BESIDE_HUBS.into_iter().chain(1..=25));
}

#[test]
fn change_in_a_large_system_is_in_force_in_time() {
    play(LARGE, 1..=20);
}

/// Plays 400 seeds of each system, from the one that `STORE_VIEW_SEED` names.
#[test]
#[ignore = "takes minutes"]
fn change_is_in_force_in_time_with_many_seeds() {
    let first = std::env::var("STORE_VIEW_SEED").map_or(1_000, |text| text.parse().unwrap());
    for site in [SMALL, MEDIUM, LARGE] {
        play(site, first..first + 400);
    }
}
