//! Entries that exchange statuses over links with faults, fetch a part of version 1, and free it
//! once version 2 is declared. Times in milliseconds.

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;
use guavahold::context_store::{FETCH_TIMEOUT, RetiredVersions, RetirementTracker};
use guavahold::name_hash::name_hash;
use guavahold::peer::{RoundTrip, RoundTripClock};
use guavahold::prelude::Name;

/// Interval between two steps of the simulation.
const STEP: u64 = 50;
const STEPS: u64 = 600;
/// The version whose context is fetched, and a part of the half that is retired last.
const OLD_VERSION: u64 = 1;
const LATE_PART: &str = "p";
/// Clocks of VMs run up to this share faster or slower.
const CLOCK_ERROR: f64 = 0.01;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct SimulationCfg {
    pub entries: usize,
    /// Whether links are cut, messages delayed and doubled, and entries stopped and restarted.
    pub faults: bool,
    /// Whether the last entry is cut off from all others throughout.
    pub silent_entry: bool,
    /// Whether the last entry joins later.
    pub newcomer: bool,
}

impl Default for SimulationCfg {
    fn default() -> Self {
        Self {
            entries: 5,
            faults: true,
            silent_entry: false,
            newcomer: false,
        }
    }
}

/// What was seen.
#[derive(Debug, Default)]
pub struct Outcome {
    pub fetches: usize,
    pub frees: usize,
    /// Frees during a fetch.
    broken: Vec<String>,
}

impl Outcome {
    pub fn assert_sound(&self, seed: u64) {
        assert!(self.broken.is_empty(), "seed {seed}: {:?}", self.broken);
    }
}

struct Entry {
    name: Name,
    tracker: RetirementTracker,
    clock: RoundTripClock,
    /// Its clock: offset and rate.
    offset: f64,
    rate: f64,
    knows_new_version: bool,
    /// Whether it knows the entry that joins, from the list or because they met.
    knows_newcomer: bool,
    reaches_store: bool,
    stands_still_until: u64,
    /// End of its last fetch, which a target runs.
    fetching_until: u64,
    /// Whether it may fetch until the time given, as last computed; it may go by that after it stood
    /// still.
    fetch_until: Duration,
}

struct Message {
    from: usize,
    arrives: u64,
    retired: RetiredVersions,
    counts: bool,
    round_trip: RoundTrip,
}

pub struct Simulation {
    cfg: SimulationCfg,
    rng: Rng,
    now: u64,
    declared: bool,
    /// When the last entry is listed.
    joins_at: u64,
    entries: Vec<Entry>,
    /// Messages under way, by receiver.
    messages: Vec<Vec<Message>>,
    /// Links that carry nothing, by direction.
    cut: BTreeSet<(usize, usize)>,
    outcome: Outcome,
}

impl Entry {
    fn start(n: usize, now: u64, rng: &mut Rng) -> Self {
        let name = Name::from(format!("entry-{n}"));
        let mut entry = Self {
            tracker: RetirementTracker::default(),
            clock: RoundTripClock::new(&name, rng.u64(..)),
            name,
            offset: f64::from(rng.u32(10_000..90_000)),
            rate: 1.0 + CLOCK_ERROR * (2.0 * rng.f64() - 1.0),
            knows_new_version: false,
            knows_newcomer: false,
            reaches_store: true,
            stands_still_until: 0,
            fetching_until: 0,
            fetch_until: Duration::ZERO,
        };
        entry.tracker = RetirementTracker::started_at(entry.time(now));
        entry
    }

    fn time(&self, now: u64) -> Duration {
        let now = f64::from(u32::try_from(now).unwrap());
        Duration::from_secs_f64((self.offset + now * self.rate) / 1_000.0)
    }
}

impl Simulation {
    pub fn play(cfg: &SimulationCfg, seed: u64) -> Outcome {
        let mut rng = Rng::with_seed(seed);
        let entries = (0..cfg.entries).map(|n| Entry::start(n, 0, &mut rng));
        let mut simulation = Self {
            entries: entries.collect(),
            cfg: *cfg,
            rng,
            now: 0,
            declared: false,
            joins_at: 0,
            messages: (0..cfg.entries).map(|_| Vec::new()).collect(),
            cut: BTreeSet::new(),
            outcome: Outcome::default(),
        };
        for entry in &mut simulation.entries {
            let now = entry.time(0);
            entry.tracker.recall(now, OLD_VERSION);
        }
        if cfg.newcomer {
            let joins_at = simulation.rng.u64(..STEPS * STEP / 2);
            let late = simulation.entries.last_mut().unwrap();
            late.stands_still_until = joins_at;
            simulation.joins_at = joins_at;
        }
        let declared_at = simulation.rng.u64(STEPS / 10..STEPS / 2);
        for step in 0..STEPS {
            simulation.now += STEP;
            simulation.declared |= step >= declared_at;
            simulation.step();
        }
        simulation.outcome
    }

    fn step(&mut self) {
        if self.cfg.faults {
            self.disturb();
        }
        for n in 0..self.entries.len() {
            if self.entries[n].stands_still_until > self.now {
                continue;
            }
            // An entry that stood still may decide on requests before it reads what has arrived.
            if self.rng.bool() {
                self.fetch(n);
            }
            self.receive(n);
            self.read_store(n);
            self.refresh_lease(n);
            self.fetch(n);
            self.free(n);
            self.send(n);
        }
    }

    fn disturb(&mut self) {
        let entries = self.entries.len();
        let n = self.rng.usize(..entries);
        match self.rng.u32(..120) {
            0 => {
                let until = self.now + self.rng.u64(100..12_000);
                let entry = &mut self.entries[n];
                entry.stands_still_until = until.max(entry.stands_still_until);
            }
            1 => self.restart(n),
            2 => {
                // Several restart one after the other.
                let first = self.rng.usize(..entries);
                (first..entries).for_each(|n| self.restart(n));
            }
            3 => self.cut_off(n),
            4 => self.split(),
            5 => {
                self.cut.clear();
                self.entries.iter_mut().for_each(|e| e.reaches_store = true);
            }
            6 => self.entries[n].reaches_store = false,
            _ => {}
        }
    }

    /// Cuts an entry off from some others, in one direction or both.
    fn cut_off(&mut self, n: usize) {
        for other in (0..self.entries.len()).filter(|other| *other != n) {
            if self.rng.u32(..4) > 0 {
                self.cut.insert((n, other));
            }
            if self.rng.u32(..4) > 0 {
                self.cut.insert((other, n));
            }
        }
    }

    /// Cuts two groups of entries off from each other; only one of them reaches the store.
    fn split(&mut self) {
        let group: Vec<bool> = self.entries.iter().map(|_| self.rng.bool()).collect();
        for (a, in_group) in group.iter().enumerate() {
            self.entries[a].reaches_store = *in_group;
            let others = group
                .iter()
                .enumerate()
                .filter(|(_, other)| *other != in_group);
            self.cut.extend(others.map(|(b, _)| (a, b)));
        }
    }

    /// A new process of an entry reads the store at once if it reaches it.
    fn restart(&mut self, n: usize) {
        let Entry {
            fetching_until,
            reaches_store,
            knows_newcomer,
            ..
        } = self.entries[n];
        let is_late = n + 1 == self.entries.len();
        if is_late && self.now < self.joins_at {
            return;
        }
        let mut entry = Entry::start(n, self.now, &mut self.rng);
        entry.fetching_until = fetching_until;
        entry.reaches_store = reaches_store;
        entry.knows_newcomer = knows_newcomer;
        if reaches_store {
            entry.knows_new_version = self.declared;
            let now = entry.time(self.now);
            entry.tracker.recall(now, self.newest());
        }
        self.entries[n] = entry;
    }

    fn newest(&self) -> u64 {
        OLD_VERSION + u64::from(self.declared)
    }

    fn is_silent(&self, n: usize) -> bool {
        self.cfg.silent_entry && n + 1 == self.entries.len()
    }

    fn receive(&mut self, n: usize) {
        let now = self.now;
        let (arrived, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages[n])
            .into_iter()
            .partition(|m| m.arrives <= now);
        self.messages[n] = waiting;
        for message in arrived {
            let from = self.entries[message.from].name.clone();
            let is_late = message.from + 1 == self.entries.len();
            let entry = &mut self.entries[n];
            entry.knows_newcomer |= is_late;
            let made_after = entry.clock.record(&from, &message.round_trip);
            entry.tracker.retire(message.retired);
            if let Some(made_after) = made_after.filter(|_| message.counts) {
                let tracker = &mut entry.tracker;
                tracker.record_report(made_after, name_hash(&from), message.retired);
            }
        }
    }

    /// An entry learns of the new version some time after its declaration, and retires the old one.
    fn read_store(&mut self, n: usize) {
        let is_noticed = self.rng.u32(..20) == 0;
        let learns = self.declared && !self.is_silent(n) && is_noticed;
        let entry = &mut self.entries[n];
        let learns = learns && entry.reaches_store;
        entry.knows_newcomer |= is_noticed && entry.reaches_store && self.joins_at <= self.now;
        entry.knows_new_version |= learns;
        if entry.knows_new_version {
            let newest = OLD_VERSION + 1;
            entry.tracker.retire(RetiredVersions {
                all_below: newest,
                half_below: newest,
            });
        }
    }

    /// The other entries that an entry knows.
    fn others(&self, n: usize) -> Vec<Name> {
        let late = self.entries.len() - 1;
        let knows_late = self.entries[n].knows_newcomer || self.joins_at == 0;
        let others = self.entries.iter().enumerate();
        let others = others.filter(|(other, _)| *other != n && (*other != late || knows_late));
        others.map(|(_, entry)| entry.name.clone()).collect()
    }

    fn refresh_lease(&mut self, n: usize) {
        let others = self.others(n);
        let entry = &mut self.entries[n];
        let lease = entry
            .tracker
            .fetch_lease(entry.time(self.now), Some(&others));
        entry.fetch_until = lease.until.unwrap_or_default();
    }

    fn fetch(&mut self, n: usize) {
        let entry = &mut self.entries[n];
        let is_retired = entry.tracker.retired().covers(OLD_VERSION, LATE_PART);
        if entry.time(self.now) >= entry.fetch_until || is_retired {
            return;
        }
        let timeout = u64::try_from(FETCH_TIMEOUT.as_millis()).unwrap();
        entry.fetching_until = self.now + timeout;
        self.outcome.fetches += 1;
    }

    fn free(&mut self, n: usize) {
        let others = self.others(n);
        let entry = &mut self.entries[n];
        let freeable = entry.tracker.freeable(entry.time(self.now), &others);
        if !freeable.covers(OLD_VERSION, LATE_PART) {
            return;
        }
        self.outcome.frees += 1;
        for (fetcher, entry) in self.entries.iter().enumerate() {
            if entry.fetching_until > self.now {
                let until = entry.fetching_until;
                self.outcome.broken.push(format!(
                    "entry {n} frees at {} what entry {fetcher} fetches until {until}",
                    self.now
                ));
            }
        }
    }

    fn send(&mut self, n: usize) {
        if self.is_silent(n) {
            return;
        }
        let others = self.others(n);
        let entry = &self.entries[n];
        let now = entry.time(self.now);
        let (retired, counts) = (entry.tracker.retired(), entry.tracker.counts(now));
        let round_trip = entry.clock.round_trip(now, &others);
        let receivers = (0..self.entries.len()).filter(|to| *to != n);
        let receivers: Vec<usize> = receivers.filter(|to| !self.is_silent(*to)).collect();
        for to in receivers {
            if self.cut.contains(&(n, to)) {
                continue;
            }
            let copies = 1 + usize::from(self.cfg.faults && self.rng.u32(..50) == 0);
            for _ in 0..copies {
                let message = Message {
                    from: n,
                    arrives: self.now + self.delay(),
                    retired,
                    counts,
                    round_trip: round_trip.clone(),
                };
                self.messages[to].push(message);
            }
        }
    }

    /// Messages arrive soon, or much later.
    fn delay(&mut self) -> u64 {
        match self.rng.u32(..40) {
            0 if self.cfg.faults => self.rng.u64(..10_000),
            _ => self.rng.u64(..60),
        }
    }
}
