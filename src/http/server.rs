//! Accept loop of one listener.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use socket2::SockRef;

use crate::http::server_connection::ServerConnection;
use crate::http::{Handler, Limits, ServerControl};
use crate::shared_intake::SharedIntake;
use crate::supervisor::Supervisor;

/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and spawns a task for each.
pub struct Server {
    listener: Async<TcpListener>,
    limits: Arc<Limits>,
    handler: Arc<dyn Handler>,
    control: Arc<ServerControl>,
    intake: Arc<SharedIntake>,
    write_timeout: Option<Duration>,
}

impl Server {
    /// Wraps a bound listener.
    ///
    /// # Errors
    /// When the listener cannot be registered with the reactor.
    pub fn new(
        listener: TcpListener,
        limits: Limits,
        handler: Arc<dyn Handler>,
        control: Arc<ServerControl>,
    ) -> io::Result<Self> {
        let intake = SharedIntake::new(limits.intake());
        Ok(Self {
            listener: Async::new(listener)?,
            intake,
            limits: Arc::new(limits),
            handler,
            control,
            write_timeout: None,
        })
    }

    /// Closes connections whose peer leaves sent bytes unacknowledged for `timeout`
    /// (`TCP_USER_TIMEOUT`).
    #[must_use]
    pub fn with_write_timeout(mut self, timeout: Duration) -> Self {
        self.write_timeout = Some(timeout);
        self
    }

    /// Accepts until [`ServerControl::stop`] is called.
    pub async fn run(self: Arc<Self>, supervisor: impl Into<Supervisor>) {
        let supervisor = supervisor.into();
        loop {
            let accept = async { Some(self.listener.accept().await) };
            let stop = async {
                self.control.stopped().await;
                None
            };
            match accept.or(stop).await {
                None => return self.accept_backlog(&supervisor),
                Some(Ok((stream, peer))) => self.spawn(stream, peer, &supervisor),
                Some(Err(err)) => {
                    log::warn!("event=accept_failed error={:?}", err.to_string());
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts the connections still in the backlog, as closing the listener would reset them.
    fn accept_backlog(&self, supervisor: &Supervisor) {
        while let Ok((stream, peer)) = self.listener.get_ref().accept() {
            if let Ok(stream) = Async::new(stream) {
                self.spawn(stream, peer, supervisor);
            }
        }
    }

    fn spawn(&self, stream: Async<TcpStream>, peer: SocketAddr, supervisor: &Supervisor) {
        let Some(permit) = self.intake.open() else {
            return;
        };
        let _ = stream.get_ref().set_nodelay(true);
        if let Some(timeout) = self.write_timeout {
            let _ = SockRef::from(stream.get_ref()).set_tcp_user_timeout(Some(timeout));
        }
        let connection = ServerConnection::new(
            stream,
            peer,
            permit,
            self.limits.clone(),
            self.handler.clone(),
            self.control.clone(),
        );
        supervisor.spawn("http_connection", connection.run());
    }
}
