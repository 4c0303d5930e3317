//! Runs a schedule against a local system.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use http_types::Method;
use serde_json::{Value, json};

use crate::load::caller::{Caller, LoadRequest, Outcome, Sample};
use crate::load::fault::FaultPlan;
use crate::load::floor::recompute_floor;
use crate::load::profile::{Profile, RequestKind};
use crate::load::prompts::chat_body;
use crate::load::result::{LoadResult, RunTotals};
use crate::load::router::{BaselineRouter, RouterKind};
use crate::load::schedule::{Arrival, Schedule};
use crate::local_system::LocalSystem;

/// Number of threads that send requests.
const CALLER_THREADS: usize = 2;
/// Maximum number of retries of a refused request.
const MAX_RETRIES: u32 = 1;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Load and size of the system.
    pub profile: Profile,
    /// Router through which the load is sent.
    pub router: RouterKind,
    /// Fault to inject.
    pub fault: FaultPlan,
    /// Seed of the schedule.
    pub seed: u64,
    /// Length of the schedule.
    pub length: Duration,
    /// Factor on the profile's rates.
    pub rate: f64,
    /// Factor on the rates of customer 0 in the second half.
    pub surge: f64,
    /// Number of entries.
    pub entries: usize,
}

struct LoadRun {
    profile: Profile,
    system: LocalSystem,
    router: Option<BaselineRouter>,
    caller: Caller,
    samples: Mutex<Vec<Sample>>,
    /// Whether the fault's failure domain is currently unreachable for callers.
    domain_lost: AtomicBool,
    fault: FaultPlan,
    /// Number of requests sent to entries, for round-robin order.
    entry_requests: AtomicUsize,
}

/// Generates a schedule, runs it and summarises the results.
///
/// # Errors
/// When the system cannot be started.
pub fn run(options: &LoadOptions) -> eyre::Result<LoadResult> {
    let profile = &options.profile;
    let schedule = Schedule::generate(
        profile,
        options.seed,
        options.length,
        options.rate,
        options.surge,
    );
    let entries = if options.router.uses_entries() {
        options.entries
    } else {
        0
    };
    let system = LocalSystem::start(profile.system_plan(entries))?;
    let router =
        (!options.router.uses_entries()).then(|| BaselineRouter::new(options.router, &system));
    let load_run = Arc::new(LoadRun {
        profile: profile.clone(),
        system,
        router,
        caller: Caller::default(),
        samples: Mutex::default(),
        domain_lost: AtomicBool::new(false),
        fault: options.fault,
        entry_requests: AtomicUsize::new(0),
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
    async_io::block_on(send_schedule(&load_run, &ex, &schedule, options, started));
    let duration = started.elapsed();
    stop.close();
    for thread in threads {
        let _ = thread.join();
    }
    drop(ex);
    let totals = RunTotals {
        floor: recompute_floor(profile, &schedule),
        engines: load_run.system.engine_totals(),
        services: load_run
            .system
            .services
            .iter()
            .map(|s| s.stand_in.counts())
            .collect(),
        duration,
    };
    let samples = std::mem::take(&mut *lock(&load_run.samples));
    let result = LoadResult::new(options, &schedule, &samples, &totals);
    if let Some(load_run) = Arc::into_inner(load_run) {
        load_run.system.stop();
    }
    Ok(result)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn send_schedule(
    load_run: &Arc<LoadRun>,
    ex: &Arc<Executor<'static>>,
    schedule: &Schedule,
    options: &LoadOptions,
    started: Instant,
) {
    let mut tasks = Vec::new();
    // The window that `FaultPlan` documents; `LoadResult` uses the same one.
    let (fault_begin, fault_end) = (options.length.mul_f64(0.4), options.length.mul_f64(0.75));
    // Phases: 0 before the fault, 1 during it, 2 after it.
    let mut phase = 0;
    for (index, arrival) in schedule.arrivals.iter().enumerate() {
        Timer::at(started + arrival.intended_start).await;
        if phase == 0 && arrival.intended_start >= fault_begin {
            load_run.fault.begin(&load_run.system);
            let lost = load_run.fault.lost_domain().is_some();
            load_run.domain_lost.store(lost, Ordering::Relaxed);
            phase = 1;
        }
        if phase == 1 && arrival.intended_start >= fault_end {
            FaultPlan::end(&load_run.system);
            load_run.domain_lost.store(false, Ordering::Relaxed);
            phase = 2;
        }
        let (load_run, arrival) = (load_run.clone(), arrival.clone());
        let start = started + arrival.intended_start;
        tasks.push(ex.spawn(async move { load_run.send_with_retry(index, &arrival, start).await }));
    }
    for task in tasks {
        task.await;
    }
}

impl LoadRun {
    /// Sends a request, and retries it once if it is refused with a retry time.
    async fn send_with_retry(
        &self,
        arrival_index: usize,
        arrival: &Arrival,
        intended_start: Instant,
    ) {
        let mut intended_start = intended_start;
        for attempt in 0..=MAX_RETRIES {
            let (first_token, outcome) = self
                .send(arrival_index, arrival, intended_start, attempt)
                .await;
            let sample = Sample {
                arrival_index,
                is_retry: attempt > 0,
                intended_start: arrival.intended_start,
                first_token,
                time_to_end: intended_start.elapsed(),
                outcome: outcome.clone(),
            };
            lock(&self.samples).push(sample);
            match outcome {
                Outcome::Refused {
                    retry_after: Some(after),
                    ..
                } => {
                    Timer::after(after).await;
                    intended_start = Instant::now();
                }
                _ => return,
            }
        }
    }

    async fn send(
        &self,
        arrival_index: usize,
        arrival: &Arrival,
        intended_start: Instant,
        attempt: u32,
    ) -> (Option<Duration>, Outcome) {
        let chat = matches!(arrival.kind, RequestKind::Turn | RequestKind::Question);
        let mut body = if chat {
            chat_body(&self.profile, arrival)
        } else {
            Value::Null
        };
        match &self.router {
            Some(router) if chat => {
                let customer = Profile::customer_name(arrival.customer);
                let Some(engine) = router.route(&customer, &mut body) else {
                    return (None, Outcome::Broken("no engine".into()));
                };
                body["priority"] = self.profile.policy(arrival.kind).class.priority().into();
                let mut request = chat_request(engine.address(), body);
                request
                    .headers
                    .push(("x-request-id", format!("r{arrival_index}-{attempt}")));
                request.headers.push(("guavahold-weights", "w1".into()));
                self.caller.send(&request, intended_start).await
            }
            // Baseline routers serve only chats; other requests are not sent and count as done.
            Some(_) => (Some(intended_start.elapsed()), Outcome::Done),
            None => {
                let entry = self.next_entry();
                let mut request = match arrival.kind {
                    RequestKind::Turn | RequestKind::Question => chat_request(entry, body),
                    RequestKind::Booking => booking_request(entry, arrival_index),
                    RequestKind::Check => check_request(entry),
                };
                let token = Profile::bearer_token(arrival.customer);
                request
                    .headers
                    .push(("authorization", format!("Bearer {token}")));
                self.caller.send(&request, intended_start).await
            }
        }
    }

    /// Next reachable entry in round-robin order, as a load balancer chooses it.
    fn next_entry(&self) -> std::net::SocketAddr {
        let lost = self.domain_lost.load(Ordering::Relaxed);
        let lost = self.fault.lost_domain().filter(|_| lost);
        let mut live = self.system.entries.iter();
        let live: Vec<_> = live
            .by_ref()
            .filter(|e| Some(&*e.domain) != lost)
            .map(|e| e.callers)
            .collect();
        live[self.entry_requests.fetch_add(1, Ordering::Relaxed) % live.len()]
    }
}

fn chat_request(address: std::net::SocketAddr, body: Value) -> LoadRequest {
    LoadRequest {
        address,
        method: Method::Post,
        path: "/v1/chat/completions".into(),
        headers: Vec::new(),
        body,
    }
}

fn booking_request(address: std::net::SocketAddr, arrival_index: usize) -> LoadRequest {
    let key = uuid::Uuid::now_v7().to_string();
    LoadRequest {
        address,
        method: Method::Post,
        path: "/services/desk/bookings".into(),
        headers: vec![("idempotency-key", key)],
        body: json!({"booking": arrival_index}),
    }
}

fn check_request(address: std::net::SocketAddr) -> LoadRequest {
    LoadRequest {
        address,
        method: Method::Get,
        path: "/services/desk/calendar".into(),
        headers: Vec::new(),
        body: Value::Null,
    }
}
