//! Runs a schedule against a bench.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use http_types::Method;
use serde_json::{Value, json};

use crate::bench::Bench;
use crate::load::baseline::{Baseline, Router};
use crate::load::caller::{Call, Caller, Fate, Sample};
use crate::load::fault::FaultPlan;
use crate::load::floor::floor;
use crate::load::profile::{Kind, Profile};
use crate::load::prompts::chat_body;
use crate::load::result::{LoadResult, RunFacts};
use crate::load::trace::{Arrival, Trace};

/// Threads that send requests.
const CALLER_THREADS: usize = 2;
/// Repeats of a refused request at most.
const MAX_REPEATS: u32 = 1;

/// What to run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Profile.
    pub profile: Profile,
    /// Router.
    pub baseline: Baseline,
    /// Fault.
    pub fault: FaultPlan,
    /// Seed of the schedule.
    pub seed: u64,
    /// Length of the schedule.
    pub length: Duration,
    /// Factor on the profile's rates.
    pub rate: f64,
    /// Factor on the rates of customer 0 in the second half.
    pub surge: f64,
    /// Entries.
    pub entries: usize,
}

struct Shared {
    profile: Profile,
    bench: Bench,
    router: Option<Router>,
    caller: Caller,
    samples: Mutex<Vec<Sample>>,
    lost_domain: AtomicBool,
    fault: FaultPlan,
    turn: AtomicUsize,
}

/// Runs a schedule and summarises it.
///
/// # Errors
/// When the bench cannot be started.
pub fn run(options: &LoadOptions) -> eyre::Result<LoadResult> {
    let profile = &options.profile;
    let trace = Trace::draw(
        profile,
        options.seed,
        options.length,
        options.rate,
        options.surge,
    );
    let entries = if options.baseline.has_entries() {
        options.entries
    } else {
        0
    };
    let bench = Bench::start(profile.bench(entries))?;
    let router = (!options.baseline.has_entries()).then(|| Router::new(options.baseline, &bench));
    let shared = Arc::new(Shared {
        profile: profile.clone(),
        bench,
        router,
        caller: Caller::default(),
        samples: Mutex::default(),
        lost_domain: AtomicBool::new(false),
        fault: options.fault,
        turn: AtomicUsize::new(0),
    });
    let ex = Arc::new(Executor::new());
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let threads: Vec<_> = (0..CALLER_THREADS)
        .map(|_| {
            let (ex, stopped) = (ex.clone(), stopped.clone());
            std::thread::spawn(move || {
                let _ = async_io::block_on(ex.run(stopped.recv()));
            })
        })
        .collect();
    let started = Instant::now();
    async_io::block_on(drive(&shared, &ex, &trace, options, started));
    let took = started.elapsed();
    stop.close();
    for thread in threads {
        let _ = thread.join();
    }
    drop(ex);
    let facts = RunFacts {
        floor: floor(profile, &trace),
        engines: shared.bench.engine_totals(),
        services: shared
            .bench
            .services
            .iter()
            .map(|s| s.stand_in.counts())
            .collect(),
        took,
    };
    let samples = std::mem::take(&mut *lock(&shared.samples));
    let result = LoadResult::new(options, &trace, &samples, &facts);
    if let Some(shared) = Arc::into_inner(shared) {
        shared.bench.stop();
    }
    Ok(result)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn drive(
    shared: &Arc<Shared>,
    ex: &Arc<Executor<'static>>,
    trace: &Trace,
    options: &LoadOptions,
    started: Instant,
) {
    let mut tasks = Vec::new();
    let (begin, end) = (options.length.mul_f64(0.4), options.length.mul_f64(0.75));
    let mut phase = 0;
    for (number, arrival) in trace.arrivals.iter().enumerate() {
        Timer::at(started + arrival.at).await;
        if phase == 0 && arrival.at >= begin {
            shared.fault.begin(&shared.bench);
            let lost = shared.fault.lost_domain().is_some();
            shared.lost_domain.store(lost, Ordering::Relaxed);
            phase = 1;
        }
        if phase == 1 && arrival.at >= end {
            FaultPlan::end(&shared.bench);
            shared.lost_domain.store(false, Ordering::Relaxed);
            phase = 2;
        }
        let (shared, arrival) = (shared.clone(), arrival.clone());
        let due = started + arrival.at;
        tasks.push(ex.spawn(async move { shared.serve(number, &arrival, due).await }));
    }
    for task in tasks {
        task.await;
    }
}

impl Shared {
    /// Sends a request, and once more when it is refused and told when to come back.
    async fn serve(&self, number: usize, arrival: &Arrival, due: Instant) {
        let mut due = due;
        for attempt in 0..=MAX_REPEATS {
            let (first_token, fate) = self.send(number, arrival, due, attempt).await;
            let sample = Sample {
                number,
                repeat: attempt > 0,
                at: arrival.at,
                first_token,
                end: due.elapsed(),
                fate: fate.clone(),
            };
            lock(&self.samples).push(sample);
            match fate {
                Fate::Refused {
                    retry_after: Some(after),
                    ..
                } => {
                    Timer::after(after).await;
                    due = Instant::now();
                }
                _ => return,
            }
        }
    }

    async fn send(
        &self,
        number: usize,
        arrival: &Arrival,
        due: Instant,
        attempt: u32,
    ) -> (Option<Duration>, Fate) {
        let chat = matches!(arrival.kind, Kind::Turn | Kind::Question);
        let mut body = if chat {
            chat_body(&self.profile, arrival)
        } else {
            Value::Null
        };
        match &self.router {
            Some(router) if chat => {
                let customer = Profile::customer(arrival.customer);
                let Some(seat) = router.route(&customer, &mut body) else {
                    return (None, Fate::Broken("no engine".into()));
                };
                body["priority"] = self.profile.policy(arrival.kind).class.priority().into();
                let mut call = chat_call(seat.address(), body);
                call.headers
                    .push(("x-request-id", format!("r{number}-{attempt}")));
                call.headers.push(("guavahold-weights", "w1".into()));
                self.caller.send(&call, due).await
            }
            Some(_) => (Some(due.elapsed()), Fate::Done),
            None => {
                let entry = self.entry();
                let mut call = match arrival.kind {
                    Kind::Turn | Kind::Question => chat_call(entry, body),
                    Kind::Booking => booking_call(entry, number),
                    Kind::Check => check_call(entry),
                };
                let token = Profile::token(arrival.customer);
                call.headers
                    .push(("authorization", format!("Bearer {token}")));
                self.caller.send(&call, due).await
            }
        }
    }

    /// The entry that the balancer gives the next caller.
    fn entry(&self) -> std::net::SocketAddr {
        let lost = self.lost_domain.load(Ordering::Relaxed);
        let lost = self.fault.lost_domain().filter(|_| lost);
        let mut live = self.bench.entries.iter();
        let live: Vec<_> = live
            .by_ref()
            .filter(|e| Some(&*e.domain) != lost)
            .map(|e| e.callers)
            .collect();
        live[self.turn.fetch_add(1, Ordering::Relaxed) % live.len()]
    }
}

fn chat_call(address: std::net::SocketAddr, body: Value) -> Call {
    Call {
        address,
        method: Method::Post,
        path: "/v1/chat/completions".into(),
        headers: Vec::new(),
        body,
    }
}

fn booking_call(address: std::net::SocketAddr, number: usize) -> Call {
    let key = uuid::Uuid::now_v7().to_string();
    Call {
        address,
        method: Method::Post,
        path: "/services/desk/bookings".into(),
        headers: vec![("idempotency-key", key)],
        body: json!({"booking": number}),
    }
}

fn check_call(address: std::net::SocketAddr) -> Call {
    Call {
        address,
        method: Method::Get,
        path: "/services/desk/calendar".into(),
        headers: Vec::new(),
        body: Value::Null,
    }
}
