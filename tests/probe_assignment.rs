//! Which entries probe which targets, and what they send each other of the results.

use std::time::Duration;

use guavahold::entry::ProbeAssignment;
use guavahold::peer::PeerInfo;
use guavahold::prelude::Name;
use guavahold::scheduler::TargetInfo;
use guavahold::target::LoadReport;

fn targets(domain: &str, count: usize) -> Vec<TargetInfo> {
    let target = |n: usize| TargetInfo {
        name: format!("{domain}-{n}").into(),
        domain: domain.into(),
        address: ([127, 0, 0, 1], 1).into(),
        serves: "router".into(),
        leaving: false,
        started_ms: 0,
        software: Name::default(),
    };
    (0..count).map(target).collect()
}

fn entry(domain: &str, n: usize) -> PeerInfo {
    PeerInfo {
        name: format!("entry-{domain}{n}").into(),
        domain: domain.into(),
        revision: 1,
        since_ms: 0,
        draining: false,
    }
}

/// Number of entries that probe each target, when each entry computes its own assignment and a
/// recent update exists for every target.
fn probers(entries: &[PeerInfo], targets: &[TargetInfo]) -> Vec<usize> {
    let now = Duration::from_secs(10);
    let mut counts = vec![0; targets.len()];
    for own in entries {
        let others: Vec<_> = entries
            .iter()
            .filter(|e| e.name != own.name)
            .cloned()
            .collect();
        let mut assignment = ProbeAssignment::new(own.name.clone(), own.domain.clone());
        assignment.assign(&others, targets);
        for (n, target) in targets.iter().enumerate() {
            assignment.record_update(now, &target.name);
            counts[n] += usize::from(assignment.is_due(now, &target.name));
        }
    }
    counts
}

#[test]
fn assign_two_probers_per_target_in_its_domain() {
    let entries: Vec<_> = (0..21).map(|n| entry("a", n)).collect();
    let entries = [entries, vec![entry("b", 0), entry("b", 1)]].concat();
    let all = [targets("a", 400), targets("b", 3)].concat();
    assert!(probers(&entries, &all).iter().all(|n| *n == 2));
}

#[test]
fn assign_two_probers_of_domain_without_entries() {
    let entries: Vec<_> = (0..4).map(|n| entry("a", n)).collect();
    assert!(probers(&entries, &targets("c", 10)).iter().all(|n| *n == 2));
}

#[test]
fn assign_skips_draining_entry() {
    let mut entries: Vec<_> = (0..3).map(|n| entry("a", n)).collect();
    entries[0].draining = true;
    let all = targets("a", 20);
    let mut assignment = ProbeAssignment::new(entries[1].name.clone(), "a".into());
    assignment.assign(&[entries[0].clone(), entries[2].clone()], &all);
    let now = Duration::from_secs(10);
    for target in &all {
        assignment.record_update(now, &target.name);
    }
    assert!(all.iter().all(|t| assignment.is_due(now, &t.name)));
}

#[test]
fn is_due_without_peer_updates() {
    let entries: Vec<_> = (0..9).map(|n| entry("a", n)).collect();
    let all = targets("a", 50);
    let mut assignment = ProbeAssignment::new(entries[0].name.clone(), "a".into());
    assignment.assign(&entries[1..], &all);
    let now = Duration::from_secs(10);
    assert!(all.iter().all(|t| assignment.is_due(now, &t.name)));
    for target in &all {
        assignment.record_update(now, &target.name);
    }
    let due = |now| {
        all.iter()
            .filter(|t| assignment.is_due(now, &t.name))
            .count()
    };
    assert!(due(now + Duration::from_secs(1)) < 30);
    assert_eq!(due(now + Duration::from_secs(2)), 50);
}

#[test]
fn due_updates_send_every_target_once_in_bounded_messages() {
    let all = targets("a", 100);
    let mut assignment = ProbeAssignment::new("entry-a0".into(), "a".into());
    assignment.assign(&[], &all);
    let reports = |running| {
        let report = LoadReport {
            running,
            slots: 8,
            ..LoadReport::default()
        };
        all.iter().map(move |t| (t.name.clone(), report.clone()))
    };
    let mut reported: Vec<Name> = Vec::new();
    for round in 0..4 {
        let updates = assignment.due_updates(Duration::from_millis(250 * round), reports(1));
        assert!(updates.len() <= 32);
        assert!(updates.iter().all(|u| u.full_report.is_some()));
        reported.extend(updates.into_iter().map(|u| u.target));
    }
    reported.sort();
    reported.dedup();
    assert_eq!(
        reported.len(),
        100,
        "every target is reported once before any is repeated"
    );
    let updates = assignment.due_updates(Duration::from_secs(1), reports(2));
    assert!(
        updates
            .iter()
            .all(|u| u.full_report.is_none() && u.running == 2)
    );
}
