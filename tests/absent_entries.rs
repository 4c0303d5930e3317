//! Entries that are gone for good.

use std::time::Duration;

use guavahold::gateway::AbsentEntries;
use guavahold::prelude::Name;

fn mins(n: u64) -> Duration {
    Duration::from_mins(n)
}

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

/// Guards against replaced entries that count as gone for ever: once they are half of the list, nothing
/// is fetched or freed any more.
#[test]
fn absent_entries_are_gone_after_half_an_hour() {
    let mut absent = AbsentEntries::default();
    assert_eq!(absent.record(mins(0), &names(&["a", "b"])), None);
    assert_eq!(absent.record(mins(20), &names(&["b", "c"])), None);
    assert_eq!(absent.record(mins(29), &names(&["a", "b", "c"])), None);
    let gone = absent.record(mins(30), &names(&["a", "b", "c"]));
    assert_eq!(gone.as_deref(), Some("b"), "a was back meanwhile");
    let gone = absent.record(mins(50), &names(&["a", "c"]));
    assert_eq!(gone.as_deref(), Some("c"));
}

/// Guards against an entry that removes others since it was cut off itself.
#[test]
fn absent_entries_are_forgotten_by_an_entry_that_is_cut_off() {
    let mut absent = AbsentEntries::default();
    absent.record(mins(0), &names(&["a"]));
    absent.clear();
    assert_eq!(absent.record(mins(31), &names(&["a"])), None);
    assert_eq!(absent.record(mins(60), &names(&["a"])), None);
    assert!(absent.record(mins(61), &names(&["a"])).is_some());
}
