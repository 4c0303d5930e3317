//! Colours of a terminal.

use std::io::IsTerminal;

/// Whether text is coloured (ECMA-48 select graphic rendition).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Paint(pub bool);

impl Paint {
    /// Colours when standard output is a terminal and `NO_COLOR` is not set.
    #[must_use]
    pub fn detect() -> Self {
        let refused = std::env::var_os("NO_COLOR").is_some_and(|v| !v.is_empty());
        Self(!refused && std::io::stdout().is_terminal())
    }

    /// Text for good news.
    #[must_use]
    pub fn good(self, text: &str) -> String {
        self.wrap("32", text)
    }

    /// Text for bad news.
    #[must_use]
    pub fn bad(self, text: &str) -> String {
        self.wrap("31", text)
    }

    /// Text of a heading.
    #[must_use]
    pub fn strong(self, text: &str) -> String {
        self.wrap("1", text)
    }

    fn wrap(self, code: &str, text: &str) -> String {
        if self.0 {
            format!("\u{1b}[{code}m{text}\u{1b}[0m")
        } else {
            text.to_owned()
        }
    }
}
