//! Sums of the longest times on each way by which a change reaches an entry; the table stands in
//! docs/design/changes.md.

use std::time::Duration;

use guavahold::gateway::{HUB_INTERVAL, HUB_TIMEOUT, INTERVAL_JITTER, STATUS_INTERVAL};
use guavahold::platform::{CALL_TIMEOUT, WATCH_CALL_PAUSE, WatchTiming};
use guavahold::store_view::{
    CATCH_UP_INTERVAL, HUB_CHECK_INTERVAL, MAX_BACKOFF, OBJECT_REQUEST_DELAY, PROPAGATION_TIME,
    back_off_time,
};

use crate::site::{LARGE, MEDIUM, SMALL, Site};

/// Time for an answer of the store, or a message of a peer, to arrive and be applied.
const TRANSIT: Duration = Duration::from_millis(100);

/// A way, its longest time, and the time that it has.
type Way = (&'static str, Duration, Duration);

fn with_jitter(interval: Duration) -> Duration {
    interval.mul_f64(1.0 + INTERVAL_JITTER)
}

/// Time from an answer of the store until a watch that waits for changes waits again, and is
/// answered.
fn own_watch(site: &Site) -> Duration {
    site.batch_pause() + WATCH_CALL_PAUSE + TRANSIT
}

/// Time until the next status or digest has arrived.
fn next_status(site: &Site) -> Duration {
    let interval = if site.uses_hubs() {
        HUB_INTERVAL
    } else {
        STATUS_INTERVAL
    };
    with_jitter(interval) + TRANSIT
}

/// Time from a hub's answer until an entry has read what its own watch missed.
fn told_by_hub(site: &Site) -> Duration {
    next_status(site) + HUB_CHECK_INTERVAL + PROPAGATION_TIME + TRANSIT
}

/// Time from the loss of the store until a peer's objects are adopted.
fn taken_from_peer(site: &Site) -> Duration {
    OBJECT_REQUEST_DELAY + next_status(site) + TRANSIT * 2
}

/// Time until an unanswered call is given up and what has changed is read.
fn after_hanging_call(site: &Site) -> Duration {
    site.times().max_silence + back_off_time(0) + TRANSIT
}

fn ways(site: &Site) -> Vec<Way> {
    let (stable, stretched) = (site.stable_window, site.apply + site.max_stretch);
    let started = CALL_TIMEOUT + MAX_BACKOFF + TRANSIT;
    let mut ways = vec![
        ("own watch", own_watch(site), site.apply),
        ("list of an entry that starts", started, stable),
        (
            "calls after a failed one",
            CATCH_UP_INTERVAL + TRANSIT,
            stable,
        ),
    ];
    let hanging = after_hanging_call(site);
    ways.push(("call that hangs", hanging, stable));
    let lost = site.times().max_silence + back_off_time(0) + taken_from_peer(site);
    ways.push(("turned away in silence", lost, stretched));
    if !site.uses_hubs() {
        return ways;
    }
    // The hub knows of a change and ends just before it tells its entries.
    let hub_lost = HUB_TIMEOUT + next_status(site) + HUB_CHECK_INTERVAL + TRANSIT;
    ways.push(("hub that ends", own_watch(site) + hub_lost, site.apply));
    let told = own_watch(site) + told_by_hub(site);
    ways.push(("missed change, told by the hub", told, site.apply));
    let unconfirmed = site.times().max_unconfirmed + HUB_CHECK_INTERVAL + back_off_time(0);
    ways.push(("hanging watch beside a hub", unconfirmed + TRANSIT, stable));
    ways.push((
        "hanging call of the hub",
        hanging + told_by_hub(site),
        stable,
    ));
    let entry_lost = told_by_hub(site) + CATCH_UP_INTERVAL + taken_from_peer(site);
    let refused = own_watch(site) + entry_lost;
    ways.push(("turned away in silence beside a hub", refused, stretched));
    ways.push((
        "the same, and the hub as well",
        lost + entry_lost,
        stretched,
    ));
    ways
}

#[test]
fn sums_stay_within_bounds_of_all_deployments() {
    let mut late = Vec::new();
    for site in [SMALL, MEDIUM, LARGE] {
        for (way, sum, bound) in ways(&site) {
            println!("{} entries, {way}: {sum:?} of {bound:?}", site.entries);
            if sum > bound {
                late.push((site.entries, way, sum, bound));
            }
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// Guards against entries that give a watch up although their hub's calls are answered.
#[test]
fn sums_of_a_sound_hub_stay_below_its_entries_patience() {
    for site in [MEDIUM, LARGE] {
        let times = site.times();
        let answers = WatchTiming::waiting(times.max_silence).wait + own_watch(&site);
        let heard = answers + next_status(&site);
        assert!(heard <= times.max_unconfirmed, "{heard:?} of {times:?}");
    }
}
