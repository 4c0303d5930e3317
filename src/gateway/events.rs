//! Splitting of event streams into complete events.

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A complete event as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawEvent {
    /// Bytes of the event, including the empty line that ends it.
    pub bytes: Vec<u8>,
    /// Event ID, if it is a number.
    pub id: Option<u64>,
}

/// Splits an event stream (WHATWG HTML, section 9.2.6) into complete events, whose bytes are not
/// changed.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    /// Number of bytes at the front of `buf` that were returned as events.
    taken: usize,
    /// Position in `buf` before which no further event ends.
    scanned: usize,
}

impl EventSplitter {
    /// Input buffer, to which the next bytes of the stream must be appended.
    pub fn buf(&mut self) -> &mut Vec<u8> {
        self.buf.drain(..self.taken);
        self.scanned -= self.taken;
        self.taken = 0;
        &mut self.buf
    }

    /// Removes the next complete event from the buffer; `None` when more bytes are needed.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let end = self.find_end()?;
        let bytes = self.buf[self.taken..end].to_vec();
        self.taken = end;
        self.scanned = end;
        let id = event_id(&bytes);
        Some(RawEvent { bytes, id })
    }

    /// Whether the buffered bytes exceed the maximum size of an event.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.buf.len() - self.taken > MAX_EVENT_BYTES
    }

    /// Whether bytes of an incomplete event are buffered.
    #[must_use]
    pub fn has_rest(&self) -> bool {
        self.buf.len() > self.taken
    }

    /// Finds the end of the first event: a line feed that is followed by an empty line.
    fn find_end(&mut self) -> Option<usize> {
        let mut at = self.scanned;
        while let Some(found) = self.buf[at..].iter().position(|b| *b == b'\n') {
            let line_end = at + found;
            match self.buf.get(line_end + 1..) {
                Some([b'\n', ..]) => return Some(line_end + 2),
                Some([b'\r', b'\n', ..]) => return Some(line_end + 3),
                Some([] | [b'\r']) | None => {
                    self.scanned = line_end;
                    return None;
                }
                Some(_) => at = line_end + 1,
            }
        }
        self.scanned = self.buf.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
