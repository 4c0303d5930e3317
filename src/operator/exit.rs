//! Exit statuses of `guavahold`.

/// Outcome of a command; the discriminant is the exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Success.
    Ok = 0,
    /// Failed for another reason, such as a file that cannot be read.
    Failure = 1,
    /// The note or the command line has findings; nothing was written.
    Findings = 2,
    /// Another note was accepted first; nothing was written.
    LostRace = 3,
    /// Accepted, but not every entry reported it in force in time.
    NotInForce = 4,
    /// The platform could not be reached; nothing was written.
    Unreachable = 5,
    /// The platform's responses were lost; the note may or may not be accepted.
    Unknown = 6,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
