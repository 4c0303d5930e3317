//! Errors of message framing and of client exchanges.

use std::{fmt, io};

use http_types::StatusCode;

/// Why a message head or body was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// The head cannot be parsed, or a request is not HTTP/1.1.
    Malformed,
    /// The head is longer than the limit, or a request has too many headers.
    HeadTooLarge,
    /// The `host` header is missing or repeated.
    NoHost,
    /// Length headers are repeated, contradictory or not numeric, or a response's body has neither
    /// length nor coding.
    BadLength,
    /// The transfer coding is not supported.
    BadCoding,
    /// The chunked coding is malformed.
    BadChunk,
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The connection ended inside the message.
    CutShort,
    /// The message did not arrive in time.
    TooSlow,
    /// There is no memory for the message.
    NoMemory,
}

impl MessageError {
    /// Status code of the response to this error.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::HeadTooLarge => StatusCode::RequestHeaderFieldsTooLarge,
            Self::BodyTooLarge => StatusCode::PayloadTooLarge,
            Self::TooSlow => StatusCode::RequestTimeout,
            Self::NoMemory => StatusCode::ServiceUnavailable,
            Self::BadCoding => StatusCode::NotImplemented,
            _ => StatusCode::BadRequest,
        }
    }
}

impl fmt::Display for MessageError {
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
            Self::NoMemory => "no memory for the message",
        })
    }
}

impl std::error::Error for MessageError {}

impl From<MessageError> for io::Error {
    fn from(err: MessageError) -> Self {
        let kind = match err {
            MessageError::CutShort => io::ErrorKind::UnexpectedEof,
            MessageError::TooSlow => io::ErrorKind::TimedOut,
            _ => io::ErrorKind::InvalidData,
        };
        io::Error::new(kind, err)
    }
}

/// Why a request to a target or another server failed.
#[derive(Debug)]
pub enum ExchangeError {
    /// No connection was made; no byte of the request was sent.
    Connect(io::Error),
    /// The request was sent in part or whole and no complete response head was received.
    Sent(io::Error),
    /// The response violates the protocol or a size limit.
    BadAnswer(MessageError),
    /// The response body was truncated or the connection failed.
    Body(io::Error),
}

impl ExchangeError {
    /// Returns whether any byte of the request may have reached the server.
    #[must_use]
    pub fn may_have_been_sent(&self) -> bool {
        !matches!(self, Self::Connect(_))
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(err) => write!(f, "connection failed: {err}"),
            Self::Sent(err) => write!(f, "no response after the request was sent: {err}"),
            Self::BadAnswer(err) => write!(f, "invalid response: {err}"),
            Self::Body(err) => write!(f, "response truncated: {err}"),
        }
    }
}

impl std::error::Error for ExchangeError {}
