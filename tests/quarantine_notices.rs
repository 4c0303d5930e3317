//! Notices about requests that crash targets.

use std::time::Duration;

use guavahold::prefix_keys::BlockKey;
use guavahold::prelude::Name;
use guavahold::scheduler::SuspectRequest;
use guavahold::shared_scheduler::{NoticeBudget, QuarantineNotices};

/// Messages that one entry may send in a second.
const MESSAGES_PER_SECOND: usize = 640;

/// Notices permitted of many at one time.
fn permitted(budget: &mut NoticeBudget, at: Duration, peers: usize) -> usize {
    (0..1_000).filter(|_| budget.permit(at, peers)).count()
}

/// Guards against a flood of messages when a failure domain is lost: each stream that breaks off there
/// has a notice for all peers.
#[test]
fn notice_budget_bounds_messages_in_large_systems() {
    let sec = Duration::from_secs;
    for peers in [7, 83, 649] {
        let mut budget = NoticeBudget::default();
        let at_once = peers * permitted(&mut budget, sec(0), peers);
        let first_second = MESSAGES_PER_SECOND..=MESSAGES_PER_SECOND + peers;
        assert!(first_second.contains(&at_once), "{at_once} at once");
        let later = (1..=10).map(|n| peers * permitted(&mut budget, sec(n), peers));
        let later: usize = later.sum();
        let even = 10 * MESSAGES_PER_SECOND;
        assert!(later.abs_diff(even) <= peers, "{later} in ten seconds");
    }
}

/// Quarantines, and ends of targets before an answer, are always told.
#[test]
fn record_sent_leaves_out_only_notices_of_answering_victims() {
    let notices = QuarantineNotices::default();
    let peers = || (0..649).map(|n| Name::from(format!("entry-{n}")));
    let suspect = |victims: &[&str], answering: &[&str], ttl| SuspectRequest {
        answering_victims: answering.iter().map(|name| Name::from(*name)).collect(),
        ..SuspectRequest::new(
            BlockKey::from_bytes([1; 32]),
            victims.iter().map(|name| Name::from(*name)).collect(),
            Duration::from_secs(ttl),
        )
    };
    let sent = |suspect| {
        notices
            .record_sent(Duration::ZERO, suspect, peers())
            .is_some()
    };
    assert!(sent(suspect(&[], &["x"], 0)));
    assert!(!sent(suspect(&[], &["y"], 0)), "the budget is spent");
    assert!(sent(suspect(&["x"], &[], 0)));
    assert!(sent(suspect(&[], &["x", "y", "z", "u"], 600)));
}
