//! Limits of targets: their values, and what an entry knows of them when answers arrive out of order.

use guavahold::prelude::*;
use guavahold::rate_limit::{
    LimitChange, LimitObservation, LimitReport, LimitTable, NamedLimit, RequestRate, SharePosition,
    own_slots, process_hash,
};

fn ms(n: u64) -> Timestamp {
    Timestamp::from_millis(n)
}

fn rate(text: &str) -> RequestRate {
    text.parse().unwrap()
}

/// An observation of a limit, or of none, by a request sent and answered at these milliseconds.
fn seen(limit: Option<&str>, sent: u64, received: u64) -> LimitObservation {
    LimitObservation {
        rate: limit.map(rate),
        sent: ms(sent),
        received: ms(received),
    }
}

/// The rate known after observations in this order of arrival.
fn known_after(observations: &[LimitObservation]) -> Option<RequestRate> {
    let mut table = LimitTable::default();
    for observation in observations {
        table.observe(&"t".into(), *observation);
    }
    table.rate("t")
}

#[test]
fn request_rate_parses_decimal_numbers() {
    assert_eq!(rate("2.3"), RequestRate::from_thousandths(2_300));
    assert_eq!(rate("17"), RequestRate::from_thousandths(17_000));
    assert_eq!(rate("0"), RequestRate::from_thousandths(0));
    assert_eq!(rate("0.0019"), RequestRate::from_thousandths(1));
    let huge = "9".repeat(40);
    assert_eq!(rate(&huge), RequestRate::from_thousandths(u32::MAX));
}

#[test]
fn request_rate_rejects_what_is_no_decimal_number() {
    let endless = "9".repeat(400);
    let malformed = [
        "", ".", "-1", "+1", "1e3", "inf", "NaN", "1,5", "1.2.3", "0x2", "2 3", &endless,
    ];
    for text in malformed {
        assert!(text.parse::<RequestRate>().is_err(), "{text:?}");
    }
}

#[test]
fn named_limit_mentioned_twice_must_agree() {
    let two = NamedLimit::Rate(rate("2"));
    assert_eq!(NamedLimit::None.and(two), two);
    assert_eq!(two.and(two), two);
    let three = NamedLimit::Rate(rate("3"));
    assert_eq!(two.and(three), NamedLimit::Unreadable);
    assert_eq!(two.and(NamedLimit::Unreadable), NamedLimit::Unreadable);
}

#[test]
fn observe_old_answer_lifts_no_newer_limit() {
    let limit = seen(Some("2"), 100, 200);
    assert_eq!(known_after(&[limit, seen(None, 150, 300)]), limit.rate);
    assert_eq!(known_after(&[limit, seen(Some("9"), 199, 300)]), limit.rate);
    assert_eq!(known_after(&[limit, seen(None, 200, 300)]), None);
    let raised = seen(Some("9"), 200, 300);
    assert_eq!(known_after(&[limit, raised]), raised.rate);
}

#[test]
fn observe_stricter_limit_counts_unless_certainly_older() {
    let limit = seen(Some("5"), 100, 200);
    let overlapping = seen(Some("2"), 50, 120);
    assert_eq!(known_after(&[limit, overlapping]), overlapping.rate);
    let older = seen(Some("2"), 50, 100);
    assert_eq!(known_after(&[limit, older]), limit.rate);
    let lifted = seen(None, 300, 400);
    let late = seen(Some("5"), 150, 250);
    assert_eq!(known_after(&[limit, lifted, late]), None);
}

/// A limit that is named again and again must not stay known after the target has stopped.
#[test]
fn observe_repeated_limit_is_lifted_by_first_later_answer() {
    let mut table = LimitTable::default();
    for n in 0..10 {
        let change = table.observe(&"t".into(), seen(Some("2"), n * 100, n * 100 + 90));
        assert_eq!(change == LimitChange::None, n > 0);
    }
    assert_eq!(table.since("t"), Some(ms(90)));
    let lifted = table.observe(&"t".into(), seen(None, 990, 1_050));
    assert_eq!(lifted, LimitChange::Lifted);
}

/// A process that starts anew has no limit, whatever the former one under its name had.
#[test]
fn set_targets_forgets_limits_of_former_processes_and_gone_targets() {
    let mut table = LimitTable::default();
    table.set_targets(ms(0), [("t".into(), 7)]);
    table.observe(&"t".into(), seen(Some("2"), 10, 20));
    table.set_targets(ms(30), []);
    table.set_targets(ms(60_000), [("t".into(), 7)]);
    assert_eq!(table.rate("t"), Some(rate("2")), "its registration is back");
    table.set_targets(ms(60_000), [("t".into(), 8)]);
    assert_eq!(table.rate("t"), None, "it has started anew");
    table.observe(&"t".into(), seen(Some("2"), 61_000, 61_100));
    table.set_targets(ms(62_000), []);
    table.set_targets(ms(62_000 + 120_000), []);
    assert_eq!(table.rate("t"), None, "it is gone");
}

/// A table that lists one target.
fn table() -> LimitTable {
    let mut table = LimitTable::default();
    table.set_targets(ms(0), [("t".into(), 7)]);
    table
}

/// An entry that hears of a limit keeps to it, and counts from when it was first named anywhere.
#[test]
fn merge_adopts_limit_of_a_peer_with_its_age() {
    let mut first = table();
    first.observe(&"t".into(), seen(Some("2"), 900, 1_000));
    let reports = first.reports(ms(1_500));
    // The clocks of two entries have nothing in common.
    let mut second = table();
    let (name, change) = second.merge(ms(70_000), &reports[0]).expect("a change");
    assert_eq!((&*name, change), ("t", LimitChange::Named(rate("2"))));
    assert_eq!(second.since("t"), Some(ms(69_500)));
    assert_eq!(second.merge(ms(70_000), &reports[0]), None, "nothing new");
}

#[test]
fn merge_lifts_limit_that_a_peer_saw_end_later() {
    let mut first = table();
    first.observe(&"t".into(), seen(Some("2"), 900, 1_000));
    let named = first.reports(ms(1_100));
    let mut second = table();
    second.merge(ms(1_100), &named[0]);
    first.observe(&"t".into(), seen(None, 2_000, 2_050));
    let lifted = first.reports(ms(2_100));
    assert_eq!(lifted[0].rate, None);
    let change = second.merge(ms(2_100), &lifted[0]);
    assert_eq!(change, Some(("t".into(), LimitChange::Lifted)));
    let late = named[0].aged_by(ms(1_000));
    assert_eq!(second.merge(ms(2_100), &late), None, "the older report");
    assert_eq!(first.reports(ms(40_000)), [], "an end is not told for ever");
}

/// A report about the former process of a target says nothing of the present one.
#[test]
fn merge_ignores_reports_about_other_processes() {
    let report = LimitReport {
        target: process_hash("t", 6),
        rate: Some(rate("2")),
        sent_ms: 10,
        received_ms: 5,
        since_ms: 5,
    };
    let mut table = table();
    assert_eq!(table.merge(ms(1_000), &report), None);
    assert_eq!(table.rate("t"), None);
}

/// A hub that merges the reports of several entries keeps the stricter one unless it is outdated.
#[test]
fn limit_report_merge_keeps_what_counts() {
    let report = |limit: Option<&str>, sent_ms, received_ms| LimitReport {
        target: 1,
        rate: limit.map(rate),
        sent_ms,
        received_ms,
        since_ms: received_ms,
    };
    let limit = report(Some("2"), 500, 400);
    let overlapping = report(None, 450, 300);
    let ended = report(None, 200, 100);
    assert_eq!(limit.merge(overlapping).rate, limit.rate);
    assert_eq!(overlapping.merge(limit).rate, limit.rate);
    assert_eq!(limit.merge(ended).rate, None);
    assert_eq!(ended.merge(limit).rate, None);
}

#[test]
fn slots_are_dealt_whole_and_evenly() {
    for (slots, entries) in [
        (vec![6, 6, 6, 6], 22),
        (vec![6; 4], 6),
        (vec![64, 5], 8),
        (vec![3], 3),
    ] {
        let of = |index| SharePosition { of: entries, index };
        let shares: Vec<Vec<u32>> = (0..entries)
            .map(|index| own_slots(&slots, of(index)).unwrap())
            .collect();
        for (n, all) in slots.iter().enumerate() {
            assert_eq!(shares.iter().map(|own| own[n]).sum::<u32>(), *all);
        }
        let totals: Vec<u32> = shares.iter().map(|own| own.iter().sum()).collect();
        let (least, most) = (totals.iter().min().unwrap(), totals.iter().max().unwrap());
        assert!(most - least <= 1, "{totals:?}");
        assert!(*least > 0);
    }
    let alone = SharePosition { of: 1, index: 0 };
    assert_eq!(own_slots(&[6, 7], alone), Some(vec![6, 7]));
    let many = SharePosition { of: 9, index: 0 };
    assert_eq!(own_slots(&[4, 4], many), None, "fewer slots than entries");
}

/// Guards against a sum that overflows, so that one target costs the others their slots.
#[test]
fn slots_of_a_target_that_states_any_number_cost_no_other() {
    let first = SharePosition { of: 2, index: 0 };
    let own = own_slots(&[u32::MAX, u32::MAX, 8], first).unwrap();
    assert_eq!(own[2], 4);
    assert!(own[0] >= u32::MAX / 2);
}
