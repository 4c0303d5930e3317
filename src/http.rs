//! HTTP/1.1 server and client on top of `async-h1`.
//!
//! Message heads are parsed and validated with `httparse` before they reach `async-h1`, and bodies
//! are delimited here, so that a truncated message is an error on both sides and no pipelined
//! request is lost (RFC 9112, sections 6 and 9.3.2).

mod arrived;
mod body_throttle;
mod buffered;
mod chunk;
mod chunked_body;
mod client;
mod connect;
mod control;
mod duplex_stream;
mod error;
mod framing;
mod handler;
mod head;
mod head_stream;
mod header_text;
mod keepalive;
mod limits;
mod pool;
mod problem;
mod response_reader;
mod response_writer;
mod server;
mod server_connection;
mod sse;
mod status;

pub(crate) use arrived::read_arrived;
pub use body_throttle::{AdmissionFuture, BodyThrottle};
pub use buffered::poll_read_buffered;
pub use chunk::ChunkScanner;
pub(crate) use chunked_body::{ChunkedBody, OVERRUN_BYTES, allocate};
pub use client::{ClientResponse, Connection};
pub use connect::connect;
pub use control::ServerControl;
pub use duplex_stream::DuplexStream;
pub use error::{ExchangeError, MessageError};
pub use framing::Framing;
pub use handler::{Handler, IncomingRequest, ResponseFuture};
pub(crate) use head::MAX_HEADERS;
pub use head::RequestHead;
pub use header_text::{HeaderText, InvalidHeaderText, MAX_HEADER_TEXT_BYTES};
pub use keepalive::enable_dead_peer_detection;
pub use limits::Limits;
pub use pool::{FetchedResponse, Pool};
pub use problem::{Problem, RunState};
pub use server::Server;
pub use sse::{EventParser, EventSender, SseEvent, event_body};
pub(crate) use status::response_status;
