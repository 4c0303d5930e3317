//! Errors of message framing and of exchanges with targets.

use std::{fmt, io};

use http_types::StatusCode;

/// Why a message head or body was rejected before dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The head does not parse.
    Malformed,
    /// The head is longer than the limit.
    HeadTooLarge,
    /// The `host` header is missing or doubled.
    NoHost,
    /// Lengths are doubled, contradictory or not numbers.
    BadLength,
    /// The transfer coding is one we do not read.
    BadCoding,
    /// The chunked coding is malformed.
    BadChunk,
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The connection ended inside the message.
    CutShort,
    /// The message did not arrive in time.
    TooSlow,
}

impl HeadError {
    /// Status code that answers this error.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::HeadTooLarge => StatusCode::RequestHeaderFieldsTooLarge,
            Self::BodyTooLarge => StatusCode::PayloadTooLarge,
            Self::TooSlow => StatusCode::RequestTimeout,
            Self::BadCoding => StatusCode::NotImplemented,
            _ => StatusCode::BadRequest,
        }
    }
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "malformed message head",
            Self::HeadTooLarge => "message head too large",
            Self::NoHost => "exactly one host header is required",
            Self::BadLength => "contradictory or malformed body length",
            Self::BadCoding => "unsupported transfer coding",
            Self::BadChunk => "malformed chunked body",
            Self::BodyTooLarge => "message body too large",
            Self::CutShort => "connection ended inside the message",
            Self::TooSlow => "message did not arrive in time",
        })
    }
}

impl std::error::Error for HeadError {}

impl From<HeadError> for io::Error {
    fn from(err: HeadError) -> Self {
        let kind = match err {
            HeadError::CutShort => io::ErrorKind::UnexpectedEof,
            HeadError::TooSlow => io::ErrorKind::TimedOut,
            _ => io::ErrorKind::InvalidData,
        };
        io::Error::new(kind, err)
    }
}

/// Why an exchange with a target failed.
#[derive(Debug)]
pub enum ExchangeError {
    /// No connection was made: no byte of the request was handed over.
    Connect(io::Error),
    /// The request was handed over in part or whole and no whole answer head came back.
    Sent(io::Error),
    /// The answer broke a rule of the protocol.
    BadAnswer(HeadError),
    /// The answer's body ended early or its connection failed.
    Body(io::Error),
}

impl ExchangeError {
    /// Tells whether any byte of the request may have reached the target.
    #[must_use]
    pub fn handed_over(&self) -> bool {
        !matches!(self, Self::Connect(_))
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(err) => write!(f, "connection failed: {err}"),
            Self::Sent(err) => write!(f, "no answer after sending: {err}"),
            Self::BadAnswer(err) => write!(f, "bad answer: {err}"),
            Self::Body(err) => write!(f, "answer cut short: {err}"),
        }
    }
}

impl std::error::Error for ExchangeError {}
