//! Weight versions on which new requests may start, from what an entry reads and its peers report.

use std::time::Duration;

use guavahold::gateway::WeightVersions;
use guavahold::name_hash::name_hash;
use guavahold::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn weight_versions_disallow_older_version_after_period() {
    let mut versions = WeightVersions::default();
    let model: Name = "m".into();
    versions.set_loaded([(model.clone(), 1), (model.clone(), 1)]);
    assert_eq!(versions.allowed(ms(0), "m").as_slice(), &[1]);
    versions.declare(ms(1_000), &model, 3);
    versions.declare(ms(1_100), &model, 2);
    assert_eq!(versions.newest_declared("m"), Some(3));
    versions.set_loaded([(model.clone(), 1), (model.clone(), 3)]);
    assert_eq!(versions.allowed(ms(2_000), "m").as_slice(), &[3, 1]);
    assert_eq!(versions.allowed(ms(11_000), "m").as_slice(), &[3]);
    // While no target has loaded the newest version, the older one stays allowed.
    versions.set_loaded([(model, 1)]);
    assert_eq!(versions.allowed(ms(11_000), "m").as_slice(), &[1]);
}

#[test]
fn weight_versions_measure_period_from_each_declaration() {
    let mut versions = WeightVersions::default();
    let model: Name = "m".into();
    versions.declare(ms(1_000), &model, 2);
    versions.declare(ms(5_000), &model, 3);
    versions.set_loaded([1, 2, 3].map(|v| (model.clone(), v)));
    assert_eq!(versions.allowed(ms(9_900), "m").as_slice(), &[3, 2, 1]);
    assert_eq!(versions.allowed(ms(10_100), "m").as_slice(), &[3, 2]);
    assert_eq!(versions.allowed(ms(14_100), "m").as_slice(), &[3]);
}

#[test]
fn weight_versions_disallow_older_until_peer_reports_declaration_age() {
    let model: Name = "m".into();
    let key = name_hash("m");
    let mut versions = WeightVersions::default();
    versions.declare_at_unknown_time(&model, 2);
    versions.set_loaded([1, 2].map(|v| (model.clone(), v)));
    assert_eq!(versions.allowed(ms(100), "m").as_slice(), &[2]);
    assert_eq!(versions.declaration_ages(ms(100)).count(), 0);
    versions.record_declaration_age(ms(200), key, 2, ms(4_000));
    assert_eq!(versions.allowed(ms(300), "m").as_slice(), &[2, 1]);
    assert_eq!(versions.allowed(ms(5_300), "m").as_slice(), &[2]);
    let ages: Vec<_> = versions.declaration_ages(ms(1_200)).collect();
    assert_eq!(ages, [(key, 2, ms(5_000))]);
    // The largest reported age counts. A version that this entry has not read binds nothing while no
    // target has loaded it.
    versions.record_declaration_age(ms(300), key, 2, ms(1_000));
    versions.record_declaration_age(ms(300), key, 3, ms(8_900));
    assert_eq!(versions.allowed(ms(1_300), "m").as_slice(), &[2, 1]);
    versions.record_declaration_age(ms(1_400), key, 2, ms(8_500));
    assert_eq!(versions.allowed(ms(2_000), "m").as_slice(), &[2]);
}

/// Where a declared version has to be in use sooner, older ones are given up sooner.
#[test]
fn weight_versions_disallow_older_before_a_short_deadline() {
    let mut versions = WeightVersions::with_deadline(ms(8_000));
    versions.declare_at_unknown_time(&"m".into(), 1);
    versions.declare(ms(0), &"m".into(), 2);
    versions.set_loaded([("m".into(), 1), ("m".into(), 2)]);
    assert_eq!(versions.allowed(ms(4_900), "m").as_slice(), [2, 1]);
    assert_eq!(versions.allowed(ms(5_100), "m").as_slice(), [2]);
}

/// An entry that knows versions `declared` with the times of their declarations.
fn entry(declared: &[(u64, u64)], loaded: &[u64]) -> WeightVersions {
    let model: Name = "m".into();
    let mut versions = WeightVersions::default();
    for (version, at) in declared {
        versions.declare(ms(*at), &model, *version);
    }
    versions.set_loaded(loaded.iter().map(|v| (model.clone(), *v)));
    versions
}

/// An entry that has just started and read the newest version from the store.
fn started_entry(newest: u64, loaded: &[u64]) -> WeightVersions {
    let mut versions = entry(&[], loaded);
    versions.declare_at_unknown_time(&"m".into(), newest);
    versions
}

/// Passes on what `from` reports at one moment; `to` started at another, so that its time differs.
fn report(from: (&WeightVersions, u64), to: (&mut WeightVersions, u64)) {
    let ((from, sent), (to, received)) = (from, to);
    for (model, version, age) in from.declaration_ages(ms(sent)) {
        to.record_declaration_age(ms(received), model, version, age);
    }
    for (model, version) in from.undated_declarations(ms(sent)) {
        to.record_undated_declaration(model, version);
    }
}

/// Guards against a started entry that allows versions whose successors it never read.
#[test]
fn allowed_keeps_to_versions_that_only_peers_have_read() {
    let loaded = [1, 2, 3, 4];
    let peer = entry(&[(2, 2_000), (3, 5_000), (4, 8_000)], &loaded);
    let mut started = started_entry(4, &loaded);
    assert_eq!(started.allowed(ms(10), "m").as_slice(), [4]);
    // The peer's 9.5 s are 0.1 s of the started entry.
    report((&peer, 9_500), (&mut started, 100));
    assert_eq!(started.allowed(ms(1_599), "m").as_slice(), [4, 3, 2, 1]);
    assert_eq!(started.allowed(ms(1_600), "m").as_slice(), [4, 3, 2]);
    assert_eq!(started.allowed(ms(4_600), "m").as_slice(), [4, 3]);
    assert_eq!(started.allowed(ms(7_600), "m").as_slice(), [4]);
}

/// Reports that come late, twice or in another order lead to the same cutoffs.
#[test]
fn allowed_is_the_same_for_any_order_of_reports() {
    let loaded = [1, 2, 3, 4];
    let key = name_hash("m");
    let reports = [(2, 8_000), (3, 5_000), (4, 2_000), (2, 7_000), (4, 1_000)];
    let expected = |versions: &WeightVersions| {
        [200, 1_300, 4_300, 7_300].map(|at| versions.allowed(ms(at), "m").to_vec())
    };
    let mut in_order = started_entry(4, &loaded);
    for (version, age) in reports {
        in_order.record_declaration_age(ms(200), key, version, ms(age));
    }
    let outcome = [vec![4, 3, 2, 1], vec![4, 3, 2], vec![4, 3], vec![4]];
    assert_eq!(expected(&in_order), outcome);
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut shuffled: Vec<_> = reports.into_iter().chain(reports).collect();
        rng.shuffle(&mut shuffled);
        let mut versions = started_entry(4, &loaded);
        for (version, age) in shuffled {
            versions.record_declaration_age(ms(200), key, version, ms(age));
        }
        assert_eq!(expected(&versions), outcome, "seed {seed}");
    }
}

/// A version that was declared long ago still binds while a target runs an older one, however long
/// the others have run; an entry that starts is told so.
#[test]
fn declaration_ages_report_old_version_while_a_target_lacks_it() {
    let mut peer = entry(&[(2, 1_000), (3, 100_000)], &[1, 2]);
    let reported: Vec<_> = peer.declaration_ages(ms(101_000)).collect();
    let key = name_hash("m");
    assert_eq!(reported, [(key, 2, ms(100_000)), (key, 3, ms(1_000))]);
    let mut started = started_entry(3, &[1, 2]);
    report((&peer, 101_000), (&mut started, 50));
    assert_eq!(started.allowed(ms(60), "m").as_slice(), [2]);
    peer.set_loaded([("m".into(), 3)]);
    assert_eq!(peer.declaration_ages(ms(140_000)).count(), 0);
}

/// All entries started at once after version 3 was named, so that none knows when; then version 4 is
/// named, and one more entry starts.
#[test]
fn undated_declarations_bind_an_entry_that_starts_later() {
    let loaded = [1, 2, 3, 4];
    let mut peer = started_entry(3, &loaded);
    peer.declare(ms(2_000), &"m".into(), 4);
    assert_eq!(peer.allowed(ms(2_500), "m").as_slice(), [4, 3]);
    let mut started = started_entry(4, &loaded);
    report((&peer, 2_500), (&mut started, 40));
    assert_eq!(started.allowed(ms(50), "m").as_slice(), [4, 3]);
    // A peer that knows when version 3 was named comes back.
    started.record_declaration_age(ms(60), name_hash("m"), 3, ms(4_000));
    assert_eq!(started.allowed(ms(70), "m").as_slice(), [4, 3, 2, 1]);
    assert_eq!(started.undated_declarations(ms(70)).count(), 0);
}

/// Objects are read again with each change and each listing: that does not make a version new.
#[test]
fn declare_does_not_date_a_version_that_was_read_before() {
    let mut versions = started_entry(3, &[1, 2, 3]);
    assert!(!versions.declare(ms(5_000), &"m".into(), 3));
    assert_eq!(versions.allowed(ms(5_000), "m").as_slice(), [3]);
}

/// A version that a peer names before this entry has read it from the store is bound by the time at
/// which this entry reads it.
#[test]
fn declare_dates_a_version_that_a_peer_could_not_date() {
    let mut versions = entry(&[(1, 0)], &[1, 2]);
    versions.record_undated_declaration(name_hash("m"), 2);
    assert_eq!(versions.allowed(ms(20_000), "m").as_slice(), [2]);
    versions.declare(ms(20_000), &"m".into(), 2);
    assert_eq!(versions.allowed(ms(20_000), "m").as_slice(), [2, 1]);
    assert_eq!(versions.allowed(ms(29_000), "m").as_slice(), [2]);
}

/// While no target has the version that an entry read when it started, versions before it may have
/// been named long ago, and no peer can tell: only the newest that a target has is safe.
#[test]
fn allowed_is_the_newest_loaded_version_while_no_target_has_an_undated_one() {
    let started = started_entry(4, &[1, 2]);
    assert_eq!(started.allowed(ms(10), "m").as_slice(), [2]);
    let only = started_entry(4, &[1]);
    assert_eq!(only.allowed(ms(10), "m").as_slice(), [1]);
}

/// The build before reports only recent ages and no undated versions: what it tells still binds.
#[test]
fn allowed_keeps_to_what_a_peer_of_the_build_before_reports() {
    let mut started = started_entry(4, &[1, 2, 4]);
    let key = name_hash("m");
    started.record_declaration_age(ms(100), key, 2, ms(8_000));
    started.record_declaration_age(ms(100), key, 4, ms(1_000));
    assert_eq!(started.allowed(ms(1_000), "m").as_slice(), [4, 2, 1]);
    assert_eq!(started.allowed(ms(1_100), "m").as_slice(), [4, 2]);
    assert_eq!(started.allowed(ms(8_100), "m").as_slice(), [4]);
}
