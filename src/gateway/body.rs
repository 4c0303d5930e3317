//! Incremental decoding of message bodies.

use crate::http::{ChunkScanner, Framing, MessageError};

#[derive(Debug)]
enum Remaining {
    Length(u64),
    Chunked(Box<ChunkScanner>),
    UntilClose,
}

/// Finds the end of a message body and removes its transfer coding.
#[derive(Debug)]
pub struct BodyReader {
    remaining: Remaining,
    done: bool,
}

impl BodyReader {
    /// Creates a reader; without length or transfer coding, the body ends with the connection. A
    /// `bodiless` message has no body whatever its headers state.
    #[must_use]
    pub fn new(framing: Framing, bodiless: bool) -> Self {
        let remaining = match framing {
            Framing::Length(len) => Remaining::Length(len),
            Framing::Chunked => Remaining::Chunked(Box::default()),
            Framing::Unspecified => Remaining::UntilClose,
        };
        let done = bodiless || matches!(remaining, Remaining::Length(0));
        Self { remaining, done }
    }

    /// Whether the whole body was read.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Whether the body ends with the connection.
    #[must_use]
    pub fn is_until_close(&self) -> bool {
        matches!(self.remaining, Remaining::UntilClose) && !self.done
    }

    /// Moves decoded bytes of the body from the front of `raw` to `out`; bytes after the body stay.
    ///
    /// # Errors
    /// [`MessageError::BadChunk`] when the chunked coding is malformed.
    pub fn feed(&mut self, raw: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<(), MessageError> {
        if self.done {
            return Ok(());
        }
        match &mut self.remaining {
            Remaining::Length(left) => {
                let take = usize::try_from(*left).map_or(raw.len(), |l| l.min(raw.len()));
                out.extend_from_slice(&raw[..take]);
                raw.drain(..take);
                *left -= take as u64;
                self.done = *left == 0;
            }
            Remaining::Chunked(scanner) => {
                let n = scanner.feed(raw, Some(out))?;
                raw.drain(..n);
                self.done = scanner.is_done();
            }
            Remaining::UntilClose => out.append(raw),
        }
        Ok(())
    }

    /// Records that the peer closed the connection.
    ///
    /// # Errors
    /// [`MessageError::CutShort`] when the body is incomplete.
    pub fn end(&mut self) -> Result<(), MessageError> {
        if !self.done && !self.is_until_close() {
            return Err(MessageError::CutShort);
        }
        self.done = true;
        Ok(())
    }
}
