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
                State::Size | State::Trailer => pos += self.feed_line(&buf[pos..])?,
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

    /// Takes bytes up to the end of the current line; returns their number.
    fn feed_line(&mut self, bytes: &[u8]) -> Result<usize, MessageError> {
        let line_end = bytes.iter().position(|b| *b == b'\n');
        let part = &bytes[..line_end.unwrap_or(bytes.len())];
        let taken = part.len() + usize::from(line_end.is_some());
        if self.state == State::Trailer {
            self.trailer_bytes += taken;
        }
        let line_bytes = self.line.len() + part.len();
        if line_bytes > MAX_LINE_BYTES || self.trailer_bytes > MAX_TRAILER_BYTES {
            return Err(MessageError::BadChunk);
        }
        if line_end.is_none() {
            self.line.extend_from_slice(part);
        } else if self.line.is_empty() {
            self.state = self.state_after(part)?;
        } else {
            let mut line = std::mem::take(&mut self.line);
            line.extend_from_slice(part);
            self.state = self.state_after(&line)?;
        }
        Ok(taken)
    }

    /// State after a line, which must end with a carriage return.
    fn state_after(&self, line: &[u8]) -> Result<State, MessageError> {
        let line = line.strip_suffix(b"\r").ok_or(MessageError::BadChunk)?;
        if self.state == State::Size {
            return match chunk_size(line).ok_or(MessageError::BadChunk)? {
                0 => Ok(State::Trailer),
                size => Ok(State::Data(size)),
            };
        }
        Ok(if line.is_empty() {
            State::Done
        } else {
            State::Trailer
        })
    }
}

/// Size that a chunk-size line states; `None` when it is malformed or too large.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let extension = line.iter().position(|b| *b == b';');
    let digits = line[..extension.unwrap_or(line.len())].trim_ascii_end();
    if digits.is_empty() {
        return None;
    }
    let mut size = 0_u64;
    for digit in digits {
        let digit = char::from(*digit).to_digit(16)?;
        size = size.checked_mul(16)?.checked_add(digit.into())?;
    }
    Some(size)
}
