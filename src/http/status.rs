//! Statuses that a response may have.

use crate::http::MessageError;

/// Lowest and highest status of a response (RFC 9110, section 15).
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;
/// The server speaks another protocol from here on, which no request asks for.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Status of a response to a request that asked for no other protocol.
///
/// # Errors
/// [`MessageError::Malformed`] when a response cannot have the status.
pub(crate) fn response_status(head: &httparse::Response<'_, '_>) -> Result<u16, MessageError> {
    let status = head.code.unwrap_or_default();
    if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(MessageError::Malformed);
    }
    Ok(status)
}
