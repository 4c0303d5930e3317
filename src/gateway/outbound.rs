//! One exchange's side of a connection to a target.

use std::io;
use std::net::TcpStream;

use async_io::Async;
use futures_lite::AsyncReadExt;

use crate::gateway::answer::AnswerHead;
use crate::gateway::{BodyReader, Call, Dialect};
use crate::http::MessageError;

/// Bytes read from a socket at once.
const READ_SIZE: usize = 8 * 1024;
/// Longest whole answer, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// Why an answer was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    /// The connection failed or ended before the first byte of an answer.
    Silent,
    /// The connection failed or ended inside the answer.
    CutShort,
    /// The bytes are no answer in the protocol.
    Garbled,
}

impl From<MessageError> for Broken {
    fn from(_: MessageError) -> Self {
        Self::Garbled
    }
}

/// Reads the answers on one connection.
pub(crate) struct Outbound<'a> {
    stream: &'a Async<TcpStream>,
    raw: Vec<u8>,
    skipped: bool,
}

impl<'a> Outbound<'a> {
    /// Begins to read on a connection.
    pub(crate) fn new(stream: &'a Async<TcpStream>) -> Self {
        Self {
            stream,
            raw: Vec::new(),
            skipped: false,
        }
    }

    /// Whether nothing but the answer was received, so that the connection may be used again.
    pub(crate) fn is_clean(&self) -> bool {
        self.raw.is_empty() && !self.skipped
    }

    /// Reads the head of the answer to `call`; answers to other requests are passed over.
    pub(crate) async fn head(
        &mut self,
        call: &Call,
        dialect: &dyn Dialect,
    ) -> Result<AnswerHead, Broken> {
        loop {
            let Some(head) = AnswerHead::take(&mut self.raw, dialect)? else {
                self.more().await?;
                continue;
            };
            if head.is_interim() {
                continue;
            }
            let ours = match &head.facts.request {
                Some(id) => *id == call.id,
                // A refusal need not name the request; a success does.
                None => head.facts.run.is_not_run() || !head.is_success(),
            };
            if ours {
                return Ok(head);
            }
            self.skip(&head).await?;
        }
    }

    /// Reads the whole body of an answer.
    pub(crate) async fn whole(&mut self, head: &AnswerHead) -> Result<Vec<u8>, Broken> {
        let mut body = Vec::new();
        let mut reader = BodyReader::new(head.framing, head.is_bodiless());
        while self.part(&mut reader, &mut body).await? {
            if body.len() > MAX_ANSWER {
                return Err(Broken::Garbled);
            }
        }
        Ok(body)
    }

    /// Reads the next part of a body behind `out`; `false` at its end.
    pub(crate) async fn part(
        &mut self,
        reader: &mut BodyReader,
        out: &mut Vec<u8>,
    ) -> Result<bool, Broken> {
        reader.feed(&mut self.raw, out)?;
        if reader.is_done() {
            return Ok(false);
        }
        let read = self.read().await.map_err(|_| Broken::CutShort)?;
        if read == 0 {
            reader.end().map_err(|_| Broken::CutShort)?;
            self.skipped = true;
            return Ok(false);
        }
        reader.feed(&mut self.raw, out)?;
        Ok(!reader.is_done())
    }

    /// Passes over an answer to another request.
    async fn skip(&mut self, head: &AnswerHead) -> Result<(), Broken> {
        self.skipped = true;
        let mut reader = BodyReader::new(head.framing, head.is_bodiless());
        if reader.is_to_end() {
            return Err(Broken::Garbled);
        }
        let mut dropped = Vec::new();
        while self.part(&mut reader, &mut dropped).await? {
            dropped.clear();
        }
        Ok(())
    }

    async fn more(&mut self) -> Result<(), Broken> {
        let begun = !self.raw.is_empty();
        match self.read().await {
            Ok(n) if n > 0 => Ok(()),
            _ if begun => Err(Broken::CutShort),
            _ => Err(Broken::Silent),
        }
    }

    async fn read(&mut self) -> io::Result<usize> {
        let len = self.raw.len();
        self.raw.resize(len + READ_SIZE, 0);
        let mut stream = self.stream;
        let read = stream.read(&mut self.raw[len..]).await;
        self.raw.truncate(len + *read.as_ref().unwrap_or(&0));
        read
    }
}
