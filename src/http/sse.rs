//! Server-sent events: encoding towards callers and parsing from engines.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::io::{AsyncBufRead, AsyncRead};
use futures_lite::{Stream, ready};
use http_types::Body;

use crate::http::poll_read_buffered;

/// Events queued for one caller before the producer waits.
const EVENT_QUEUE_CAPACITY: usize = 64;

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The `id` field, if given.
    pub id: Option<String>,
    /// The `event` field, if given.
    pub event: Option<String>,
    /// The `data` lines joined with line feeds.
    pub data: String,
}

impl SseEvent {
    /// Makes an event with data and an optional id.
    pub fn new(id: impl Into<Option<String>>, data: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            event: None,
            data: data.into(),
        }
    }

    /// Encodes the event, including the empty line that ends it.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut out = String::with_capacity(self.data.len() + 32);
        for (name, value) in [("id", &self.id), ("event", &self.event)] {
            if let Some(value) = value {
                out.extend([name, ": ", value, "\n"]);
            }
        }
        for line in self.data.split('\n') {
            out.extend(["data: ", line, "\n"]);
        }
        out.push('\n');
        out.into_bytes()
    }
}

/// Incremental parser of an event stream (WHATWG HTML, section 9.2.6).
///
/// Unlike in the standard, a lone CR does not end a line, an id applies to its own event only, and
/// `retry` is ignored.
#[derive(Debug, Default)]
pub struct EventParser {
    line: Vec<u8>,
    event: SseEvent,
    has_data: bool,
}

impl EventParser {
    /// Parses `buf` and appends each completed event to `out`.
    pub fn feed(&mut self, buf: &[u8], out: &mut Vec<SseEvent>) {
        for byte in buf {
            if *byte != b'\n' {
                self.line.push(*byte);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let text = String::from_utf8_lossy(&line);
            self.process_line(text.trim_end_matches('\r'), out);
        }
    }

    fn process_line(&mut self, line: &str, out: &mut Vec<SseEvent>) {
        if line.is_empty() {
            if std::mem::take(&mut self.has_data) {
                out.push(std::mem::take(&mut self.event));
            } else {
                self.event = SseEvent::default();
            }
            return;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.event.id = Some(value.to_owned()),
            "event" => self.event.event = Some(value.to_owned()),
            "data" => {
                if std::mem::replace(&mut self.has_data, true) {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            _ => {}
        }
    }
}

/// Producer of an event body; dropping it without [`EventSender::finish`] aborts the body.
#[derive(Debug)]
pub struct EventSender(async_channel::Sender<Option<Vec<u8>>>);

impl EventSender {
    /// Queues one event; `false` when the caller has disconnected.
    pub async fn send(&self, event: &SseEvent) -> bool {
        self.0.send(Some(event.encode())).await.is_ok()
    }

    /// Ends the body cleanly.
    pub async fn finish(self) {
        let _ = self.0.send(None).await;
    }

    /// Completes when the caller has disconnected.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

/// Makes a streamed response body of events and its producer.
#[must_use]
pub fn event_body() -> (EventSender, Body) {
    let (tx, rx) = async_channel::bounded(EVENT_QUEUE_CAPACITY);
    let body = EventBody {
        rx: Box::pin(rx),
        buf: Vec::new(),
        pos: 0,
        ended: false,
    };
    (EventSender(tx), Body::from_reader(body, None))
}

/// Reader of an event body; its channel carries encoded events and `None` at a clean end.
struct EventBody {
    rx: Pin<Box<async_channel::Receiver<Option<Vec<u8>>>>>,
    buf: Vec<u8>,
    pos: usize,
    ended: bool,
}

impl AsyncBufRead for EventBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.pos == this.buf.len() && !this.ended {
            match ready!(this.rx.as_mut().poll_next(cx)) {
                Some(Some(bytes)) => {
                    this.buf = bytes;
                    this.pos = 0;
                }
                Some(None) => this.ended = true,
                None => return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
            }
        }
        Poll::Ready(Ok(&this.buf[this.pos..]))
    }

    fn consume(self: Pin<&mut Self>, amt: usize) {
        self.get_mut().pos += amt;
    }
}

impl AsyncRead for EventBody {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, cx, buf)
    }
}
