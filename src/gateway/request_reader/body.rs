//! Reading of request bodies within the memory that the entry has for them.

use crate::gateway::request_reader::input::{READ_SIZE, read_into};
use crate::gateway::request_reader::{ReceiveError, RequestReader};
use crate::http::{ChunkedBody, MessageError, allocate};
use crate::route::CallerLimits;

impl RequestReader {
    /// Reads a body of a stated length, all of which is reserved before the first byte.
    pub(super) async fn receive_length(
        &mut self,
        len: u64,
        limits: &CallerLimits,
    ) -> Result<Vec<u8>, ReceiveError> {
        let len = usize::try_from(len).map_err(|_| MessageError::BodyTooLarge)?;
        if len > limits.body_bytes {
            return Err(MessageError::BodyTooLarge.into());
        }
        self.hold_body(len).await?;
        let mut body = allocate(len)?;
        let arrived = len.min(self.input.buf.len());
        body.extend(self.input.buf.drain(..arrived));
        while body.len() < len {
            let left = len - body.len();
            let read = read_into(&self.input.stream, &mut body, left.min(READ_SIZE)).await?;
            self.record_read(read)?;
        }
        Ok(body)
    }

    /// Reads a chunked body, for which memory is reserved as it grows.
    pub(super) async fn receive_chunked(
        &mut self,
        limits: &CallerLimits,
    ) -> Result<Vec<u8>, ReceiveError> {
        let mut body = ChunkedBody::new(limits.body_bytes);
        loop {
            if let Some(capacity) = body.needed_capacity(self.input.buf.len()) {
                self.hold_body(body.capacity() + capacity).await?;
                body.grow(capacity)?;
                self.hold_body(capacity).await?;
            }
            if body.feed(&mut self.input.buf)? {
                return Ok(body.into_decoded());
            }
            let read = self.input.fill().await?;
            self.record_read(read)?;
        }
    }

    /// Records bytes that arrived; an error at the end of the stream.
    pub(super) fn record_read(&mut self, read: usize) -> Result<(), ReceiveError> {
        if read == 0 {
            return Err(ReceiveError::ConnectionClosed);
        }
        self.room.record_progress(read);
        Ok(())
    }
}
