//! Scanner for the chunked transfer coding.

use crate::http::MessageError;

/// Longest accepted chunk-size or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 1024;
/// Longest accepted trailer section, in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Size,
    /// Data of a chunk, with the bytes remaining.
    Data(u64),
    /// Line end after the data of a chunk, with the byte expected next.
    DataEnd(u8),
    Trailer,
    Done,
}

/// Incremental scanner that finds the end of a chunked body (RFC 9112, section 7.1).
#[derive(Debug)]
pub struct ChunkScanner {
    state: State,
    line: Vec<u8>,
    trailer_bytes: usize,
}

impl Default for ChunkScanner {
    fn default() -> Self {
        Self::new()
    }
}

impl ChunkScanner {
    /// Makes a scanner that expects the first chunk-size line.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: State::Size,
            line: Vec::new(),
            trailer_bytes: 0,
        }
    }

    /// Returns whether the last chunk and its trailers have been scanned.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Scans `buf`, appends the decoded data to `out` and returns the number of bytes consumed.
    ///
    /// Scanning stops at the end of the body, which may be before the end of `buf`.
    ///
    /// # Errors
    /// [`MessageError::BadChunk`] when the coding is malformed.
    pub fn feed(
        &mut self,
        buf: &[u8],
        mut out: Option<&mut Vec<u8>>,
    ) -> Result<usize, MessageError> {
        let mut pos = 0;
        while pos < buf.len() && self.state != State::Done {
            match self.state {
                State::Size | State::Trailer => {
                    self.push_line_byte(buf[pos])?;
                    pos += 1;
                }
                State::Data(remaining) => {
                    let available = u64::try_from(buf.len() - pos).unwrap_or(u64::MAX);
                    let take = remaining.min(available);
                    let end = pos + usize::try_from(take).unwrap_or(usize::MAX);
                    if let Some(out) = out.as_deref_mut() {
                        out.extend_from_slice(&buf[pos..end]);
                    }
                    pos = end;
                    self.state = match remaining - take {
                        0 => State::DataEnd(b'\r'),
                        rest => State::Data(rest),
                    };
                }
                State::DataEnd(expected) => {
                    if buf[pos] != expected {
                        return Err(MessageError::BadChunk);
                    }
                    pos += 1;
                    self.state = match expected {
                        b'\r' => State::DataEnd(b'\n'),
                        _ => State::Size,
                    };
                }
                State::Done => {}
            }
        }
        Ok(pos)
    }

    fn push_line_byte(&mut self, byte: u8) -> Result<(), MessageError> {
        self.trailer_bytes += usize::from(self.state == State::Trailer);
        if self.trailer_bytes > MAX_TRAILER_BYTES {
            return Err(MessageError::BadChunk);
        }
        if byte != b'\n' {
            if self.line.len() >= MAX_LINE_BYTES {
                return Err(MessageError::BadChunk);
            }
            self.line.push(byte);
            return Ok(());
        }
        if self.line.pop() != Some(b'\r') {
            return Err(MessageError::BadChunk);
        }
        let line = std::mem::take(&mut self.line);
        self.state = match self.state {
            State::Size => state_after_size(&line)?,
            _ if line.is_empty() => State::Done,
            other => other,
        };
        Ok(())
    }
}

fn state_after_size(line: &[u8]) -> Result<State, MessageError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).map_err(|_| MessageError::BadChunk)?;
    let digits = digits.trim_end();
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(MessageError::BadChunk);
    }
    match u64::from_str_radix(digits, 16) {
        Ok(0) => Ok(State::Trailer),
        Ok(size) => Ok(State::Data(size)),
        Err(_) => Err(MessageError::BadChunk),
    }
}
