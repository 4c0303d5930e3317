//! Order and pace of transfers on a store's link.

use std::collections::BTreeMap;
use std::time::Duration;

use guavahold::prelude::Name;
use guavahold::store::link::{Pacer, PacerConfig, Start, TransferId, Urgency};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const MB: u64 = 1_000_000;

fn config() -> PacerConfig {
    PacerConfig {
        bytes_per_second: MB,
        in_flight_bytes: 100 * MB,
        in_flight: 64,
        max_wait: Duration::from_secs(30),
    }
}

/// A pacer whose transfers ask for their next bytes as soon as they may.
struct Line {
    pacer: Pacer,
    now: Duration,
    left: BTreeMap<TransferId, u64>,
    started: BTreeMap<TransferId, Duration>,
    moved: BTreeMap<TransferId, u64>,
    ended: BTreeMap<TransferId, Duration>,
}

impl Line {
    fn new(cfg: PacerConfig) -> Self {
        Self {
            pacer: Pacer::new(cfg),
            now: Duration::ZERO,
            left: BTreeMap::new(),
            started: BTreeMap::new(),
            moved: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    fn open(&mut self, id: u64, customer: &str, urgency: Urgency, bytes: u64) {
        let (id, customer) = (TransferId(id), Name::from(customer));
        self.left.insert(id, bytes);
        let opened = self.pacer.open(self.now, id, &customer, urgency, bytes);
        opened.unwrap();
        self.poll();
    }

    fn poll(&mut self) {
        let mut grants = Vec::new();
        loop {
            self.pacer.poll(self.now, &mut grants);
            if grants.is_empty() {
                return;
            }
            for grant in std::mem::take(&mut grants) {
                self.take(grant);
            }
        }
    }

    fn take(&mut self, grant: Start) {
        let id = match grant {
            Start::Transfer(id) => {
                self.started.insert(id, self.now);
                id
            }
            Start::Bytes(id, bytes) => {
                *self.left.get_mut(&id).unwrap() -= bytes;
                *self.moved.entry(id).or_default() += bytes;
                id
            }
        };
        match self.left[&id] {
            0 => {
                self.ended.insert(id, self.now);
                self.pacer.close(id);
            }
            left => self.pacer.ask(id, left),
        }
    }

    /// Lets time pass until `end` or until nothing waits.
    fn run_until(&mut self, end: Duration) {
        while let Some(at) = self.pacer.next_at().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.poll();
        }
        self.now = end;
    }

    fn moved(&self, id: u64) -> u64 {
        self.moved.get(&TransferId(id)).copied().unwrap_or(0)
    }

    fn ended_ms(&self, id: u64) -> u128 {
        self.ended[&TransferId(id)].as_millis()
    }
}

#[test]
fn pacer_keeps_the_rate() {
    let mut line = Line::new(config());
    for id in 0..10 {
        line.open(id, "barbers", Urgency::Interactive, MB);
    }
    line.run_until(Duration::from_secs(4));
    let moved: u64 = (0..10).map(|id| line.moved(id)).sum();
    let spare = 2 * line.pacer.quantum() + MB / 500;
    assert!(
        moved.abs_diff(4 * MB) <= spare,
        "moved {moved} bytes in 4 s"
    );
}

#[test]
fn pacer_interactive_overtakes_background() {
    let mut line = Line::new(config());
    for id in 0..5 {
        line.open(id, "barbers", Urgency::Background, 2 * MB);
    }
    line.run_until(Duration::from_secs(1));
    line.open(9, "barbers", Urgency::Interactive, MB);
    line.run_until(Duration::from_secs(20));
    let took = line.ended_ms(9) - 1000;
    assert!(
        (1000..1100).contains(&took),
        "an idle link takes 1000 ms, this took {took} ms"
    );
}

#[test]
fn pacer_background_is_not_starved() {
    let mut line = Line::new(config());
    line.open(0, "barbers", Urgency::Background, MB);
    for id in 1..30 {
        line.open(id, "barbers", Urgency::Interactive, MB);
    }
    line.run_until(Duration::from_secs(16));
    let moved = line.moved(0);
    assert!(
        (900_000..=MB).contains(&moved),
        "one byte in 16, moved {moved}"
    );
}

#[test]
fn pacer_customers_share_fairly() {
    let mut line = Line::new(config());
    for id in 0..20 {
        line.open(id, "large", Urgency::Interactive, MB);
    }
    line.run_until(Duration::from_millis(500));
    line.open(90, "small", Urgency::Interactive, MB);
    line.run_until(Duration::from_secs(5));
    let took = line.ended_ms(90) - 500;
    assert!(
        (1900..2100).contains(&took),
        "half of the link takes 2000 ms, this took {took} ms"
    );
}

#[test]
fn pacer_predicts_the_wait() {
    let mut line = Line::new(config());
    for id in 0..20 {
        line.open(id, "large", Urgency::Interactive, MB);
    }
    let small = line
        .pacer
        .queue_bytes(line.now, "small", Urgency::Interactive, MB);
    assert!(
        small.abs_diff(MB) <= 10_000,
        "overtakes all but its own size, {small}"
    );
    let large = line
        .pacer
        .queue_bytes(line.now, "large", Urgency::Interactive, MB);
    assert!(
        large.abs_diff(20 * MB) <= 10_000,
        "stands behind its own, {large}"
    );
}

#[test]
fn pacer_refuses_a_long_wait() {
    let mut line = Line::new(config());
    for id in 0..31 {
        line.open(id, "large", Urgency::Background, MB);
    }
    let large = Name::from("large");
    let now = line.now;
    let refused = line
        .pacer
        .open(now, TransferId(99), &large, Urgency::Background, MB);
    assert_eq!(refused.unwrap_err().as_secs(), 31);
    let small = Name::from("small");
    let opened = line
        .pacer
        .open(now, TransferId(98), &small, Urgency::Background, MB);
    assert!(opened.is_ok(), "another customer overtakes");
}

#[test]
fn pacer_bounds_bytes_in_flight() {
    let cfg = PacerConfig {
        in_flight_bytes: 4 * MB,
        ..config()
    };
    let mut line = Line::new(cfg);
    for id in 0..6 {
        line.open(id, "barbers", Urgency::Background, MB);
    }
    assert_eq!(
        line.started.len(),
        2,
        "half is left to interactive transfers"
    );
    for id in 10..16 {
        line.open(id, "barbers", Urgency::Interactive, MB);
    }
    assert_eq!(line.started.len(), 4);
    line.run_until(Duration::from_secs(30));
    assert_eq!(line.ended.len(), 12, "all end");
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Whatever comes and goes, every transfer that stays ends and none moves more than it has.
    #[test]
    fn pacer_random_runs(
        steps in proptest::collection::vec(
            (0..4_u8, any::<bool>(), 0..MB / 4, 0..400_u64, proptest::option::of(0..40_u64)),
            1..40,
        )
    ) {
        let cfg = PacerConfig { max_wait: Duration::from_hours(1), in_flight: 3, ..config() };
        let mut line = Line::new(cfg);
        let mut open: Vec<u64> = Vec::new();
        for (id, (customer, interactive, bytes, pause, leaver)) in (0..).zip(steps) {
            let urgency = if interactive { Urgency::Interactive } else { Urgency::Background };
            line.open(id, &format!("customer-{customer}"), urgency, bytes);
            open.push(id);
            line.run_until(line.now + Duration::from_millis(pause));
            if let Some(leaver) = leaver.filter(|l| *l <= id) {
                line.pacer.close(TransferId(leaver));
                open.retain(|o| *o != leaver);
                line.poll();
            }
        }
        line.run_until(Duration::from_hours(1));
        for id in open {
            prop_assert_eq!(line.left[&TransferId(id)], 0, "transfer {} ends", id);
        }
        prop_assert!(line.pacer.is_empty());
        let none = line.pacer.queue_bytes(line.now, "customer-0", Urgency::Interactive, MB);
        prop_assert_eq!(none, 0, "no backlog is left");
    }
}
