//! Reads of bytes that have arrived, whether or not the reactor has reported them.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;

use crate::http::MessageError;

/// Appends up to `max` bytes that have arrived on a nonblocking stream to `buf`; `false` when there
/// are none yet.
///
/// # Errors
/// [`MessageError::CutShort`] when the stream has ended or failed.
pub(crate) fn read_arrived(
    mut stream: &TcpStream,
    buf: &mut Vec<u8>,
    max: usize,
) -> Result<bool, MessageError> {
    let len = buf.len();
    buf.reserve_exact(max);
    buf.resize(len + max, 0);
    let read = stream.read(&mut buf[len..]);
    buf.truncate(len + *read.as_ref().unwrap_or(&0));
    match read {
        Ok(0) => Err(MessageError::CutShort),
        Ok(_) => Ok(true),
        Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
            Ok(false)
        }
        Err(_) => Err(MessageError::CutShort),
    }
}
