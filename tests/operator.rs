//! Runs the operators' commands against an in-memory platform.

#[path = "operator/fixture.rs"]
mod fixture;
#[path = "support/all.rs"]
mod support;

use std::sync::Arc;
use std::time::Duration;

use async_io::block_on;
use fixture::{Fixture, PLAIN, TOKEN_HASH, list_entry, policy_note, serve_body};
use guavahold::catalog::{CatalogHead, EntryRevision, ReleaseNote};
use guavahold::operator::{
    Applier, EntryAdminClient, Exit, NoteMetadata, Report, age_text, check, history, key, revert,
    status, utc_text,
};
use guavahold::platform::Platform;
use guavahold::prelude::Name;
use guavahold::settings::Document;
use support::Fault;

const WEIGHT_SWAP_NOTE: &str = r#"{
  "revision": 1, "by": "quebec", "why": "new weights",
  "changed": {
    "models": {"router": {"weights": "w2", "policy": "chat"}},
    "policies": {"chat": {"class": "interactive", "loads_at_once": 2, "first_token_ms": 900}},
  },
  "withdrawn": {"customers": ["salon-a"]},
}"#;

#[test]
fn check_reports_all_findings_of_all_files() {
    let texts = [
        ("good.jsonc", policy_note(0)),
        (
            "bad.jsonc",
            r#"{
  "revision": "one",
  "added": {
    "policies": {"quick": {"class": "urgent", "first_token_ms": 0}},
    "customers": {"salon a": {}, "salon-b": {"share": 1, "tokens": ["abc"]}},
    "models": {"router": {"weights": "w1"}},
    "colour": "blue",
  },
}"#
            .to_owned(),
        ),
        (
            "twice.jsonc",
            r#"{
  "revision": 5,
  "added": {"trust": {"engine-1": {}}},
  "changed": {"trust": {"engine-1": {}}},
  "withdrawn": {"customers": ["salon-a", "salon-a"]},
}"#
            .to_owned(),
        ),
        ("syntax.jsonc", "{\n  \"revision\" 1\n}".to_owned()),
        (
            "second.jsonc",
            r#"{
  "revision": 1,
  "added": {"policies": {"p0": {"class": "patient"}}},
  "changed": {"models": {"router": {"weights": "w1", "policy": "nowhere"}}},
  "withdrawn": {"customers": ["salon-z"]},
}"#
            .to_owned(),
        ),
    ];
    let docs: Vec<_> = texts
        .into_iter()
        .map(|(file, text)| (Name::from(file), Document::new(file, text)))
        .collect();
    let report = check(&docs);
    assert_eq!(report.exit(), Exit::Findings);
    insta::assert_snapshot!(report.text(PLAIN));
}

#[test]
fn plan_shows_effect_on_running_requests() {
    let fixture = Fixture::with_first_note();
    let report = fixture.plan(WEIGHT_SWAP_NOTE).unwrap();
    insta::assert_snapshot!(report.text(PLAIN));
    insta::assert_snapshot!("plan_json", format!("{:#}", report.json()));
}

#[test]
fn plan_reports_contradictions_with_positions() {
    let fixture = Fixture::with_first_note();
    let report = fixture.plan(&format!(
        r#"{{
  "revision": 3,
  "added": {{
    "customers": {{
      "salon-a": {{"tokens": ["{TOKEN_HASH}"]}},
      "salon-b": {{"tokens": ["{TOKEN_HASH}"]}},
    }},
    "models": {{"advisor": {{"weights": "w1", "policy": "quick"}}}},
  }},
  "changed": {{"trust": {{"engine-9": {{}}}}}},
  "withdrawn": {{"policies": ["chat"], "services": ["booking"]}},
}}"#
    ));
    let report = report.unwrap_err();
    assert_eq!(report.exit(), Exit::Findings);
    insta::assert_snapshot!(report.text(PLAIN));
}

#[test]
fn apply_lost_race_shows_the_other_note() {
    let mut fixture = Fixture::with_first_note();
    assert_eq!(fixture.apply(WEIGHT_SWAP_NOTE).exit(), Exit::Ok);
    let other = fixture.add_policy(1);
    assert_eq!(other.exit(), Exit::LostRace);
    insta::assert_snapshot!("lost_race_merged", other.text(PLAIN));
    let same = fixture.apply(
        r#"{"revision": 1, "by": "tartu",
            "changed": {"models": {"router": {"weights": "w3", "policy": "chat"}}},
            "withdrawn": {"customers": ["salon-a"]}}"#,
    );
    assert_eq!(same.exit(), Exit::LostRace);
    insta::assert_snapshot!("lost_race_conflicts", same.text(PLAIN));
    let head = block_on(fixture.store().read_head()).unwrap().unwrap().0;
    assert_eq!(head.revision, 2);
}

#[test]
fn apply_concurrent_notes_one_loses_race() {
    let fixture = Fixture::with_first_note();
    let platform: Arc<dyn Platform> = Arc::new(fixture.platform.clone());
    let appliers = [0, 1].map(|_| Applier::new(platform.clone(), Duration::from_millis(500)));
    let reports = block_on(async {
        let run = async |n: usize| {
            let metadata = NoteMetadata {
                id: format!("racer-{n}").into(),
                at_ms: 0,
            };
            let doc = Document::new("note.jsonc", policy_note(1));
            appliers[n]
                .apply("note.jsonc", &doc, &metadata)
                .await
                .unwrap()
        };
        // The delay lets both appliers read the head before one of them writes it.
        fixture
            .platform
            .set_fault(Some(Fault::Slow(Duration::from_millis(20))));
        futures_lite::future::zip(run(0), run(1)).await
    });
    let mut exits = [reports.0.exit() as u8, reports.1.exit() as u8];
    exits.sort_unstable();
    assert_eq!(exits, [Exit::Ok as u8, Exit::LostRace as u8]);
}

#[test]
fn apply_resolves_lost_write_response() {
    for fault in [
        Fault::ResponseLost,
        Fault::RequestLost,
        Fault::EffectDelayed,
    ] {
        let mut fixture = Fixture::with_first_note();
        fixture.platform.fail_writes([Some(fault)]);
        let report = fixture.add_policy(1);
        assert_eq!(report.exit(), Exit::Ok, "{fault:?}: {}", report.text(PLAIN));
        fixture.platform.apply_delayed_writes();
        let head = block_on(fixture.store().read_head()).unwrap().unwrap().0;
        assert_eq!((head.revision, head.tail.len()), (2, 2), "{fault:?}");
    }
}

#[test]
fn apply_unresolved_write_is_reported_unknown() {
    let mut fixture = Fixture::with_first_note();
    fixture.platform.fail_writes([Some(Fault::ResponseLost)]);
    fixture
        .platform
        .fail_writes((0..100).map(|_| Some(Fault::RequestLost)));
    let report = fixture.add_policy(1);
    assert_eq!(report.exit(), Exit::Unknown);
    insta::assert_snapshot!(report.text(PLAIN));
}

#[test]
fn apply_unreachable_platform_writes_nothing() {
    let fixture = Fixture::with_first_note();
    let stored = || {
        let objects = fixture.platform.objects(CatalogHead::KIND);
        format!("{objects:?}")
    };
    let before = stored();
    fixture
        .platform
        .fail_writes((0..100).map(|_| Some(Fault::Down)));
    let doc = Document::new("note.jsonc", policy_note(1));
    let metadata = NoteMetadata {
        id: "late".into(),
        at_ms: 0,
    };
    let err = block_on(fixture.applier.apply("note.jsonc", &doc, &metadata)).unwrap_err();
    assert_eq!(err.exit(), Exit::Unreachable);
    fixture.platform.set_fault(Some(Fault::Down));
    let down = block_on(fixture.applier.apply("note.jsonc", &doc, &metadata)).unwrap_err();
    assert_eq!(down.exit(), Exit::Unreachable);
    fixture.platform.set_fault(None);
    assert_eq!(stored(), before);
}

#[test]
fn apply_writes_and_deletes_snapshots() {
    let mut fixture = Fixture::with_first_note();
    let mut before = 1;
    for against in 1..60 {
        let report = fixture.add_policy(against);
        assert_eq!(report.exit(), Exit::Ok, "{}", report.text(PLAIN));
        let head = block_on(fixture.store().read_head()).unwrap().unwrap().0;
        assert!(
            head.revision - head.snapshot.revision <= CatalogHead::MAX_NOTES_SINCE_SNAPSHOT as u64
        );
        assert!(
            head.tail[0].against <= before,
            "a watcher that is one note behind would need a snapshot"
        );
        let catalog = block_on(fixture.store().read_catalog(&head)).unwrap();
        assert_eq!(catalog.revision, head.revision);
        before = head.revision;
    }
    let objects = fixture.platform.objects(CatalogHead::KIND);
    // Every 17th note comes with a snapshot; only the newest two are kept.
    let names: Vec<_> = objects.iter().map(|o| &*o.name).collect();
    assert_eq!(names, ["head", "snapshot-note-34-0", "snapshot-note-51-0"]);
    let report = block_on(history(&fixture.store(), 100)).unwrap();
    assert_eq!((report.notes.len(), report.missing.len()), (60, 0));
}

#[test]
fn apply_stores_missing_note_record_later() {
    let mut fixture = Fixture::with_first_note();
    // The write of the head succeeds, and that of the note's record fails.
    fixture.platform.fail_writes([None, Some(Fault::Down)]);
    assert_eq!(fixture.add_policy(1).exit(), Exit::Ok);
    for against in 2..40 {
        assert_eq!(fixture.add_policy(against).exit(), Exit::Ok);
    }
    let report = block_on(history(&fixture.store(), 100)).unwrap();
    assert_eq!((report.notes.len(), report.missing.len()), (40, 0));
    let undo = block_on(revert(&fixture.store(), 2, "tartu".into())).unwrap();
    assert_eq!(undo.exit(), Exit::Ok);
}

#[test]
fn apply_splits_large_snapshot_into_parts() {
    let mut fixture = Fixture::new();
    let customers: Vec<_> = (0..4000)
        .map(|n| format!(r#""salon-{n}": {{"tokens": ["{n:064x}"]}}"#))
        .collect();
    let text = format!(
        r#"{{"revision": 0, "added": {{"customers": {{{}}}}}}}"#,
        customers.join(",")
    );
    assert_eq!(fixture.apply(&text).exit(), Exit::Ok);
    for against in 1..=16 {
        assert_eq!(fixture.add_policy(against).exit(), Exit::Ok);
    }
    let head = block_on(fixture.store().read_head()).unwrap().unwrap().0;
    assert!(head.snapshot.parts > 0);
    for object in fixture.platform.objects(CatalogHead::KIND) {
        assert!(object.spec.to_string().len() < 1_000_000, "{}", object.name);
    }
    let catalog = block_on(fixture.store().read_catalog(&head)).unwrap();
    assert_eq!(catalog.declarations.customers.len(), 4000);
}

#[test]
fn revert_undoes_one_note() {
    let mut fixture = Fixture::with_first_note();
    assert_eq!(fixture.apply(WEIGHT_SWAP_NOTE).exit(), Exit::Ok);
    assert_eq!(fixture.add_policy(2).exit(), Exit::Ok);
    let report = block_on(revert(&fixture.store(), 2, "tartu".into())).unwrap();
    insta::assert_snapshot!(report.text(PLAIN));
    let before = fixture.first_declarations();
    let undone = fixture.apply(&report.text(PLAIN));
    assert_eq!(undone.exit(), Exit::Ok, "{}", undone.text(PLAIN));
    let head = block_on(fixture.store().read_head()).unwrap().unwrap().0;
    let catalog = block_on(fixture.store().read_catalog(&head)).unwrap();
    assert_eq!(catalog.revision, 4);
    let mut declarations = catalog.declarations.clone();
    declarations.policies.remove("p2");
    assert_eq!(declarations, before);
    let again = block_on(revert(&fixture.store(), 2, "tartu".into())).unwrap();
    assert_eq!(again.exit(), Exit::Findings);
    insta::assert_snapshot!("revert_of_what_changed_again", again.text(PLAIN));
}

#[test]
fn history_lists_notes() {
    let mut fixture = Fixture::with_first_note();
    assert_eq!(fixture.apply(WEIGHT_SWAP_NOTE).exit(), Exit::Ok);
    let report = block_on(history(&fixture.store(), 20)).unwrap();
    insta::assert_snapshot!(report.text(PLAIN));
}

#[test]
fn status_lists_entries_by_domain() {
    let fixture = Fixture::with_first_note();
    for name in ["a1", "a2", "b1"] {
        list_entry(&fixture, name);
    }
    let rows =
        [("b1", 1, 900), ("a1", 0, 130_000), ("c1", 3, 5)].map(|(entry, revision, since_ms)| {
            EntryRevision {
                entry: entry.into(),
                domain: entry[..1].into(),
                revision,
                since_ms,
            }
        });
    let admin = serve_body(serde_json::to_string(&rows).unwrap());
    let platform: Arc<dyn Platform> = Arc::new(fixture.platform.clone());
    let report = block_on(status(&platform, &EntryAdminClient::new(vec![admin]))).unwrap();
    insta::assert_snapshot!(report.text(PLAIN));
    let timeout = Duration::ZERO;
    let waited = block_on(fixture.applier.wait_until_in_force(
        1,
        &EntryAdminClient::new(vec![admin]),
        timeout,
    ));
    assert!(!waited.1);
    fixture.platform.set_fault(Some(Fault::Down));
    let down = block_on(status(&platform, &EntryAdminClient::new(vec![admin]))).unwrap();
    assert_eq!(down.exit(), Exit::Unreachable);
    insta::assert_snapshot!("status_without_platform", down.text(PLAIN));
    fixture.platform.set_fault(None);
    let without_entry = block_on(status(&platform, &EntryAdminClient::new(Vec::new()))).unwrap();
    insta::assert_snapshot!("status_without_entry", without_entry.text(PLAIN));
}

#[test]
fn key_token_is_random_with_matching_hash() {
    let (one, two) = (key("salon-a"), key("salon-a"));
    assert_ne!(one.token, two.token);
    assert_eq!(one.token.len(), "gvh_".len() + 64);
    assert!(one.text(PLAIN).contains(&one.hash.to_string()));
    assert_eq!(one.hash, guavahold::catalog::TokenHash::of(&one.token));
}

#[test]
fn time_text_formats_dates_and_ages() {
    assert_eq!(utc_text(0), "1970-01-01 00:00:00Z");
    assert_eq!(utc_text(1_709_210_096_000), "2024-02-29 12:34:56Z");
    assert_eq!(utc_text(4_102_444_799_000), "2099-12-31 23:59:59Z");
    let ages = [999, 1_000, 119_999, 120_000, 7_200_000, 172_800_000].map(age_text);
    assert_eq!(ages, ["999 ms", "1 s", "119 s", "2 min", "2 h", "2 d"]);
}

#[test]
fn release_notes_page_example_is_valid() {
    let page = include_str!("../docs/RELEASE-NOTES.md");
    let start = page.split_once("```jsonc\n").unwrap().1;
    let example = start.split_once("```").unwrap().0;
    let note = ReleaseNote::read(&Document::new("RELEASE-NOTES.md", example)).unwrap();
    assert_eq!(note.revision(), 13);
    let again = ReleaseNote::read(&Document::new("note.jsonc", note.to_document())).unwrap();
    assert_eq!(again, note);
}
