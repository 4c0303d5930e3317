//! Encoding of peer messages as CBOR (RFC 8949).

use std::fmt;

use crate::peer::PeerMessage;

/// Error of a frame that does not hold exactly one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CodecError(String);

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot decode frame: {}", self.0)
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
/// When the frame is truncated, malformed, no message, or longer than its message.
pub fn decode(frame: &[u8]) -> Result<PeerMessage, CodecError> {
    let mut rest = frame;
    let message = ciborium::from_reader(&mut rest).map_err(|err| CodecError(err.to_string()))?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(CodecError(format!("{} trailing bytes", rest.len())))
    }
}
