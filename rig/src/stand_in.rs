//! Trait of all stand-ins and the HTTP server that runs one.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::FutureExt;
use guavahold::http::{Handler, IncomingRequest, Limits, ResponseFuture, Server, ServerControl};
use http_types::{Response, StatusCode};

use crate::body::truncated_body;
use crate::{ActiveFaults, Faults, response};

/// Maximum size of a request body that a stand-in reads.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Spawns tasks that are cancelled when the stand-in ends.
#[derive(Clone, Debug, Default)]
pub struct Spawner(Weak<Executor<'static>>);

impl Spawner {
    /// Spawns a task; does nothing once the stand-in has ended.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Some(ex) = self.0.upgrade() {
            ex.spawn(task).detach();
        }
    }
}

/// Behaviour of a stand-in.
pub trait StandIn: Send + Sync + 'static {
    /// Handles a request to the stand-in's own port.
    fn handle(self: Arc<Self>, request: IncomingRequest, faults: Faults) -> ResponseFuture;
    /// Handles a request to the admin port, except for `/faults`.
    fn handle_admin(&self, request: &IncomingRequest) -> Response;
    /// The currently injected faults.
    fn faults(&self) -> &ActiveFaults;
    /// Called once before the first request is handled.
    fn start(self: Arc<Self>, _spawner: Spawner) {}
}

/// HTTP server of a stand-in: its own port and its admin port.
pub struct StandInServer<T> {
    stand_in: Arc<T>,
    listener: TcpListener,
    admin_listener: TcpListener,
}

impl<T: StandIn> StandInServer<T> {
    /// Binds the stand-in to `listen` and its admin port to any free port of the same IP address.
    ///
    /// # Errors
    /// When a port cannot be bound.
    pub fn bind(stand_in: T, listen: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            stand_in: Arc::new(stand_in),
            listener: TcpListener::bind(listen)?,
            admin_listener: TcpListener::bind((listen.ip(), 0))?,
        })
    }

    /// Address of the stand-in's own port.
    ///
    /// # Panics
    /// When the socket has no address, which a bound socket has.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("a bound socket")
    }

    /// Address of the admin port.
    ///
    /// # Panics
    /// When the socket has no address, which a bound socket has.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_listener.local_addr().expect("a bound socket")
    }

    /// The stand-in, for direct access in the same process.
    #[must_use]
    pub fn stand_in(&self) -> Arc<T> {
        self.stand_in.clone()
    }

    /// Serves until the stand-in crashes, which closes every connection.
    ///
    /// # Errors
    /// When a listener cannot be registered.
    pub async fn run(self) -> io::Result<()> {
        let ex = Arc::new(Executor::new());
        let (crash_tx, crash_rx) = async_channel::bounded::<()>(1);
        let limits = Limits {
            body_bytes: MAX_BODY_BYTES,
            message_timeout: Duration::from_mins(1),
            ..Limits::default()
        };
        let request_port = RequestPort {
            stand_in: self.stand_in.clone(),
            crash: Mutex::new(Some(crash_tx)),
        };
        let admin_port = AdminPort(self.stand_in.clone());
        let control = Arc::new(ServerControl::default());
        let request_server = Server::new(
            self.listener,
            limits.clone(),
            Arc::new(request_port),
            control.clone(),
        )?;
        let admin_server = Server::new(self.admin_listener, limits, Arc::new(admin_port), control)?;
        self.stand_in.start(Spawner(Arc::downgrade(&ex)));
        let crashed = async {
            let _ = crash_rx.recv().await;
        };
        let serving = Arc::new(request_server)
            .run(ex.clone())
            .or(Arc::new(admin_server).run(ex.clone()))
            .or(crashed);
        ex.run(serving).await;
        Ok(())
    }
}

struct RequestPort<T> {
    stand_in: Arc<T>,
    crash: Mutex<Option<async_channel::Sender<()>>>,
}

impl<T> RequestPort<T> {
    fn crash(&self) {
        let tx = self.crash.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tx) = &*tx {
            tx.close();
        }
    }
}

impl<T: StandIn> Handler for RequestPort<T> {
    fn handle(self: Arc<Self>, request: IncomingRequest) -> ResponseFuture {
        Box::pin(async move {
            let method = request.req.method().to_string();
            let faults = self
                .stand_in
                .faults()
                .for_request(&method, request.req.url().path());
            if let Some(text) = &faults.crash_on
                && contains_text(&request.body, text.as_bytes())
            {
                self.crash();
                // Gives no response before the crash closes the connection.
                std::future::pending::<()>().await;
            }
            self.stand_in.faults().wait_unfrozen().await;
            if faults.delay_ms > 0 {
                Timer::after(Duration::from_millis(faults.delay_ms)).await;
            }
            if let Some(status) = faults.fail_status {
                let status = StatusCode::try_from(status);
                let status = status.unwrap_or(StatusCode::InternalServerError);
                return response::message(status, "fault");
            }
            let mut res = self.stand_in.clone().handle(request, faults.clone()).await;
            self.stand_in.faults().wait_unfrozen().await;
            let cut_after = if faults.drop_answer {
                Some(0)
            } else {
                faults.close_after
            };
            if let Some(bytes) = cut_after {
                let body = res.take_body();
                res.set_body(truncated_body(body, bytes));
            }
            res
        })
    }
}

fn contains_text(body: &[u8], text: &[u8]) -> bool {
    !text.is_empty() && body.windows(text.len()).any(|w| w == text)
}

struct AdminPort<T>(Arc<T>);

impl<T: StandIn> Handler for AdminPort<T> {
    fn handle(self: Arc<Self>, request: IncomingRequest) -> ResponseFuture {
        Box::pin(async move {
            if request.req.url().path() != "/faults" {
                return self.0.handle_admin(&request);
            }
            if request.body.is_empty() {
                return response::json(StatusCode::Ok, &self.0.faults().get());
            }
            match serde_json::from_slice(&request.body) {
                Ok(faults) => {
                    self.0.faults().set(faults);
                    response::json(StatusCode::Ok, &self.0.faults().get())
                }
                Err(err) => response::message(StatusCode::BadRequest, &err.to_string()),
            }
        })
    }
}
