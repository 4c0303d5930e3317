//! The scheduler of a failure domain and its clients, without a network: what entries that die, hubs
//! that are silent, and two hubs at once mean for requests.

#[path = "domain_scheduler/choice.rs"]
mod choice;
#[path = "domain_scheduler/client.rs"]
mod client;
#[path = "domain_scheduler/server.rs"]
mod server;
#[path = "scheduler/simulation.rs"]
#[allow(dead_code)]
mod simulation;
#[path = "domain_scheduler/stray_decisions.rs"]
mod stray_decisions;

use guavahold::domain_scheduler::DomainCapacity;
use guavahold::prelude::*;
use guavahold::scheduler::{Event, Placement, Scheduler, SchedulerSettings};
use guavahold::shared_scheduler::{QuarantineNotices, SharedScheduler};
use simulation::{report, target};

/// Timeout of requests, in milliseconds.
const TIMEOUT_MS: u64 = 10_000;

fn scheduler(targets: &[&str], slots: u32) -> Arc<SharedScheduler> {
    let settings = SchedulerSettings {
        placement: Placement::LeastWork,
        hedging: false,
        ..SchedulerSettings::new("domain-0".into())
    };
    let (control, _) = async_channel::unbounded();
    let notices = Arc::new(QuarantineNotices::default());
    let scheduler = SharedScheduler::new(Scheduler::new(settings), control, notices);
    let list = targets.iter().map(|name| target(name, "domain-0"));
    scheduler.submit(Event::Targets(list.collect()));
    for name in targets {
        scheduler.submit(Event::Report {
            target: (*name).into(),
            report: report(slots),
        });
    }
    Arc::new(scheduler)
}

fn capacity(domain: &str, slots: u32, requests: u32) -> DomainCapacity {
    DomainCapacity {
        domain: domain.into(),
        serves: "chat".into(),
        slots,
        requests,
    }
}
