//! Quarantine of parts of prompts, without a network.

#[path = "part_quarantine/load.rs"]
mod load;

use std::time::Duration;

use guavahold::part_quarantine::{LostPrompt, PartNotice, PartQuarantine, Permission, RecentParts};
use guavahold::prelude::*;

/// Time on the clock at which the tests begin.
const START: Duration = Duration::from_secs(1_000);
const FIRST: &str = "first";
const CRASHING: &str = "crashing";

fn at_ms(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

fn names(parts: &[&str]) -> Vec<Name> {
    parts.iter().map(|p| Name::from(*p)).collect()
}

/// Records that a target ended with a prompt of a scope.
fn end_scoped(
    table: &mut PartQuarantine,
    ms: u64,
    target: &str,
    parts: &[&str],
    scope: &str,
) -> Vec<PartNotice> {
    let prompt = LostPrompt {
        parts: names(parts),
        scope: scope.into(),
    };
    let target = Name::from(target);
    table.record_loss(at_ms(ms), &target, prompt);
    table.record_end(at_ms(ms), &target)
}

fn end(table: &mut PartQuarantine, ms: u64, target: &str, parts: &[&str]) -> Vec<PartNotice> {
    end_scoped(table, ms, target, parts, "")
}

fn permission(table: &PartQuarantine, ms: u64, parts: &[&str]) -> Permission {
    table.permission(at_ms(ms), "", &names(parts), |_| Duration::ZERO)
}

fn is_held(table: &PartQuarantine, ms: u64, parts: &[&str]) -> bool {
    matches!(permission(table, ms, parts), Permission::Held(_))
}

/// A table in which three targets have ended with the crashing part, one after the other.
fn quarantined() -> PartQuarantine {
    let mut table = PartQuarantine::default();
    for (n, target) in ["i-1", "i-2", "i-3"].iter().enumerate() {
        let ms = 1_000 * (n as u64 + 1);
        let session = format!("session-{n}");
        end(&mut table, ms, target, &[FIRST, &session, CRASHING]);
        table.record_answer(&names(&[FIRST]));
    }
    table
}

#[test]
fn permission_holds_back_a_part_with_three_victims() {
    let table = quarantined();
    assert!(is_held(&table, 3_100, &[FIRST, "session-9", CRASHING]));
}

#[test]
fn permission_is_free_for_parts_beside_it() {
    let table = quarantined();
    assert_eq!(
        permission(&table, 3_100, &[FIRST, "session-1"]),
        Permission::Free
    );
}

#[test]
fn permission_is_free_after_two_victims() {
    let mut table = PartQuarantine::default();
    end(&mut table, 0, "i-1", &[CRASHING]);
    end(&mut table, 1_000, "i-2", &[CRASHING]);
    assert_eq!(permission(&table, 1_100, &[CRASHING]), Permission::Free);
}

#[test]
fn permission_is_free_when_victims_are_long_ago() {
    let mut table = PartQuarantine::default();
    for (ms, target) in [(0, "i-1"), (400_000, "i-2"), (800_000, "i-3")] {
        end(&mut table, ms, target, &[CRASHING]);
    }
    assert_eq!(permission(&table, 800_100, &[CRASHING]), Permission::Free);
}

/// The loss of a rack ends many targets at once, whatever they run.
#[test]
fn permission_is_free_after_ends_at_one_moment() {
    let mut table = PartQuarantine::default();
    for target in ["i-1", "i-2", "i-3", "i-4", "i-5"] {
        end(&mut table, 0, target, &[FIRST]);
    }
    assert_eq!(permission(&table, 100, &[FIRST]), Permission::Free);
}

#[test]
fn permission_needs_more_rounds_for_a_part_that_was_sound() {
    let mut table = PartQuarantine::default();
    table.record_answer(&names(&[FIRST]));
    for (ms, target) in [(0, "i-1"), (1_000, "i-2"), (2_000, "i-3")] {
        end(&mut table, ms, target, &[FIRST]);
    }
    assert_eq!(permission(&table, 2_100, &[FIRST]), Permission::Free);
    end(&mut table, 3_000, "i-4", &[FIRST]);
    assert!(is_held(&table, 3_100, &[FIRST]));
}

#[test]
fn record_alive_drops_the_suspicion() {
    let mut table = PartQuarantine::default();
    for (ms, target) in [(0, "i-1"), (1_000, "i-2"), (2_000, "i-3")] {
        let prompt = LostPrompt {
            parts: names(&[CRASHING]),
            scope: Name::default(),
        };
        table.record_loss(at_ms(ms), &target.into(), prompt);
        table.record_alive(target);
        table.record_end(at_ms(ms + 10), &target.into());
    }
    assert_eq!(permission(&table, 2_100, &[CRASHING]), Permission::Free);
}

#[test]
fn record_loss_after_the_end_counts_as_well() {
    let mut table = PartQuarantine::default();
    let target = Name::from("i-1");
    table.record_end(at_ms(0), &target);
    let prompt = LostPrompt {
        parts: names(&[CRASHING]),
        scope: Name::default(),
    };
    let notices = table.record_loss(at_ms(500), &target, prompt);
    assert_eq!(
        notices,
        [PartNotice::Victim {
            parts: names(&[CRASHING]),
            scope: Name::default(),
            target,
            age_ms: 500
        }]
    );
}

/// A part that always came with the crashing one is tried without it, by one prompt at a time.
#[test]
fn permission_tries_a_part_whose_victims_another_one_accounts_for() {
    let mut table = PartQuarantine::default();
    for (ms, target) in [(0, "i-1"), (1_000, "i-2"), (2_000, "i-3")] {
        end(&mut table, ms, target, &["session-1", CRASHING]);
    }
    let session = names(&["session-1"]);
    assert_eq!(permission(&table, 2_100, &["session-1"]), Permission::Trial);
    table.begin_trial(at_ms(2_100), &session);
    assert!(is_held(&table, 2_150, &["session-1"]));
    table.record_answer(&session);
    assert_eq!(permission(&table, 2_200, &["session-1"]), Permission::Free);
    assert!(is_held(&table, 2_200, &["session-2", CRASHING]));
}

#[test]
fn permission_tries_a_part_again_at_one_entry_after_the_other() {
    let mut table = quarantined();
    let parts = names(&[CRASHING]);
    let permission_of = |table: &PartQuarantine, ms, turns| {
        table.permission(at_ms(ms), "", &parts, |_| Duration::from_secs(5) * turns)
    };
    let over = 3_000 + 30_000;
    assert!(matches!(
        permission_of(&table, over - 1, 0),
        Permission::Held(_)
    ));
    assert_eq!(permission_of(&table, over, 0), Permission::Trial);
    assert!(matches!(
        permission_of(&table, over + 4_999, 1),
        Permission::Held(_)
    ));
    assert_eq!(permission_of(&table, over + 5_000, 1), Permission::Trial);
    table.begin_trial(at_ms(over), &parts);
    end(&mut table, over + 200, "i-7", &[CRASHING]);
    let over = over + 200 + 60_000;
    assert!(matches!(
        permission_of(&table, over - 1, 0),
        Permission::Held(_)
    ));
    assert_eq!(permission_of(&table, over, 0), Permission::Trial);
}

#[test]
fn permission_of_an_isolated_customer_needs_a_victim_of_its_own() {
    let mut table = quarantined();
    let parts = names(&[CRASHING]);
    let isolated =
        |table: &PartQuarantine| table.permission(at_ms(4_000), "bozi", &parts, |_| Duration::ZERO);
    assert_eq!(isolated(&table), Permission::Free);
    end_scoped(&mut table, 3_900, "i-4", &[CRASHING], "bozi");
    assert!(matches!(isolated(&table), Permission::Held(_)));
}

#[test]
fn apply_counts_an_end_that_several_entries_noticed_once() {
    let mut table = PartQuarantine::default();
    for (ms, target) in [(0, "i-1"), (1_000, "i-2")] {
        for notice in end(&mut table, ms, target, &[CRASHING]) {
            table.apply(at_ms(ms + 400), "front-2", notice);
        }
    }
    assert_eq!(permission(&table, 1_500, &[CRASHING]), Permission::Free);
}

#[test]
fn apply_answers_for_a_part_that_was_sound_here() {
    let (mut here, mut there) = (PartQuarantine::default(), PartQuarantine::default());
    here.record_answer(&names(&["session-1"]));
    let mut answers = Vec::new();
    for (ms, target) in [(0, "i-1"), (1_000, "i-2"), (2_000, "i-3")] {
        for notice in end(&mut there, ms, target, &["session-1"]) {
            let answer = here.apply(at_ms(ms), "there", notice);
            if let Some(answer) = answer {
                there.apply(at_ms(ms), "here", answer.clone());
                answers.push(answer);
            }
        }
    }
    assert_eq!(answers.len(), 1);
    assert_eq!(permission(&there, 2_100, &["session-1"]), Permission::Free);
}

#[test]
fn notices_tell_an_entry_that_starts() {
    let table = quarantined();
    let mut started = PartQuarantine::default();
    for notice in table.notices(at_ms(9_000)) {
        started.apply(at_ms(9_000), "front-1", notice);
    }
    assert!(is_held(&started, 9_100, &[CRASHING]));
    assert_eq!(
        permission(&started, 9_100, &["session-1"]),
        Permission::Free
    );
}

#[test]
fn recent_parts_are_bounded() {
    let mut parts = RecentParts::default();
    for n in 0..50_000 {
        parts.insert(&format!("part-{n}").into());
    }
    assert!(parts.contains("part-49999") && parts.contains("part-42000"));
    assert!(!parts.contains("part-1"));
    assert!(parts.len() <= 2 * 8_192, "{}", parts.len());
}
