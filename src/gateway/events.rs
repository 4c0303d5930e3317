//! Streams of events, cut into whole events.

/// Longest event that is waited for, in bytes.
const MAX_EVENT: usize = 1024 * 1024;

/// One whole event as it stood on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawEvent {
    /// The event's bytes, its empty line included.
    pub bytes: Vec<u8>,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

/// Cuts a stream into whole events (WHATWG HTML, section 9.2.6), whose bytes stay unchanged.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    scanned: usize,
}

impl EventSplitter {
    /// Buffer to which the stream's next bytes are appended.
    pub fn buf(&mut self) -> &mut Vec<u8> {
        &mut self.buf
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let end = self.find_end()?;
        let rest = self.buf.split_off(end);
        let bytes = std::mem::replace(&mut self.buf, rest);
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(RawEvent { bytes, id })
    }

    /// Whether the bytes that wait are longer than any event.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.buf.len() > MAX_EVENT
    }

    /// Whether bytes of an unfinished event wait.
    #[must_use]
    pub fn has_rest(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Finds the end of the first event: a line feed behind which an empty line follows.
    fn find_end(&mut self) -> Option<usize> {
        let mut at = self.scanned;
        while let Some(found) = self.buf[at..].iter().position(|b| *b == b'\n') {
            let line_end = at + found;
            match self.buf.get(line_end + 1..) {
                Some([b'\n', ..]) => return Some(line_end + 2),
                Some([b'\r', b'\n', ..]) => return Some(line_end + 3),
                Some([] | [b'\r']) | None => break,
                Some(_) => at = line_end + 1,
            }
        }
        self.scanned = at;
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
