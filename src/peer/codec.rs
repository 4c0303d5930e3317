//! Encoding of peer messages as CBOR (RFC 8949).

use std::fmt;

use ciborium::Value;
use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};

use crate::peer::PeerMessage;
use crate::prelude::*;

/// Longest kind of a message that is kept, in bytes.
const MAX_KIND_BYTES: usize = 64;

/// Why a frame was not decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CodecError {
    /// The frame holds a message of a kind, or with a content, that this build does not know; a
    /// later build may have sent it.
    NotUnderstood {
        /// Kind of the message.
        kind: Name,
        /// What was not understood.
        detail: String,
    },
    /// The frame is truncated, malformed or longer than its message.
    Malformed(String),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotUnderstood { kind, detail } => {
                write!(f, "message of kind {kind:?} is not understood: {detail}")
            }
            Self::Malformed(detail) => write!(f, "cannot decode frame: {detail}"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Encodes a message.
///
/// # Panics
/// Never: writing to memory cannot fail, and every message has an encoding.
#[must_use]
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let mut buf = Vec::with_capacity(64);
    ciborium::into_writer(message, &mut buf).expect("writing a message to memory cannot fail");
    buf
}

/// Decodes a frame that holds exactly one message.
///
/// # Errors
/// When the message is not understood, or the frame is malformed.
pub fn decode(frame: &[u8]) -> Result<PeerMessage, CodecError> {
    let mut rest = frame;
    match ciborium::from_reader(&mut rest) {
        Ok(message) if rest.is_empty() => Ok(message),
        Ok(_) => Err(CodecError::Malformed(trailing(rest))),
        Err(err) => Err(classify_error(frame, err.to_string())),
    }
}

/// Tells a well-formed message that is not understood from a malformed frame.
fn classify_error(frame: &[u8], detail: String) -> CodecError {
    let mut rest = frame;
    let value = match ciborium::from_reader::<Value, _>(&mut rest) {
        Ok(value) => value,
        // What follows was not read, but the sender has not broken the format.
        Err(ciborium::de::Error::RecursionLimitExceeded) => {
            let detail = "nested too deep".to_owned();
            return match ciborium::from_reader::<MessageKind, _>(frame) {
                Ok(MessageKind(kind)) => CodecError::NotUnderstood { kind, detail },
                Err(_) => CodecError::Malformed(detail),
            };
        }
        Err(_) => return CodecError::Malformed(detail),
    };
    if !rest.is_empty() {
        return CodecError::Malformed(trailing(rest));
    }
    match kind_of(&value) {
        Some(kind) => CodecError::NotUnderstood { kind, detail },
        None => CodecError::Malformed(detail),
    }
}

/// Kind of a message: a text, or the only key of a map.
fn kind_of(value: &Value) -> Option<Name> {
    let kind = match value {
        Value::Map(entries) if entries.len() == 1 => entries[0].0.as_text(),
        value => value.as_text(),
    };
    kind.map(shortened)
}

/// Kind of a message that is a map, read without the content of the message.
struct MessageKind(Name);

impl<'de> Deserialize<'de> for MessageKind {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(MessageKindVisitor)
    }
}

struct MessageKindVisitor;

impl<'de> Visitor<'de> for MessageKindVisitor {
    type Value = MessageKind;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map from the kind of a message to its content")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<MessageKind, A::Error> {
        let kind = map.next_key::<String>()?;
        let kind = kind.ok_or_else(|| serde::de::Error::custom("an empty map"))?;
        Ok(MessageKind(shortened(&kind)))
    }
}

/// The start of a kind, which a link keeps to log each kind once.
fn shortened(kind: &str) -> Name {
    let end = kind.floor_char_boundary(MAX_KIND_BYTES);
    kind[..end].into()
}

fn trailing(rest: &[u8]) -> String {
    format!("{} trailing bytes", rest.len())
}
