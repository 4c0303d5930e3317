//! By which path targets are reached, from what one entry and its peers observe.

use std::collections::BTreeSet;
use std::time::Duration;

use guavahold::prelude::*;
use guavahold::reachability::{DialResult, Path, PathChange, ReachTable};

fn ms(ms: u64) -> Timestamp {
    Duration::from_millis(ms)
}

fn table(targets: usize) -> ReachTable {
    let mut table = ReachTable::default();
    let names: BTreeSet<Name> = (0..targets).map(|n| format!("i-{n}").into()).collect();
    table.set_targets(&names);
    table
}

#[test]
fn path_is_relayed_when_only_a_peer_connects() {
    let mut table = table(2);
    assert_eq!(
        table.record_dial(ms(3), "i-0", ms(0), DialResult::Refused),
        None
    );
    assert_eq!(table.path("i-0"), Path::Direct);
    assert_eq!(
        table.record_reached_by_peer(ms(9), "i-0"),
        Some(PathChange::CutOff)
    );
    assert_eq!(
        (table.path("i-0"), table.path("i-1")),
        (Path::Relayed, Path::Direct)
    );
    assert!(table.is_cut_off(), "half of the targets");
}

#[test]
fn path_is_direct_again_with_the_first_own_connection() {
    let mut table = table(1);
    table.record_reached_by_peer(ms(0), "i-0");
    let change = table.record_dial(ms(900), "i-0", ms(899), DialResult::Connected);
    assert_eq!(change, Some(PathChange::Restored));
    assert_eq!(table.path("i-0"), Path::Direct);
}

#[test]
fn path_that_comes_and_goes_stays_relayed_for_longer_each_time() {
    let mut table = table(4);
    table.record_reached_by_peer(ms(0), "i-0");
    table.record_dial(ms(900), "i-0", ms(899), DialResult::Connected);
    table.record_reached_by_peer(ms(1_800), "i-0");
    assert_eq!(table.take_checks(ms(3_700)), Vec::<Name>::new());
    assert_eq!(table.take_checks(ms(3_800)), vec![Name::from("i-0")]);
}

#[test]
fn connections_hang_after_two_timeouts_without_a_byte() {
    let mut table = table(4);
    table.record_bytes(ms(10), "i-0");
    table.record_reached_by_peer(ms(100), "i-0");
    let first = table.record_dial(ms(270), "i-0", ms(20), DialResult::TimedOut);
    assert_eq!(first, None);
    let second = table.record_dial(ms(530), "i-0", ms(280), DialResult::TimedOut);
    assert_eq!(second, Some(PathChange::Hanging));
    let third = table.record_dial(ms(800), "i-0", ms(550), DialResult::TimedOut);
    assert_eq!(third, None, "told once");
}

#[test]
fn connections_on_which_bytes_arrive_do_not_hang() {
    let mut table = table(4);
    table.record_reached_by_peer(ms(100), "i-0");
    table.record_dial(ms(270), "i-0", ms(20), DialResult::TimedOut);
    table.record_bytes(ms(400), "i-0");
    let second = table.record_dial(ms(530), "i-0", ms(280), DialResult::TimedOut);
    assert_eq!(second, None);
}

#[test]
fn refused_connections_do_not_make_open_ones_hang() {
    let mut table = table(4);
    table.record_reached_by_peer(ms(10), "i-0");
    for n in 1..5 {
        let at = ms(n * 500);
        assert_eq!(table.record_dial(at, "i-0", at, DialResult::Refused), None);
    }
}

#[test]
fn silent_targets_are_checked_at_once_when_nothing_arrives_from_any() {
    let mut table = table(3);
    table.record_bytes(ms(1_000), "i-2");
    table.begin_exchange(ms(1_000), "i-0");
    table.begin_exchange(ms(1_000), "i-1");
    assert!(table.take_checks(ms(1_250)).is_empty());
    let checked = table.take_checks(ms(1_300));
    assert_eq!(checked, vec![Name::from("i-0"), Name::from("i-1")]);
    assert!(table.take_checks(ms(1_400)).is_empty(), "not again so soon");
}

#[test]
fn silent_target_beside_others_that_answer_is_checked_late() {
    let mut table = table(3);
    table.begin_exchange(ms(0), "i-0");
    for at in (0..1_500).step_by(100) {
        table.record_bytes(ms(at), "i-1");
        assert!(table.take_checks(ms(at)).is_empty(), "at {at} ms");
    }
    assert_eq!(table.take_checks(ms(1_500)), vec![Name::from("i-0")]);
}

#[test]
fn entry_cut_off_from_all_looks_for_the_end_one_target_at_a_time() {
    let mut table = table(20);
    for n in 0..20 {
        table.record_reached_by_peer(ms(0), &format!("i-{n}"));
    }
    let mut tried = BTreeSet::new();
    for at in (0..2_000).step_by(100) {
        let checks = table.take_checks(ms(at));
        assert_eq!(checks.len(), 1);
        tried.extend(checks);
    }
    assert_eq!(tried.len(), 20, "each in its turn");
    table.record_dial(ms(2_000), "i-0", ms(1_999), DialResult::Connected);
    assert_eq!(table.path("i-0"), Path::Direct);
}

#[test]
fn target_that_nobody_reaches_is_left_to_its_probes_unless_a_path_appears() {
    let mut table = table(4);
    table.record_unreached("i-0");
    assert!(table.take_checks(ms(5_000)).is_empty());
    assert!(!table.is_cut_off());
    table.record_reached_by_peer(ms(5_000), "i-1");
    assert!(table.take_checks(ms(5_000)).contains(&Name::from("i-0")));
}

#[test]
fn entry_that_reaches_nothing_is_cut_off() {
    let mut table = table(2);
    table.record_unreached("i-0");
    assert!(!table.is_cut_off());
    table.record_unreached("i-1");
    assert!(table.is_cut_off());
}

#[test]
fn comparison_is_the_directly_reached_target_heard_last() {
    let mut table = table(3);
    table.record_bytes(ms(10), "i-1");
    table.record_bytes(ms(20), "i-2");
    table.record_bytes(ms(30), "i-0");
    assert_eq!(table.comparison("i-0").as_deref(), Some("i-2"));
    table.record_reached_by_peer(ms(40), "i-2");
    assert_eq!(table.comparison("i-0").as_deref(), Some("i-1"));
}

#[test]
fn silent_target_may_go_on_for_two_seconds() {
    let mut table = table(4);
    assert!(table.record_silent(ms(1_000), "i-0"));
    assert!(table.record_silent(ms(2_999), "i-0"));
    assert!(!table.record_silent(ms(3_000), "i-0"));
    table.record_bytes(ms(3_100), "i-0");
    assert!(
        table.record_silent(ms(4_000), "i-0"),
        "the silence starts anew"
    );
}

/// A target that is not registered any more goes on with what it has: its exchanges stay counted, and
/// it says nothing of whether this entry is cut off.
#[test]
fn set_targets_keeps_exchanges_of_unlisted_target() {
    let mut table = table(2);
    table.record_reached_by_peer(ms(0), "i-1");
    table.begin_exchange(ms(10), "i-1");
    let unlisted = table.set_targets(&BTreeSet::from(["i-0".into()]));
    assert_eq!(unlisted.len(), 1);
    assert_eq!((&*unlisted[0].target, unlisted[0].exchanges), ("i-1", 1));
    assert!(table.contains("i-1"));
    assert!(!table.is_cut_off() && !table.has_relayed());
    assert_eq!(table.take_checks(ms(9_000)), Vec::<Name>::new());
    table.end_exchange("i-1");
    assert!(!table.contains("i-1"));
}

/// An exchange that began before its target was unlisted and listed again is found to hang like any
/// other.
#[test]
fn set_targets_keeps_exchange_of_target_that_returns() {
    let mut table = table(1);
    table.begin_exchange(ms(0), "i-0");
    table.set_targets(&BTreeSet::new());
    table.set_targets(&BTreeSet::from(["i-0".into()]));
    assert_eq!(table.take_checks(ms(300)), vec![Name::from("i-0")]);
    table.record_reached_by_peer(ms(310), "i-0");
    table.record_dial(ms(550), "i-0", ms(300), DialResult::TimedOut);
    let second = table.record_dial(ms(850), "i-0", ms(600), DialResult::TimedOut);
    assert_eq!(second, Some(PathChange::Hanging));
}

/// A request that was placed before its target was unlisted may begin its exchange afterwards.
#[test]
fn begin_exchange_counts_target_that_is_not_listed() {
    let mut table = ReachTable::default();
    table.begin_exchange(ms(0), "i-9");
    assert!(table.contains("i-9"));
    table.end_exchange("i-9");
    assert!(!table.contains("i-9"));
}
