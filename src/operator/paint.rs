//! Coloured terminal output.

use std::io::IsTerminal;

/// Styles text with ECMA-48 escape sequences (select graphic rendition) if true, or leaves it plain
/// if false.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Paint(pub bool);

impl Paint {
    /// Styles text if standard output is a terminal and `NO_COLOR` is unset or empty.
    #[must_use]
    pub fn detect() -> Self {
        let no_color = std::env::var_os("NO_COLOR").is_some_and(|v| !v.is_empty());
        Self(!no_color && std::io::stdout().is_terminal())
    }

    /// Styles a success in green.
    #[must_use]
    pub fn good(self, text: &str) -> String {
        self.wrap("32", text)
    }

    /// Styles a problem in red.
    #[must_use]
    pub fn bad(self, text: &str) -> String {
        self.wrap("31", text)
    }

    /// Styles a heading in bold.
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
