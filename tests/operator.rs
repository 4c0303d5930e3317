//! The operators' commands against a platform in memory.

#[path = "support/all.rs"]
mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use async_io::block_on;
use guavahold::catalog::{CatalogHead, CatalogStore, EntryRevision, ReleaseNote};
use guavahold::operator::{
    Applier, ApplyReport, CheckReport, Entries, Exit, Paint, PlanReport, Report, Stamped, age_text,
    check, history, key, plan, revert, status, utc_text,
};
use guavahold::platform::{Object, Platform, Role, Vm, VmPhase};
use guavahold::prelude::Name;
use guavahold::settings::Document;
use support::{Fault, MemoryPlatform};

const PLAIN: Paint = Paint(false);
const HASH: &str = "6437b3ac38465133ffb63b75273a8db548c558465d79db03fd359c6cd5bd9d85";

/// A platform with one applier.
struct Desk {
    platform: MemoryPlatform,
    applier: Applier,
    applied: u64,
}

impl Desk {
    fn new() -> Self {
        let platform = MemoryPlatform::new();
        let applier = Applier::new(Arc::new(platform.clone()), Duration::from_millis(500));
        Self {
            platform,
            applier,
            applied: 0,
        }
    }

    fn store(&self) -> CatalogStore {
        CatalogStore::new(Arc::new(self.platform.clone()))
    }

    fn apply(&mut self, text: &str) -> ApplyReport {
        self.applied += 1;
        let stamped = Stamped {
            id: format!("note-{}", self.applied).into(),
            at_ms: 1_796_330_000_000 + self.applied * 60_000,
        };
        let doc = Document::new("note.jsonc", text);
        block_on(self.applier.apply("note.jsonc", &doc, &stamped)).unwrap()
    }

    fn plan(&self, text: &str) -> Result<PlanReport, CheckReport> {
        let doc = Document::new("note.jsonc", text);
        block_on(plan(&self.store(), "note.jsonc", &doc)).unwrap()
    }

    /// Puts the first declarations in force.
    fn begin() -> Self {
        let mut desk = Self::new();
        let report = desk.apply(&format!(
            r#"{{
              "revision": 0, "by": "tartu", "why": "first salons",
              "added": {{
                "customers": {{"salon-a": {{"share": 2, "tokens": ["{HASH}"]}}}},
                "models": {{"router": {{"weights": "w1", "policy": "chat"}}}},
                "policies": {{"chat": {{"class": "standard", "loads_at_once": 3}}}},
                "trust": {{"engine-1": {{"checks_fencing": true}}}}
              }}
            }}"#
        ));
        assert_eq!(report.exit(), Exit::Ok, "{}", report.text(PLAIN));
        desk
    }

    /// Applies a note that adds one policy.
    fn add_policy(&mut self, against: u64) -> ApplyReport {
        self.apply(&policy_note(against))
    }
}

fn policy_note(against: u64) -> String {
    format!(
        r#"{{"revision": {against}, "by": "tartu",
             "added": {{"policies": {{"p{against}": {{"class": "patient"}}}}}}}}"#
    )
}

const SWAP: &str = r#"{
  "revision": 1, "by": "quebec", "why": "new weights",
  "changed": {
    "models": {"router": {"weights": "w2", "policy": "chat"}},
    "policies": {"chat": {"class": "interactive", "loads_at_once": 2, "first_token_ms": 900}},
  },
  "withdrawn": {"customers": ["salon-a"]},
}"#;

#[test]
fn check_all_findings_of_all_files() {
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
fn plan_says_what_it_does_to_running_work() {
    let desk = Desk::begin();
    let report = desk.plan(SWAP).unwrap();
    insta::assert_snapshot!(report.text(PLAIN));
    insta::assert_snapshot!("plan_json", format!("{:#}", report.json()));
}

#[test]
fn plan_contradictions_have_their_place() {
    let desk = Desk::begin();
    let report = desk.plan(&format!(
        r#"{{
  "revision": 3,
  "added": {{
    "customers": {{
      "salon-a": {{"tokens": ["{HASH}"]}},
      "salon-b": {{"tokens": ["{HASH}"]}},
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
    let mut desk = Desk::begin();
    assert_eq!(desk.apply(SWAP).exit(), Exit::Ok);
    let other = desk.add_policy(1);
    assert_eq!(other.exit(), Exit::LostRace);
    insta::assert_snapshot!("lost_race_merged", other.text(PLAIN));
    let same = desk.apply(
        r#"{"revision": 1, "by": "tartu",
            "changed": {"models": {"router": {"weights": "w3", "policy": "chat"}}},
            "withdrawn": {"customers": ["salon-a"]}}"#,
    );
    assert_eq!(same.exit(), Exit::LostRace);
    insta::assert_snapshot!("lost_race_conflicts", same.text(PLAIN));
    let head = block_on(desk.store().read_head()).unwrap().unwrap().0;
    assert_eq!(head.revision, 2);
}

#[test]
fn apply_race_between_read_and_write_is_lost() {
    let desk = Desk::begin();
    let platform: Arc<dyn Platform> = Arc::new(desk.platform.clone());
    let appliers = [0, 1].map(|_| Applier::new(platform.clone(), Duration::from_millis(500)));
    let reports = block_on(async {
        let run = async |n: usize| {
            let stamped = Stamped {
                id: format!("racer-{n}").into(),
                at_ms: 0,
            };
            let doc = Document::new("note.jsonc", policy_note(1));
            appliers[n]
                .apply("note.jsonc", &doc, &stamped)
                .await
                .unwrap()
        };
        desk.platform
            .set_fault(Some(Fault::Slow(Duration::from_millis(20))));
        futures_lite::future::zip(run(0), run(1)).await
    });
    let mut exits = [reports.0.exit() as u8, reports.1.exit() as u8];
    exits.sort_unstable();
    assert_eq!(exits, [Exit::Ok as u8, Exit::LostRace as u8]);
}

#[test]
fn apply_lost_answer_is_resolved() {
    for fault in [
        Fault::ResponseLost,
        Fault::RequestLost,
        Fault::EffectDelayed,
    ] {
        let mut desk = Desk::begin();
        desk.platform.fail_writes([Some(fault)]);
        let report = desk.add_policy(1);
        assert_eq!(report.exit(), Exit::Ok, "{fault:?}: {}", report.text(PLAIN));
        desk.platform.apply_delayed_writes();
        let head = block_on(desk.store().read_head()).unwrap().unwrap().0;
        assert_eq!((head.revision, head.tail.len()), (2, 2), "{fault:?}");
    }
}

#[test]
fn apply_unknown_is_said_truthfully() {
    let mut desk = Desk::begin();
    desk.platform.fail_writes([Some(Fault::ResponseLost)]);
    desk.platform
        .fail_writes((0..100).map(|_| Some(Fault::RequestLost)));
    let report = desk.add_policy(1);
    assert_eq!(report.exit(), Exit::Unknown);
    insta::assert_snapshot!(report.text(PLAIN));
}

#[test]
fn apply_unreachable_wrote_nothing() {
    let mut desk = Desk::begin();
    desk.platform
        .fail_writes((0..100).map(|_| Some(Fault::Down)));
    let doc = Document::new("note.jsonc", policy_note(1));
    let stamped = Stamped {
        id: "late".into(),
        at_ms: 0,
    };
    let err = block_on(desk.applier.apply("note.jsonc", &doc, &stamped)).unwrap_err();
    assert_eq!(err.exit(), Exit::Unreachable);
    desk.platform.set_fault(Some(Fault::Down));
    let down = block_on(desk.applier.apply("note.jsonc", &doc, &stamped)).unwrap_err();
    assert_eq!(down.exit(), Exit::Unreachable);
    desk.platform.set_fault(None);
    desk.platform = MemoryPlatform::new();
    assert!(desk.platform.objects(CatalogHead::KIND).is_empty());
}

#[test]
fn apply_snapshots_are_written_and_collected() {
    let mut desk = Desk::begin();
    let mut before = 1;
    for against in 1..60 {
        let report = desk.add_policy(against);
        assert_eq!(report.exit(), Exit::Ok, "{}", report.text(PLAIN));
        let head = block_on(desk.store().read_head()).unwrap().unwrap().0;
        assert!(
            head.revision - head.snapshot.revision <= CatalogHead::MAX_NOTES_SINCE_SNAPSHOT as u64
        );
        assert!(
            head.tail[0].against <= before,
            "a watcher one note behind needs a snapshot"
        );
        let catalog = block_on(desk.store().read_catalog(&head)).unwrap();
        assert_eq!(catalog.revision, head.revision);
        before = head.revision;
    }
    let objects = desk.platform.objects(CatalogHead::KIND);
    let names: Vec<_> = objects.iter().map(|o| &*o.name).collect();
    assert_eq!(names, ["head", "snapshot-note-34-0", "snapshot-note-51-0"]);
    let report = block_on(history(&desk.store(), 100)).unwrap();
    assert_eq!((report.notes.len(), report.missing.len()), (60, 0));
}

#[test]
fn apply_note_not_kept_is_made_up_for() {
    let mut desk = Desk::begin();
    desk.platform.fail_writes([None, Some(Fault::Down)]);
    assert_eq!(desk.add_policy(1).exit(), Exit::Ok);
    for against in 2..40 {
        assert_eq!(desk.add_policy(against).exit(), Exit::Ok);
    }
    let report = block_on(history(&desk.store(), 100)).unwrap();
    assert_eq!((report.notes.len(), report.missing.len()), (40, 0));
    let undo = block_on(revert(&desk.store(), 2, "tartu".into())).unwrap();
    assert_eq!(undo.exit(), Exit::Ok);
}

#[test]
fn apply_large_catalog_is_cut_into_parts() {
    let mut desk = Desk::new();
    let customers: Vec<_> = (0..4000)
        .map(|n| format!(r#""salon-{n}": {{"tokens": ["{n:064x}"]}}"#))
        .collect();
    let text = format!(
        r#"{{"revision": 0, "added": {{"customers": {{{}}}}}}}"#,
        customers.join(",")
    );
    assert_eq!(desk.apply(&text).exit(), Exit::Ok);
    for against in 1..=16 {
        assert_eq!(desk.add_policy(against).exit(), Exit::Ok);
    }
    let head = block_on(desk.store().read_head()).unwrap().unwrap().0;
    assert!(head.snapshot.parts > 0);
    for object in desk.platform.objects(CatalogHead::KIND) {
        assert!(object.spec.to_string().len() < 1_000_000, "{}", object.name);
    }
    let catalog = block_on(desk.store().read_catalog(&head)).unwrap();
    assert_eq!(catalog.declarations.customers.len(), 4000);
}

#[test]
fn revert_undoes_one_note() {
    let mut desk = Desk::begin();
    assert_eq!(desk.apply(SWAP).exit(), Exit::Ok);
    assert_eq!(desk.add_policy(2).exit(), Exit::Ok);
    let report = block_on(revert(&desk.store(), 2, "tartu".into())).unwrap();
    insta::assert_snapshot!(report.text(PLAIN));
    let before = desk.catalog_at_one();
    let undone = desk.apply(&report.text(PLAIN));
    assert_eq!(undone.exit(), Exit::Ok, "{}", undone.text(PLAIN));
    let head = block_on(desk.store().read_head()).unwrap().unwrap().0;
    let catalog = block_on(desk.store().read_catalog(&head)).unwrap();
    assert_eq!(catalog.revision, 4);
    let mut section = catalog.declarations.clone();
    section.policies.remove("p2");
    assert_eq!(section, before);
    let again = block_on(revert(&desk.store(), 2, "tartu".into())).unwrap();
    assert_eq!(again.exit(), Exit::Findings);
    insta::assert_snapshot!("revert_of_what_changed_again", again.text(PLAIN));
}

impl Desk {
    fn catalog_at_one(&self) -> guavahold::catalog::Declarations {
        let head = block_on(self.store().read_head()).unwrap().unwrap().0;
        let first: &ReleaseNote = &head.tail[0];
        first.added.clone()
    }
}

#[test]
fn history_lists_notes() {
    let mut desk = Desk::begin();
    assert_eq!(desk.apply(SWAP).exit(), Exit::Ok);
    let report = block_on(history(&desk.store(), 20)).unwrap();
    insta::assert_snapshot!(report.text(PLAIN));
}

fn list_entry(desk: &Desk, name: &str) {
    let vm = Vm {
        name: name.into(),
        role: Role::Entry,
        domain: name[..1].into(),
        address: ([127, 0, 0, 1], 9).into(),
        serves: "".into(),
        phase: VmPhase::Live,
        cpu_millis: 0,
    };
    let object = Object::new(Vm::KIND, name, serde_json::to_value(vm).unwrap());
    block_on(desk.platform.create(object)).unwrap();
}

/// Answers every connection with `body`.
fn serve(body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4096]);
            let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length";
            let _ = write!(stream, "{head}: {}\r\n\r\n{body}", body.len());
        }
    });
    addr
}

#[test]
fn status_lists_entries_by_domain() {
    let desk = Desk::begin();
    for name in ["a1", "a2", "b1"] {
        list_entry(&desk, name);
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
    let admin = serve(serde_json::to_string(&rows).unwrap());
    let platform: Arc<dyn Platform> = Arc::new(desk.platform.clone());
    let report = block_on(status(&platform, &Entries::new(vec![admin]))).unwrap();
    insta::assert_snapshot!(report.text(PLAIN));
    let limit = Duration::ZERO;
    let waited = block_on(desk.applier.wait(1, &Entries::new(vec![admin]), limit));
    assert!(!waited.1);
    desk.platform.set_fault(Some(Fault::Down));
    let down = block_on(status(&platform, &Entries::new(vec![admin]))).unwrap();
    assert_eq!(down.exit(), Exit::Unreachable);
    insta::assert_snapshot!("status_without_platform", down.text(PLAIN));
    desk.platform.set_fault(None);
    let unasked = block_on(status(&platform, &Entries::new(Vec::new()))).unwrap();
    insta::assert_snapshot!("status_without_entry", unasked.text(PLAIN));
}

#[test]
fn key_is_random_and_hashed() {
    let (one, two) = (key("salon-a"), key("salon-a"));
    assert_ne!(one.token, two.token);
    assert_eq!(one.token.len(), "gvh_".len() + 64);
    assert!(one.text(PLAIN).contains(&one.hash.to_string()));
    assert_eq!(one.hash, guavahold::catalog::TokenHash::of(&one.token));
}

#[test]
fn time_is_read_by_people() {
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
