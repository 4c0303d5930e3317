//! Context stores: which parts are fetched, saved and freed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use guavahold::context_store::{
    FETCH_TIMEOUT, PartKey, RelayOutcome, RetiredVersions, StoreChange, StoreDirectory, StoreInfo,
    StoreUpdate,
};
use guavahold::prelude::Name;
use guavahold::residency::AllowedDomains;

/// Time of a test, long after all stores have started.
fn ms(n: u64) -> Duration {
    Duration::from_millis(10_000 + n)
}

fn store(n: u8) -> SocketAddr {
    SocketAddr::from(([172, 20, 0, n], 8080))
}

fn info(n: u8) -> StoreInfo {
    StoreInfo {
        address: store(n),
        capacity: 10_000,
        domain: format!("domain-{n}").into(),
    }
}

fn part(scope: &str, id: &str) -> PartKey {
    PartKey {
        scope: scope.into(),
        id: id.into(),
    }
}

fn update(epoch: u64, next_seq: u64, changes: &[(&str, &str, u32)]) -> StoreUpdate {
    let changes = changes.iter();
    StoreUpdate {
        epoch,
        next_seq,
        gap: false,
        changes: changes
            .map(|(scope, id, tokens)| StoreChange {
                part: part(scope, id),
                tokens: *tokens,
            })
            .collect(),
        clock_ms: None,
    }
}

/// A directory of two empty stores that have answered: store 1 with boot epoch 7, store 2 with 8.
fn directory() -> StoreDirectory {
    let mut directory = StoreDirectory::default();
    directory.restrict_fetches(RetiredVersions::default(), Duration::MAX);
    assert_eq!(directory.set_stores(&[info(1), info(2)]).len(), 2);
    assert!(!directory.apply_changes(Duration::ZERO, store(1), update(7, 1, &[])));
    assert!(!directory.apply_changes(Duration::ZERO, store(2), update(8, 1, &[])));
    assert!(!directory.apply_changes(ms(0), store(1), update(7, 1, &[])));
    assert!(!directory.apply_changes(ms(0), store(2), update(8, 1, &[])));
    directory
}

/// The store from which a part of version 1 is fetched and the one at which it is saved.
fn plan(
    directory: &mut StoreDirectory,
    now: u64,
    id: &str,
) -> (Option<SocketAddr>, Option<SocketAddr>) {
    let plan = directory.plan_transfers(ms(now), &"1".into(), &[(id.into(), 1_000)], None);
    (plan.fetch[0], plan.save[0])
}

/// Several requests with the same part must not each save it, and a lost save must not leave the
/// part unsaved for good.
#[test]
fn plan_saves_part_once_then_fetches() {
    let mut directory = directory();
    let (fetch, save) = plan(&mut directory, 100, "p");
    assert_eq!(fetch, None);
    let saved = save.unwrap();
    assert_eq!(plan(&mut directory, 200, "p"), (None, None));
    directory.apply_changes(
        ms(300),
        saved,
        update(
            if saved == store(1) { 7 } else { 8 },
            2,
            &[("1", "p", 1_000)],
        ),
    );
    assert_eq!(plan(&mut directory, 400, "p"), (Some(saved), None));
    // A save that no store confirmed is requested again.
    let (_, first) = plan(&mut directory, 500, "q");
    assert!(first.is_some());
    directory.apply_changes(ms(3_900), store(1), update(7, 9, &[]));
    directory.apply_changes(ms(3_900), store(2), update(8, 9, &[]));
    assert_eq!(plan(&mut directory, 4_000, "q").1, first);
}

/// A store that is silent may have restarted, and may not hold a complete copy any more.
#[test]
fn plan_skips_silent_and_restarted_stores() {
    let mut directory = directory();
    directory.apply_changes(ms(10), store(1), update(7, 2, &[("1", "p", 1_000)]));
    assert_eq!(plan(&mut directory, 20, "p").0, Some(store(1)));
    assert_eq!(plan(&mut directory, 1_500, "p").0, None);
    assert!(directory.apply_changes(ms(1_600), store(1), update(9, 1, &[])));
    assert_eq!(plan(&mut directory, 1_610, "p").0, None);
    directory.apply_list(ms(1_700), store(1), update(9, 1, &[("1", "p", 1_000)]));
    assert_eq!(plan(&mut directory, 1_710, "p").0, Some(store(1)));
    directory.mark_unreachable(store(1));
    assert_eq!(plan(&mut directory, 1_720, "p").0, None);
}

/// Entries learn at different times that a store has restarted, each with its next answer. Guards against
/// a part that one entry has fetched while another has it written again (MIXED).
#[test]
fn plan_saves_at_a_restarted_store_only_when_nobody_fetches_its_former_parts() {
    for unanswered in (0..1_200).step_by(100) {
        let (mut unaware, mut aware) = (directory(), directory());
        for entry in [&mut unaware, &mut aware] {
            entry.apply_changes(ms(0), store(1), update(7, 2, &[("1", "p", 1_000)]));
        }
        // The store restarts just after an answer to the one, and before the next to the other.
        let noticed = unanswered + 10;
        assert!(aware.apply_changes(ms(noticed), store(1), update(9, 1, &[])));
        aware.apply_list(ms(noticed), store(1), update(9, 1, &[]));
        let (mut last_fetch, mut first_save) = (0, None);
        for now in (noticed..noticed + 6_000).step_by(20) {
            aware.apply_changes(ms(now), store(1), update(9, 1, &[]));
            if plan(&mut unaware, now, "p").0 == Some(store(1)) {
                last_fetch = now;
            }
            let (fetch, save) = plan(&mut aware, now, "p");
            assert_eq!(fetch, None);
            if first_save.is_none() && save == Some(store(1)) {
                first_save = Some(now);
            }
        }
        let fetched = ms(last_fetch) + FETCH_TIMEOUT;
        let saved = first_save.map(ms).unwrap();
        assert!(
            saved > fetched,
            "saved at {saved:?}, fetched until {fetched:?}"
        );
    }
}

/// An entry that starts finds stores that have long been in use, or one that holds nothing and may have
/// just restarted.
#[test]
fn plan_of_an_entry_that_starts_saves_at_stores_that_hold_parts() {
    let first_save = |first: StoreUpdate| {
        let mut directory = StoreDirectory::default();
        directory.restrict_fetches(RetiredVersions::default(), Duration::MAX);
        directory.set_stores(&[info(1)]);
        if directory.apply_changes(ms(0), store(1), first.clone()) {
            directory.apply_list(ms(0), store(1), update(7, 9, &[("1", "o", 1_000)]));
        }
        let mut times = (0..6_000).step_by(100);
        times.find(|now| {
            directory.apply_changes(ms(*now), store(1), update(7, 9, &[]));
            plan(&mut directory, *now, "p").1.is_some()
        })
    };
    let in_use = update(7, 9, &[("1", "o", 1_000)]);
    assert_eq!(first_save(in_use.clone()), Some(0));
    let gap = StoreUpdate {
        gap: true,
        ..in_use
    };
    assert_eq!(first_save(gap), Some(0));
    assert_eq!(first_save(update(7, 1, &[])), Some(3_500));
}

/// A store evicts nothing, so a part must not be saved beyond its capacity. Removed parts make room
/// again.
#[test]
fn plan_saves_only_at_stores_with_room() {
    let mut directory = directory();
    directory.apply_changes(ms(10), store(1), update(7, 2, &[("1", "a", 9_000)]));
    directory.apply_changes(ms(10), store(2), update(8, 2, &[("1", "b", 9_000)]));
    assert_eq!(plan(&mut directory, 20, "p"), (None, None));
    directory.apply_changes(ms(30), store(2), update(8, 3, &[("1", "b", 0)]));
    assert_eq!(plan(&mut directory, 40, "p"), (None, Some(store(2))));
}

/// Context of a prompt must not leave the regions that are allowed.
#[test]
fn plan_for_restricted_prompt_uses_stores_in_allowed_domains_only() {
    let parts = [("p".into(), 1_000), ("q".into(), 1_000)];
    let scope = Name::from("1");
    for (domain, own) in [
        ("domain-1", Some(store(1))),
        ("domain-2", Some(store(2))),
        ("x", None),
    ] {
        let mut directory = directory();
        directory.apply_changes(ms(10), store(1), update(7, 2, &[("1", "p", 1_000)]));
        let allowed = AllowedDomains::new([domain.into()]);
        let plan = directory.plan_transfers(ms(20), &scope, &parts, Some(&allowed));
        let holds = own == Some(store(1));
        assert_eq!(plan.fetch[..], [own.filter(|_| holds), None]);
        assert_eq!(plan.save[..], [own.filter(|_| !holds), own]);
        let found = directory.domain_of(ms(20), &scope, &"p".into(), Some(&allowed));
        assert_eq!(found.is_some(), holds);
    }
}

/// A retired part may be freed soon, so that no new fetch of it may begin.
#[test]
fn retired_parts_are_freed_and_not_fetched_or_saved() {
    let mut directory = directory();
    directory.apply_changes(
        ms(10),
        store(1),
        update(
            7,
            2,
            &[
                ("1", "p", 500),
                ("2.cust", "p", 500),
                ("1~57a04113bc387223", "p", 500),
                ("1.cu~st", "p", 500),
                ("2~57a04113bc387223", "p", 500),
            ],
        ),
    );
    let retired = RetiredVersions {
        all_below: 2,
        half_below: 2,
    };
    directory.restrict_fetches(retired, Duration::MAX);
    assert_eq!(plan(&mut directory, 20, "p"), (None, None));
    let mut unused = directory.freeable_parts(ms(20), retired);
    assert_eq!(unused.len(), 1);
    unused[0].2.sort();
    let old = ["1", "1.cu~st", "1~57a04113bc387223"];
    assert_eq!(unused, [(store(1), 7, old.map(|s| part(s, "p")).to_vec())]);
    assert!(
        directory
            .freeable_parts(ms(20), RetiredVersions::default())
            .is_empty()
    );
}

/// The directory of an entry that watches store 1, and that of a peer to which it relays.
fn watcher_and_peer() -> (StoreDirectory, StoreDirectory) {
    let mut watcher = directory();
    watcher.apply_changes(ms(10), store(1), update(7, 5, &[("1", "p", 1_000)]));
    let mut peer = StoreDirectory::default();
    peer.restrict_fetches(RetiredVersions::default(), Duration::MAX);
    peer.set_stores(&[info(1), info(2)]);
    (watcher, peer)
}

/// Relayed changes can be missing, repeated or out of order, since two entries watch each store.
/// Applied regardless, they would list parts that the store does not hold.
#[test]
fn relayed_changes_apply_in_sequence() {
    let (watcher, mut peer) = watcher_and_peer();
    let next = update(7, 6, &[("1", "q", 500)]);
    assert_eq!(
        peer.apply_relayed(ms(20), store(1), 5, next.clone()),
        RelayOutcome::Gap
    );
    assert_eq!(plan(&mut peer, 20, "q").0, None);
    let list = watcher.snapshot(ms(20), store(1)).unwrap();
    assert_eq!(
        peer.apply_relayed(ms(30), store(1), 0, list),
        RelayOutcome::Applied
    );
    assert_eq!(plan(&mut peer, 30, "p").0, Some(store(1)));
    assert_eq!(
        peer.apply_relayed(ms(40), store(1), 5, next.clone()),
        RelayOutcome::Applied
    );
    assert_eq!(plan(&mut peer, 40, "q").0, Some(store(1)));
    // The other watcher relays the same changes again, and then older ones.
    assert_eq!(
        peer.apply_relayed(ms(50), store(1), 5, next),
        RelayOutcome::AlreadyKnown
    );
    let older = update(7, 5, &[("1", "q", 0)]);
    assert_eq!(
        peer.apply_relayed(ms(60), store(1), 4, older),
        RelayOutcome::AlreadyKnown
    );
    assert_eq!(plan(&mut peer, 60, "q").0, Some(store(1)));
}

/// After a restart of the store, changes must not be added to the contents from before it.
#[test]
fn relayed_changes_of_another_boot_epoch_are_not_applied() {
    let (watcher, mut peer) = watcher_and_peer();
    let list = watcher.snapshot(ms(20), store(1)).unwrap();
    peer.apply_relayed(ms(20), store(1), 0, list);
    let other_epoch = update(9, 6, &[("1", "q", 500)]);
    assert_eq!(
        peer.apply_relayed(ms(30), store(1), 5, other_epoch),
        RelayOutcome::Gap
    );
    assert_eq!(plan(&mut peer, 40, "p").0, None);
    assert_eq!(watcher.snapshot(ms(9_000), store(1)), None);
}

fn held_names(directory: &StoreDirectory) -> Vec<(Name, u32)> {
    let held = directory.snapshot(ms(30), store(1)).unwrap().changes;
    let mut names: Vec<_> = held.into_iter().map(|c| (c.part.id, c.tokens)).collect();
    names.sort();
    names
}

/// Guards against a heap that a second copy of what a full store holds leaves in pieces each time its list
/// is read.
#[test]
fn list_after_a_gap_keeps_names_that_are_known() {
    let mut directory = directory();
    let held = [("1", "p", 1_000), ("1", "q", 700), ("0", "o", 700)];
    directory.apply_changes(ms(10), store(1), update(7, 4, &held));
    let before = held_names(&directory);
    let gap = StoreUpdate {
        gap: true,
        ..update(7, 9, &[])
    };
    assert!(directory.apply_changes(ms(20), store(1), gap));
    let list = [("1", "p", 1_200), ("1", "r", 400)];
    directory.apply_list(ms(30), store(1), update(7, 9, &list));
    let after = held_names(&directory);
    assert_eq!(after, [("p".into(), 1_200), ("r".into(), 400)]);
    let name_of = |names: &[(Name, u32)]| names.iter().find(|(id, _)| &**id == "p").cloned();
    let (old, new) = (name_of(&before).unwrap().0, name_of(&after).unwrap().0);
    assert!(Arc::ptr_eq(&old, &new));
    assert_eq!(directory.usage(ms(30)).0, 1_600);
}

/// Guards against parts from before a gap that are fetched while no list has replaced them.
#[test]
fn parts_before_a_gap_are_not_fetched_until_a_list_holds_them() {
    for epoch in [7, 9] {
        let mut directory = directory();
        let held = [("1", "p", 1_000), ("1", "q", 1_000)];
        directory.apply_changes(ms(10), store(1), update(7, 3, &held));
        let gap = StoreUpdate {
            gap: true,
            ..update(epoch, 9, &[])
        };
        assert!(directory.apply_changes(ms(20), store(1), gap));
        assert_eq!(plan(&mut directory, 30, "p").0, None);
        assert_eq!(directory.next_seq(store(1)), Some(0));
        assert_eq!(directory.snapshot(ms(30), store(1)), None);
        // The list fails, and the store answers with all of its changes.
        let all = update(epoch, 9, &[("1", "q", 1_000)]);
        assert!(!directory.apply_changes(ms(40), store(1), all));
        assert_eq!(plan(&mut directory, 50, "p").0, None);
        assert_eq!(plan(&mut directory, 50, "q").0, Some(store(1)));
    }
}
