//! Serves a stand-in: its own port and its admin port.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::FutureExt;
use guavahold::http::{Handler, IncomingRequest, Limits, ResponseFuture, Server, ServerControl};
use http_types::{Response, StatusCode};

use crate::body::cut_body;
use crate::{FaultBox, Faults, response};

/// Longest body that a stand-in reads, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// Starts tasks that end with the stand-in.
#[derive(Clone, Debug, Default)]
pub struct Spawner(Weak<Executor<'static>>);

impl Spawner {
    /// Starts a task; nothing happens once the stand-in has ended.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Some(ex) = self.0.upgrade() {
            ex.spawn(task).detach();
        }
    }
}

/// Behaviour of a stand-in.
pub trait StandIn: Send + Sync + 'static {
    /// Answers a request at the stand-in's own port.
    fn serve(self: Arc<Self>, exchange: IncomingRequest, faults: Faults) -> ResponseFuture;
    /// Answers a request at the admin port that is not about faults.
    fn administer(&self, exchange: &IncomingRequest) -> Response;
    /// The faults in force.
    fn faults(&self) -> &FaultBox;
    /// Called once when serving begins.
    fn start(self: Arc<Self>, _spawner: Spawner) {}
}

/// A stand-in bound to its ports.
pub struct Host<T> {
    core: Arc<T>,
    main: TcpListener,
    admin: TcpListener,
}

impl<T: StandIn> Host<T> {
    /// Binds both ports; the admin port is any free port of the same address.
    ///
    /// # Errors
    /// When a port cannot be bound.
    pub fn bind(core: T, listen: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            core: Arc::new(core),
            main: TcpListener::bind(listen)?,
            admin: TcpListener::bind((listen.ip(), 0))?,
        })
    }

    /// Address of the stand-in's own port.
    ///
    /// # Panics
    /// When the socket has no address, which a bound socket has.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.main.local_addr().expect("a bound socket")
    }

    /// Address of the admin port.
    ///
    /// # Panics
    /// When the socket has no address, which a bound socket has.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin.local_addr().expect("a bound socket")
    }

    /// The stand-in itself, for callers in the same process.
    #[must_use]
    pub fn core(&self) -> Arc<T> {
        self.core.clone()
    }

    /// Serves until the stand-in crashes; then every connection is closed at once.
    ///
    /// # Errors
    /// When a listener cannot be registered.
    pub async fn run(self) -> io::Result<()> {
        let ex = Arc::new(Executor::new());
        let (crash_tx, crash_rx) = async_channel::bounded::<()>(1);
        let limits = Limits {
            body_bytes: MAX_BODY,
            message_timeout: Duration::from_mins(1),
            ..Limits::default()
        };
        let main = MainPort {
            core: self.core.clone(),
            crash: Mutex::new(Some(crash_tx)),
        };
        let admin = AdminPort(self.core.clone());
        let control = Arc::new(ServerControl::default());
        let main = Server::new(self.main, limits.clone(), Arc::new(main), control.clone())?;
        let admin = Server::new(self.admin, limits, Arc::new(admin), control)?;
        self.core.start(Spawner(Arc::downgrade(&ex)));
        let crashed = async {
            let _ = crash_rx.recv().await;
        };
        let serving = main.run(ex.clone()).or(admin.run(ex.clone())).or(crashed);
        ex.run(serving).await;
        Ok(())
    }
}

struct MainPort<T> {
    core: Arc<T>,
    crash: Mutex<Option<async_channel::Sender<()>>>,
}

impl<T> MainPort<T> {
    fn crash(&self) {
        let tx = self.crash.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tx) = &*tx {
            tx.close();
        }
    }
}

impl<T: StandIn> Handler for MainPort<T> {
    fn handle(self: Arc<Self>, exchange: IncomingRequest) -> ResponseFuture {
        Box::pin(async move {
            let method = exchange.req.method().to_string();
            let faults = self.core.faults().meet(&method, exchange.req.url().path());
            if let Some(text) = &faults.crash_on
                && contains(&exchange.body, text.as_bytes())
            {
                self.crash();
                std::future::pending::<()>().await;
            }
            self.core.faults().thawed().await;
            if faults.delay_ms > 0 {
                Timer::after(Duration::from_millis(faults.delay_ms)).await;
            }
            if let Some(status) = faults.fail_status {
                let status = StatusCode::try_from(status);
                let status = status.unwrap_or(StatusCode::InternalServerError);
                return response::message(status, "fault");
            }
            let mut res = self.core.clone().serve(exchange, faults.clone()).await;
            self.core.faults().thawed().await;
            let cut = if faults.drop_answer {
                Some(0)
            } else {
                faults.close_after
            };
            if let Some(bytes) = cut {
                let body = res.take_body();
                res.set_body(cut_body(body, bytes));
            }
            res
        })
    }
}

fn contains(body: &[u8], text: &[u8]) -> bool {
    !text.is_empty() && body.windows(text.len()).any(|w| w == text)
}

struct AdminPort<T>(Arc<T>);

impl<T: StandIn> Handler for AdminPort<T> {
    fn handle(self: Arc<Self>, exchange: IncomingRequest) -> ResponseFuture {
        Box::pin(async move {
            if exchange.req.url().path() != "/faults" {
                return self.0.administer(&exchange);
            }
            if exchange.body.is_empty() {
                return response::json(StatusCode::Ok, &self.0.faults().get());
            }
            match serde_json::from_slice(&exchange.body) {
                Ok(faults) => {
                    self.0.faults().set(faults);
                    response::json(StatusCode::Ok, &self.0.faults().get())
                }
                Err(err) => response::message(StatusCode::BadRequest, &err.to_string()),
            }
        })
    }
}
