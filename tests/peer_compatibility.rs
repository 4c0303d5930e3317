//! Entries of the previous build and of this one exchange messages while VMs are upgraded one after
//! the other. `data/peer_messages` holds messages as the previous build encodes them.

#[path = "peer_compatibility/previous.rs"]
mod previous;
#[path = "peer_compatibility/samples.rs"]
mod samples;

use std::collections::BTreeSet;
use std::path::PathBuf;

use ciborium::Value;
use guavahold::domain_scheduler::{CallStep, Decision, SchedulerCall, SchedulerReply};
use guavahold::peer::{CodecError, PeerMessage, RoundTrip, decode, encode};
use guavahold::residency::AllowedDomains;

fn recorded_path(name: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join(format!("tests/data/peer_messages/{name}.cbor"))
}

fn recorded(name: &str) -> Vec<u8> {
    std::fs::read(recorded_path(name)).unwrap()
}

#[test]
fn decode_understands_messages_of_previous_build() {
    for (name, message) in samples::samples() {
        assert_eq!(decode(&recorded(name)).unwrap(), message, "{name}");
    }
}

#[test]
fn recorded_messages_have_a_sample_each() {
    let files = std::fs::read_dir(recorded_path("hello").parent().unwrap()).unwrap();
    let stem = |path: PathBuf| path.file_stem().unwrap().to_string_lossy().into_owned();
    let files: BTreeSet<String> = files.map(|file| stem(file.unwrap().path())).collect();
    let names = samples::samples()
        .into_iter()
        .map(|(name, _)| name.to_owned());
    assert_eq!(files, names.collect());
}

/// Adds a field to each struct. In the samples, a map with one entry names the kind of a message or
/// step; durations are the standard library's and never grow.
fn add_unknown_fields(value: &mut Value) {
    match value {
        Value::Array(items) => items.iter_mut().for_each(add_unknown_fields),
        Value::Map(entries) => {
            for (_, field) in entries.iter_mut() {
                add_unknown_fields(field);
            }
            let is_duration = entries
                .iter()
                .any(|(key, _)| key.as_text() == Some("nanos"));
            if entries.len() > 1 && !is_duration {
                entries.push((Value::Text("future-field".into()), Value::Bool(true)));
            }
        }
        _ => {}
    }
}

fn to_bytes(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    bytes
}

/// The next build may add fields to any struct.
#[test]
fn decode_ignores_unknown_fields() {
    for (name, message) in samples::samples() {
        let mut value: Value = ciborium::from_reader(&*recorded(name)).unwrap();
        add_unknown_fields(&mut value);
        assert_eq!(decode(&to_bytes(&value)).unwrap(), message, "{name}");
    }
}

/// A message, step or decision that only a later build knows must not end the link.
#[test]
fn decode_tells_unknown_messages_from_malformed_frames() {
    let text = |text: &str| Value::Text(text.into());
    let map = |key: &str, value| Value::Map(vec![(text(key), value)]);
    let step = Value::Map(vec![
        (text("i"), Value::from(5)),
        (text("s"), map("future-step", Value::from(1))),
    ]);
    let unknown = [
        (text("future"), "future"),
        (map("future", Value::from(1)), "future"),
        (map("s", step), "s"),
    ];
    for (value, kind) in unknown {
        match decode(&to_bytes(&value)) {
            Err(CodecError::NotUnderstood { kind: found, .. }) => assert_eq!(&*found, kind),
            other => panic!("{kind}: {other:?}"),
        }
    }
    let mut trailing = to_bytes(&text("future"));
    trailing.push(0);
    let malformed = [
        vec![0xff, 1, 2],
        vec![0xa1, 0x61],
        vec![],
        vec![0x01],
        trailing,
    ];
    for frame in malformed {
        let decoded = decode(&frame);
        assert!(
            matches!(decoded, Err(CodecError::Malformed(_))),
            "{decoded:?}"
        );
    }
}

fn decode_as_previous(bytes: &[u8]) -> previous::PeerMessage {
    ciborium::from_reader(bytes).unwrap()
}

/// What this build sends, with the fields that the previous build does not know, is read there as
/// the same message without them.
#[test]
fn previous_build_understands_messages_of_this_build() {
    let mut arrival = samples::remote_arrival();
    arrival.allowed = Some(AllowedDomains::new(["a".into(), "b".into()]));
    let step = CallStep::Arrive(Box::new(arrival));
    let mut status = samples::status();
    status.undated_versions = vec![(21, 4)];
    status.retired_counts = true;
    status.round_trip = Some(RoundTrip {
        clock: 3,
        echoes: vec![(4, 5)],
    });
    let mut digest = samples::digest();
    digest.entries_age_ms = Some(700);
    digest.merged.round_trip.clone_from(&status.round_trip);
    let decision = Decision::Dispatch(Box::new(samples::grant()));
    let sent = [
        (
            "call-arrive",
            PeerMessage::SchedulerCall(SchedulerCall { id: 5, step }),
        ),
        (
            "reply-dispatch",
            PeerMessage::SchedulerReply(SchedulerReply { id: 5, decision }),
        ),
        ("gateway", PeerMessage::Gateway(Box::new(status))),
        ("digest", PeerMessage::Digest(Box::new(digest))),
    ];
    for (name, message) in sent {
        let understood = decode_as_previous(&encode(&message));
        assert_eq!(understood, decode_as_previous(&recorded(name)), "{name}");
    }
    for (name, message) in samples::samples() {
        let kinds = ["hello", "heartbeat", "objects"];
        let schedulers = ["call-", "ended-", "reply-", "refused-"];
        if kinds.contains(&name) || schedulers.iter().any(|start| name.starts_with(start)) {
            let understood = decode_as_previous(&encode(&message));
            assert_eq!(understood, decode_as_previous(&recorded(name)), "{name}");
        }
    }
}
