//! An entry, two hubs and the links between them.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::Receiver;
use async_executor::Executor;
use async_io::Timer;
use guavahold::domain_scheduler::{
    DomainCapacity, DomainHub, DomainScheduler, SchedulerCall, SchedulerClient, SchedulerReply,
};
use guavahold::prelude::Name;
use guavahold::scheduler::{Effect, Event, Placement, Scheduler, SchedulerSettings, Signal};
use guavahold::shared_scheduler::{QuarantineNotices, SharedScheduler};

use crate::disturbance;
use crate::ledger::Ledger;
use crate::links::{Direction, EntryLinks, LinkState, hub_name};
use crate::simulation::{report, target};

pub const HUBS: usize = 2;
pub const TARGETS_PER_HUB: usize = 2;
pub const SLOTS: u32 = 16;
/// Name of the entry at its hubs.
pub const ENTRY: &str = "entry";
/// Requests that are remembered as dispatched last.
const LATEST_DISPATCHED: usize = 12;
const PROBE_TIME: Duration = Duration::from_millis(3);
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Everything that the requests of a play share.
pub struct World {
    pub client: Arc<SchedulerClient>,
    /// The entry's own scheduler.
    pub own: Arc<SharedScheduler>,
    pub hubs: Vec<Arc<DomainScheduler>>,
    pub links: EntryLinks,
    pub ledger: Ledger,
    pub ex: Arc<Executor<'static>>,
    /// Number of requests so far.
    pub arrived: AtomicU64,
    /// The requests that were dispatched last, the latest at the end.
    dispatched: Mutex<VecDeque<u64>>,
}

pub fn domain(n: usize) -> Name {
    format!("domain-{n}").into()
}

/// Makes a scheduler for the targets of failure domains, whose probes succeed after a moment.
fn scheduler(domains: &[usize], ex: &Arc<Executor<'static>>) -> Arc<SharedScheduler> {
    let settings = SchedulerSettings {
        placement: Placement::LeastWork,
        hedging: false,
        ..SchedulerSettings::new("domain-0".into())
    };
    let (control, probes) = async_channel::unbounded();
    let notices = Arc::new(QuarantineNotices::default());
    let scheduler = SharedScheduler::new(Scheduler::new(settings), control, notices);
    let scheduler = Arc::new(scheduler);
    for event in listing(domains) {
        scheduler.submit(event);
    }
    ex.spawn(answer_probes(scheduler.clone(), probes)).detach();
    scheduler
}

async fn answer_probes(scheduler: Arc<SharedScheduler>, probes: Receiver<Effect>) {
    while let Ok(effect) = probes.recv().await {
        Timer::after(PROBE_TIME).await;
        if let Effect::Probe { target, .. } = effect {
            let signal = Signal::Reachable;
            scheduler.submit(Event::Signal { target, signal });
        }
    }
}

/// Events that list the targets of failure domains and report their slots.
pub fn listing(domains: &[usize]) -> Vec<Event> {
    let targets = domains
        .iter()
        .flat_map(|d| (0..TARGETS_PER_HUB).map(move |n| (*d, n)));
    let named: Vec<_> = targets
        .map(|(d, n)| (format!("t-{d}-{n}"), domain(d)))
        .collect();
    let list = named.iter().map(|(name, domain)| target(name, domain));
    let reports = named.iter().map(|(name, _)| Event::Report {
        target: name.as_str().into(),
        report: report(SLOTS),
    });
    [Event::Targets(list.collect())]
        .into_iter()
        .chain(reports)
        .collect()
}

impl World {
    /// Makes an entry with two hubs, and starts their tasks.
    pub fn start(seed: u64, ex: &Arc<Executor<'static>>) -> Arc<Self> {
        let states: Vec<Arc<LinkState>> = (0..HUBS).map(|_| Arc::default()).collect();
        let links = EntryLinks {
            calls: states.iter().cloned().map(Direction::new).collect(),
            replies: states.iter().cloned().map(Direction::new).collect(),
        };
        let own = scheduler(&[0, 1], ex);
        let client = SchedulerClient::new(own.clone());
        client.set_links(Box::new(links.clone()));
        let mut hubs = Vec::new();
        let mut decisions = Vec::new();
        for n in 0..HUBS {
            let (tx, rx) = async_channel::unbounded();
            let hub = DomainScheduler::new(scheduler(&[n], ex), tx);
            hub.set_serving(true);
            hubs.push(Arc::new(hub));
            decisions.push(rx);
        }
        let world = Arc::new(Self {
            client: Arc::new(client),
            own,
            hubs,
            links,
            ledger: Ledger::default(),
            ex: ex.clone(),
            arrived: AtomicU64::new(0),
            dispatched: Mutex::default(),
        });
        world.name_hubs();
        world.start_tasks(seed, decisions);
        world
    }

    /// Tells the entry of its hubs and their capacity.
    pub fn name_hubs(&self) {
        let hub = |n: usize| DomainHub {
            domain: domain(n),
            entry: hub_name(n).into(),
            queued: 0,
        };
        let capacity = |n: usize| DomainCapacity {
            domain: domain(n),
            serves: "chat".into(),
            slots: SLOTS * 2,
            requests: 0,
        };
        self.client.set_hubs((0..HUBS).map(hub).collect());
        self.client
            .set_capacities((0..HUBS).map(capacity).collect());
    }

    fn start_tasks(self: &Arc<Self>, seed: u64, decisions: Vec<Receiver<Effect>>) {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
        for (n, decisions) in decisions.into_iter().enumerate() {
            let world = self.clone();
            let calls = move |call| world.on_call(n, call);
            self.spawn(self.links.calls[n].clone().deliver(rng.fork(), calls));
            let world = self.clone();
            let replies = move |reply| world.client.on_reply(&hub_name(n), reply);
            self.spawn(self.links.replies[n].clone().deliver(rng.fork(), replies));
            self.spawn(self.clone().run_decisions(n, decisions));
        }
        self.spawn(self.clone().tick());
        self.spawn(disturbance::run(self.clone(), rng.fork()));
    }

    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.ex.spawn(task).detach();
    }

    fn on_call(&self, hub: usize, call: SchedulerCall) {
        let now = self.own.now();
        let reply = self.hubs[hub].on_call(now, &ENTRY.into(), call);
        if let Some(reply) = reply {
            self.reply(hub, reply);
        }
    }

    pub fn reply(&self, hub: usize, reply: SchedulerReply) {
        self.links.replies[hub].send(reply);
    }

    async fn run_decisions(self: Arc<Self>, hub: usize, decisions: Receiver<Effect>) {
        while let Ok(effect) = decisions.recv().await {
            if let Some((_, reply)) = self.hubs[hub].reply(effect) {
                self.reply(hub, reply);
            }
        }
    }

    async fn tick(self: Arc<Self>) {
        loop {
            Timer::after(TICK_INTERVAL).await;
            self.own.submit(Event::Tick);
            for (n, hub) in self.hubs.iter().enumerate() {
                hub.scheduler.submit(Event::Tick);
                for (_, reply) in hub.expire(self.own.now()) {
                    self.reply(n, reply);
                }
            }
        }
    }

    /// Submits an event to all schedulers.
    pub fn submit(&self, event: &Event) {
        self.own.submit(event.clone());
        for hub in &self.hubs {
            hub.scheduler.submit(event.clone());
        }
    }

    pub fn record_dispatch(&self, id: u64) {
        let mut dispatched = self.dispatched.lock().unwrap();
        dispatched.push_back(id);
        if dispatched.len() > LATEST_DISPATCHED {
            dispatched.pop_front();
        }
    }

    /// One of the requests that were dispatched last.
    pub fn dispatched(&self, rng: &mut fastrand::Rng) -> Option<u64> {
        let dispatched = self.dispatched.lock().unwrap();
        let at = rng.usize(..dispatched.len().max(1));
        dispatched.get(at).copied()
    }

    pub fn is_live(&self, hub: usize) -> bool {
        !self.links.calls[hub].state.is_down.load(Ordering::Relaxed)
    }
}
