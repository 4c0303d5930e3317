//! How recently an entry's objects were confirmed, without a network.

use std::time::Duration;

use guavahold::store_view::{ConfirmedBy, KindFreshness};

const LIMIT: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn newly_overdue_reports_each_silence_once() {
    let mut freshness = KindFreshness::default();
    assert_eq!(freshness.confirm(ms(100), ConfirmedBy::Store), None);
    assert_eq!(freshness.newly_overdue(ms(2_100), LIMIT), None);
    assert_eq!(freshness.newly_overdue(ms(2_101), LIMIT), Some(ms(2_001)));
    assert_eq!(freshness.newly_overdue(ms(3_000), LIMIT), None);
    let peer = ConfirmedBy::Peer("front-2".into());
    assert_eq!(freshness.confirm(ms(4_100), peer), Some(ms(4_000)));
    assert_eq!(freshness.newly_overdue(ms(6_200), LIMIT), Some(ms(2_100)));
}

#[test]
fn observe_peer_revision_keeps_the_newest() {
    let mut freshness = KindFreshness::default();
    freshness.observe_peer_revision(7);
    freshness.observe_peer_revision(5);
    assert_eq!(freshness.peer_revision(), 7);
}

#[test]
fn observe_confirmation_counts_only_for_objects_that_are_complete() {
    let mut freshness = KindFreshness::default();
    let hub = "front-1".into();
    freshness.confirm(ms(1_000), ConfirmedBy::Store);
    freshness.observe_confirmation(ms(3_000), &hub, 20, 19);
    assert_eq!(freshness.confirmed_at(), ms(1_000), "a change is missing");
    assert_eq!(freshness.peer_change(), 20);
    freshness.observe_confirmation(ms(3_300), &hub, 20, 20);
    assert_eq!(freshness.confirmed_at(), ms(3_300));
    assert_eq!(freshness.confirmed_by(), &ConfirmedBy::Peer(hub.clone()));
    freshness.observe_confirmation(ms(2_000), &hub, 18, 20);
    assert_eq!(freshness.confirmed_at(), ms(3_300), "an older confirmation");
    assert_eq!(
        freshness.answered_at(),
        Some(ms(1_000)),
        "the store answered no call meanwhile"
    );
}
