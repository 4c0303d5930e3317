//! Relaying of a response stream to the caller.

use crate::gateway::attempt::Attempt;
use crate::gateway::attempt_error::AttemptError;
use crate::gateway::caller_response::CallerResponse;
use crate::gateway::response_head::ResponseHead;
use crate::gateway::response_reader::{ResponseError, ResponseReader};
use crate::gateway::{BodyReader, EventSplitter, RawEvent};
use crate::http::Framing;
use crate::stream_origin::StreamOrigin;

/// Maximum size of a response stream, in bytes with their transfer coding.
const MAX_STREAM_BYTES: usize = 8 * 1024 * 1024;
/// Size of a response stream beside its tokens, in bytes.
const STREAM_OVERHEAD_BYTES: usize = 256 * 1024;
/// Size of a token in a response stream, in bytes.
const MAX_TOKEN_BYTES: usize = 4 * 1024;

impl Attempt<'_> {
    /// Tells other entries at which software version the stream began, before its caller may take
    /// it up at one of them; also when it goes on, so that they remember it.
    fn announce_origin(&self, response: &mut CallerResponse<'_>) {
        if !self.request.route.is_resumable() {
            return;
        }
        let software = &self.assignment.software;
        let software = response.software.get_or_insert_with(|| software.clone());
        if software.is_empty() {
            return;
        }
        let origin = StreamOrigin {
            key: self.request.stream_key(),
            software: software.clone(),
        };
        let now = self.shared.now();
        self.shared.stream_origins.announce(now, origin);
    }

    /// Maximum size of the response stream: no request can generate more than its tokens.
    fn max_stream_bytes(&self) -> usize {
        let tokens = self.request.head.prompt.as_ref().map(|p| p.output_tokens);
        let Some(tokens) = tokens.filter(|n| *n > 0) else {
            return MAX_STREAM_BYTES;
        };
        let tokens = usize::try_from(tokens).unwrap_or(usize::MAX);
        let bytes = tokens.saturating_mul(MAX_TOKEN_BYTES);
        bytes
            .saturating_add(STREAM_OVERHEAD_BYTES)
            .min(MAX_STREAM_BYTES)
    }

    /// Relays complete events until the stream ends.
    pub(super) async fn relay_stream(
        &self,
        head: &ResponseHead,
        reader: &mut ResponseReader<'_>,
        response: &mut CallerResponse<'_>,
    ) -> Result<(), AttemptError> {
        let mut body = BodyReader::new(head.framing, head.is_bodiless());
        let mut events = EventSplitter::default();
        let mut first = true;
        let max_bytes = self.max_stream_bytes();
        loop {
            let more = reader.read_part(&mut body, events.buf()).await;
            // Events that were complete before the connection broke are relayed.
            let whole = take_events(&mut events, response.last_event);
            if !whole.is_empty() {
                if std::mem::take(&mut first) {
                    self.trace.record_answer_began();
                    self.shared.prompt_quarantine.record_answer(self.request);
                    self.handle.report_first_token(self.assignment.number);
                    self.announce_origin(response);
                }
                response.send_events(head, &whole).await?;
            }
            let more = more.map_err(AttemptError::Response)?;
            let overlong = events.is_overlong() || reader.received() > max_bytes;
            // Without a length or chunks, nothing else tells the end from a broken connection.
            let is_unframed = head.framing == Framing::Unspecified;
            let is_empty = is_unframed && first && response.last_event.is_none();
            if overlong || (!more && (events.has_rest() || is_empty)) {
                return Err(AttemptError::Response(ResponseError::CutShort));
            }
            if !more {
                return response.end_stream(head).await;
            }
        }
    }
}

/// Takes the complete events that the caller has not received yet.
fn take_events(events: &mut EventSplitter, last: Option<u64>) -> Vec<RawEvent> {
    let mut last = last;
    let mut out = Vec::new();
    while let Some(event) = events.next_event() {
        let known = matches!((event.id, last), (Some(id), Some(last)) if id <= last);
        if !known {
            last = event.id.or(last);
            out.push(event);
        }
    }
    out
}
