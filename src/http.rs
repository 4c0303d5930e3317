//! HTTP/1.1 framing around `async-h1`.
//!
//! Every message head is read and checked here with `httparse` before `async-h1` sees it, and
//! every body is delimited here, so that a message cut short is an error on both sides and
//! pipelined requests are kept (RFC 9112, sections 6 and 9.3.2).

mod buffered;
mod chunk;
mod client;
mod control;
mod error;
mod exchange;
mod framing;
mod gate;
mod head;
mod limits;
mod memory;
mod pool;
mod problem;
mod response;
mod server;
mod serving;
mod silence;
mod sse;

pub use buffered::poll_read_buffered;
pub use chunk::ChunkScanner;
pub use client::{Answer, Connection};
pub use control::ServerControl;
pub use error::{ExchangeError, HeadError};
pub use exchange::{Exchange, Handler, Reply};
pub use framing::Framing;
pub use gate::{Admission, BodyGate};
pub(crate) use head::MAX_HEADERS;
pub use head::RequestHead;
pub use limits::Limits;
pub use pool::Pool;
pub use problem::{Problem, RunState};
pub use server::Server;
pub(crate) use silence::watch_for_silence;
pub use sse::{EventParser, EventSender, SseEvent, event_body};
