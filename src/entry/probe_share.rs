//! Which entries probe which targets, and what they tell each other of the load.

use std::collections::{HashMap, HashSet};

use crate::peer::{LoadUpdate, PeerInfo, rendezvous_rank};
use crate::prelude::*;
use crate::scheduler::TargetInfo;
use crate::target::LoadReport;

/// Entries that probe each target.
const PROBERS: usize = 2;
/// Age of a peer's word after which an entry probes a target itself.
const STALE: Duration = Duration::from_millis(1_500);
/// Targets told of in one message, so that a round stays near a kilobyte for each peer.
const WORDS: usize = 32;
/// Time after which an unchanged report is told again.
const REPEAT: Duration = Duration::from_secs(1);

/// Shares the probing of targets among the live entries of their failure domain.
///
/// Each target is probed by the first two entries of its domain by rendezvous hashing, or of all
/// entries while its domain has none; the others take their word and probe by themselves only when
/// they hear nothing. Two views of who is live cost at most a probe too many.
#[derive(Debug)]
pub struct ProbeShare {
    name: Name,
    domain: Name,
    assigned: HashSet<Name>,
    heard: HashMap<Name, Timestamp>,
    told: HashMap<Name, (LoadReport, Timestamp)>,
}

impl ProbeShare {
    /// Makes the share of one entry, which probes nothing yet.
    #[must_use]
    pub fn new(name: Name, domain: Name) -> Self {
        Self {
            name,
            domain,
            assigned: HashSet::new(),
            heard: HashMap::new(),
            told: HashMap::new(),
        }
    }

    /// Takes over who is live and which targets there are.
    pub fn assign<'a>(
        &mut self,
        peers: &[PeerInfo],
        targets: impl IntoIterator<Item = &'a TargetInfo>,
    ) {
        self.assigned.clear();
        let mut listed = HashSet::new();
        for target in targets {
            if self.is_mine(peers, target) {
                self.assigned.insert(target.name.clone());
            }
            listed.insert(target.name.clone());
        }
        self.heard.retain(|name, _| listed.contains(name));
        self.told.retain(|name, _| listed.contains(name));
    }

    fn is_mine(&self, peers: &[PeerInfo], target: &TargetInfo) -> bool {
        let live = |p: &&PeerInfo| !p.draining;
        let in_domain = |p: &&PeerInfo| p.domain == target.domain;
        let own_domain = self.domain == target.domain;
        let staffed = own_domain || peers.iter().filter(live).any(|p| in_domain(&p));
        if staffed && !own_domain {
            return false;
        }
        let others = peers.iter().filter(live);
        let others = others.filter(|p| !staffed || in_domain(p));
        rendezvous_rank(&target.name, &self.name, others.map(|p| &*p.name)) < PROBERS
    }

    /// Tells whether this entry probes a target now.
    #[must_use]
    pub fn is_due(&self, now: Timestamp, target: &str) -> bool {
        if self.assigned.contains(target) {
            return true;
        }
        let heard = self.heard.get(target);
        heard.is_none_or(|at| now >= *at + STALE)
    }

    /// Notes that a peer told of a target, or that it was probed without being assigned.
    pub fn heard(&mut self, now: Timestamp, target: &Name) {
        self.heard.insert(target.clone(), now);
    }

    /// What to tell the peers of the targets probed: changed ones first told longest ago.
    pub fn words(
        &mut self,
        now: Timestamp,
        reports: impl IntoIterator<Item = (Name, LoadReport)>,
    ) -> Vec<LoadUpdate> {
        let mut due: Vec<(Option<Timestamp>, Name, LoadReport)> = Vec::new();
        for (name, report) in reports {
            let told = self.told.get(&name);
            let changed = told.is_none_or(|(old, at)| *old != report || now >= *at + REPEAT);
            if changed && self.assigned.contains(&name) {
                due.push((told.map(|(_, at)| *at), name, report));
            }
        }
        due.sort_by(|a, b| (&a.0, &a.1).cmp(&(&b.0, &b.1)));
        due.truncate(WORDS);
        due.into_iter()
            .map(|(_, name, report)| self.word(now, name, report))
            .collect()
    }

    /// A word that carries the whole report only when more than the load has changed.
    fn word(&mut self, now: Timestamp, name: Name, report: LoadReport) -> LoadUpdate {
        let told = self.told.insert(name.clone(), (report.clone(), now));
        let load_only = told.is_some_and(|(old, _)| {
            let same_load = LoadReport {
                running: report.running,
                queued: report.queued,
                queued_tokens: report.queued_tokens,
                ..old
            };
            same_load == report
        });
        LoadUpdate {
            target: name,
            running: report.running,
            queued: report.queued,
            queued_tokens: report.queued_tokens,
            full_report: (!load_only).then_some(report),
        }
    }
}
