//! Validation of entry settings: all findings are reported together, each with its position.

use guavahold::settings::{Document, ENTRY_EXAMPLE, EntrySettings};

#[test]
fn entry_example_is_valid() {
    let doc = Document::new("entry.jsonc", ENTRY_EXAMPLE);
    let cfg = EntrySettings::read(&doc).unwrap();
    assert_eq!(&*cfg.name, "entry-a1");
}

#[test]
fn entry_findings_are_reported_together() {
    let text = r#"{
  "name": "entry a1",
  "domain": "a",
  "domain": "b",
  "listen": { "callers": "localhost:8080", "peers": "127.0.0.1:1", "admin": 3 },
  "traffic_threads": 0,
  "heartbeat_ms": 500, "peer_timeout_ms": 600,
  "colour": "blue", // unknown
}"#;
    let findings = EntrySettings::read(&Document::new("entry.jsonc", text)).unwrap_err();
    insta::assert_snapshot!(findings);
}

#[test]
fn entry_syntax_error_has_a_position() {
    let findings = EntrySettings::read(&Document::new("entry.jsonc", "{\n  \"name\" 1\n}"));
    insta::assert_snapshot!(findings.unwrap_err());
}
