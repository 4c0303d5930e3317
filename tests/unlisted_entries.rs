//! Which entries count although the platform's list does not name them.

use std::time::Duration;

use guavahold::gateway::UnlistedEntries;
use guavahold::prelude::Name;

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

fn known(unlisted: &UnlistedEntries, listed: &[&str], live: &[&str]) -> Vec<Name> {
    let known = unlisted.with(&names(listed), &names(live));
    known.into_iter().collect()
}

/// Guards against an entry that takes itself for the majority once it is cut off from those that
/// joined after it read the list.
#[test]
fn unlisted_entries_count_until_a_later_list_lacks_them() {
    let mut unlisted = UnlistedEntries::default();
    assert_eq!(known(&unlisted, &["a"], &["b"]), names(&["a", "b"]), "live");
    let read_at = Duration::from_secs(1);
    let lost_at = Duration::from_secs(2);
    unlisted.record_lost(lost_at, "b".into());
    unlisted.confirm_list(read_at);
    assert_eq!(known(&unlisted, &["a"], &[]), names(&["a", "b"]), "lost");
    assert_eq!(known(&unlisted, &["a", "b"], &["b"]), names(&["a", "b"]));
    unlisted.confirm_list(lost_at + Duration::from_millis(1));
    assert_eq!(known(&unlisted, &["a"], &[]), names(&["a"]), "a later list");
}
