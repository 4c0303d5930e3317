//! Bodies of answers, delimited as they arrive.

use crate::http::{ChunkScanner, Framing, MessageError};

#[derive(Debug)]
enum Rest {
    Length(u64),
    Chunked(Box<ChunkScanner>),
    ToEnd,
}

/// Delimits the body of one message and strips its transfer coding.
#[derive(Debug)]
pub struct BodyReader {
    rest: Rest,
    done: bool,
}

impl BodyReader {
    /// Makes a reader; a message without length or coding ends with its connection.
    #[must_use]
    pub fn new(framing: Framing, bodiless: bool) -> Self {
        let rest = match framing {
            Framing::Length(len) => Rest::Length(len),
            Framing::Chunked => Rest::Chunked(Box::default()),
            Framing::Unspecified => Rest::ToEnd,
        };
        let done = bodiless || matches!(rest, Rest::Length(0));
        Self { rest, done }
    }

    /// Whether the whole body has passed.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Whether the body ends with its connection.
    #[must_use]
    pub fn is_to_end(&self) -> bool {
        matches!(self.rest, Rest::ToEnd) && !self.done
    }

    /// Moves the body's bytes from the front of `raw` to `out`; bytes behind the body stay.
    ///
    /// # Errors
    /// [`MessageError::BadChunk`] when the chunked coding is malformed.
    pub fn feed(&mut self, raw: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<(), MessageError> {
        if self.done {
            return Ok(());
        }
        match &mut self.rest {
            Rest::Length(left) => {
                let take = usize::try_from(*left).map_or(raw.len(), |l| l.min(raw.len()));
                out.extend(raw.drain(..take));
                *left -= take as u64;
                self.done = *left == 0;
            }
            Rest::Chunked(scanner) => {
                let n = scanner.feed(raw, Some(out))?;
                raw.drain(..n);
                self.done = scanner.is_done();
            }
            Rest::ToEnd => out.append(raw),
        }
        Ok(())
    }

    /// Takes note of the connection's orderly end.
    ///
    /// # Errors
    /// [`MessageError::CutShort`] when the body's own end has not passed.
    pub fn end(&mut self) -> Result<(), MessageError> {
        if !self.done && !self.is_to_end() {
            return Err(MessageError::CutShort);
        }
        self.done = true;
        Ok(())
    }
}
