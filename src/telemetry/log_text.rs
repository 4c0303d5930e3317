//! Texts from outside in log lines.

use std::fmt::{self, Display, Write};

use crate::telemetry::logger::quoted;

/// Longest message of a log line, in bytes, without the mark of its truncation.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024;
/// Stands at the end of a message that was truncated.
const TRUNCATION_MARK: &str = "...";

/// Displays a text as the value of a field: quoted and escaped unless it is plain or empty, so that
/// it cannot be taken for further fields.
#[derive(Clone, Copy, Debug)]
pub struct LogValue<'a>(pub &'a str);

impl Display for LogValue<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return Ok(());
        }
        f.write_str(&quoted(self.0))
    }
}

/// Displays a message as one line of bounded length: line ends and other control characters are
/// escaped, and what exceeds [`MAX_MESSAGE_BYTES`] is left out.
#[derive(Clone, Copy, Debug)]
pub struct LogMessage<T>(pub T);

impl<T: Display> Display for LogMessage<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut writer = MessageWriter {
            out: f,
            bytes_left: MAX_MESSAGE_BYTES,
            is_truncated: false,
        };
        write!(writer, "{}", self.0)
    }
}

struct MessageWriter<'a, 'b> {
    out: &'a mut fmt::Formatter<'b>,
    bytes_left: usize,
    is_truncated: bool,
}

impl Write for MessageWriter<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        if self.is_truncated {
            return Ok(());
        }
        if text.len() <= self.bytes_left && !text.chars().any(is_escaped) {
            self.bytes_left -= text.len();
            return self.out.write_str(text);
        }
        text.chars().try_for_each(|c| self.write_char(c))
    }

    fn write_char(&mut self, c: char) -> fmt::Result {
        if self.is_truncated {
            return Ok(());
        }
        let escaped = c.escape_default();
        let len = if is_escaped(c) {
            escaped.len()
        } else {
            c.len_utf8()
        };
        if len > self.bytes_left {
            self.is_truncated = true;
            return self.out.write_str(TRUNCATION_MARK);
        }
        self.bytes_left -= len;
        if is_escaped(c) {
            write!(self.out, "{escaped}")
        } else {
            self.out.write_char(c)
        }
    }
}

/// Whether a reader of the log may take a character for the end of a line, or for a command.
fn is_escaped(c: char) -> bool {
    c.is_control() || matches!(c, '\u{2028}' | '\u{2029}')
}
