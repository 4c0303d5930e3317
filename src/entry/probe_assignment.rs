//! Assigns the probing of targets to entries, and selects the load updates that an entry sends.

use std::collections::{HashMap, HashSet};

use crate::peer::{LoadUpdate, PeerInfo, rendezvous_rank};
use crate::prelude::*;
use crate::scheduler::TargetInfo;
use crate::target::LoadReport;

/// Number of entries that probe each target.
const PROBERS_PER_TARGET: usize = 2;
/// Age of the last update about a target after which an unassigned entry probes it itself.
const MAX_UPDATE_AGE: Duration = Duration::from_millis(1_500);
/// Most updates in one message, so that a round sends about one kilobyte to each peer.
const MAX_UPDATES_PER_MESSAGE: usize = 32;
/// Time after which an unchanged report is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Divides the probing of targets among the live entries of their failure domain.
///
/// Rendezvous hashing ranks the entries of a target's failure domain, or all entries while that
/// domain has none, and the first two probe the target; peers that drain are left out. The others
/// rely on the updates of these two, and probe the target themselves only when no update arrives.
/// Entries that disagree on which peers are live cause at most superfluous probes.
#[derive(Debug)]
pub struct ProbeAssignment {
    name: Name,
    domain: Name,
    assigned: HashSet<Name>,
    /// When each target was last reported by a peer or probed by this entry.
    last_updates: HashMap<Name, Timestamp>,
    /// Report of each target that was last sent to peers, and when.
    last_sent: HashMap<Name, (LoadReport, Timestamp)>,
}

impl ProbeAssignment {
    /// Makes the assignment of the entry `name`, which has no targets until [`Self::assign`].
    #[must_use]
    pub fn new(name: Name, domain: Name) -> Self {
        Self {
            name,
            domain,
            assigned: HashSet::new(),
            last_updates: HashMap::new(),
            last_sent: HashMap::new(),
        }
    }

    /// Recomputes which targets this entry probes, from its live peers and all targets.
    pub fn assign<'a>(
        &mut self,
        peers: &[PeerInfo],
        targets: impl IntoIterator<Item = &'a TargetInfo>,
    ) {
        self.assigned.clear();
        let mut listed = HashSet::new();
        for target in targets {
            if self.is_assigned(peers, target) {
                self.assigned.insert(target.name.clone());
            }
            listed.insert(target.name.clone());
        }
        self.last_updates.retain(|name, _| listed.contains(name));
        self.last_sent.retain(|name, _| listed.contains(name));
    }

    /// Whether this entry is one of the probers of `target`.
    fn is_assigned(&self, peers: &[PeerInfo], target: &TargetInfo) -> bool {
        let not_draining = |p: &&PeerInfo| !p.draining;
        let in_domain = |p: &&PeerInfo| p.domain == target.domain;
        let own_domain = self.domain == target.domain;
        let domain_has_entries =
            own_domain || peers.iter().filter(not_draining).any(|p| in_domain(&p));
        if domain_has_entries && !own_domain {
            return false;
        }
        let others = peers.iter().filter(not_draining);
        let others = others.filter(|p| !domain_has_entries || in_domain(p));
        rendezvous_rank(&target.name, &self.name, others.map(|p| &*p.name)) < PROBERS_PER_TARGET
    }

    /// Whether this entry must probe a target now.
    #[must_use]
    pub fn is_due(&self, now: Timestamp, target: &str) -> bool {
        if self.assigned.contains(target) {
            return true;
        }
        let last_update = self.last_updates.get(target);
        last_update.is_none_or(|at| now >= *at + MAX_UPDATE_AGE)
    }

    /// Records that a peer sent an update about a target, or that this entry probed it.
    pub fn record_update(&mut self, now: Timestamp, target: &Name) {
        self.last_updates.insert(target.clone(), now);
    }

    /// Selects the updates to send to peers: assigned targets whose report changed or is due to be
    /// sent again, those never sent or sent longest ago first. What exceeds one message is left for
    /// the next round.
    pub fn due_updates(
        &mut self,
        now: Timestamp,
        reports: impl IntoIterator<Item = (Name, LoadReport)>,
    ) -> Vec<LoadUpdate> {
        let mut due: Vec<(Option<Timestamp>, Name, LoadReport)> = Vec::new();
        for (name, report) in reports {
            let last_sent = self.last_sent.get(&name);
            let needs_sending =
                last_sent.is_none_or(|(old, at)| *old != report || now >= *at + RESEND_INTERVAL);
            if needs_sending && self.assigned.contains(&name) {
                due.push((last_sent.map(|(_, at)| *at), name, report));
            }
        }
        due.sort_by(|a, b| (&a.0, &a.1).cmp(&(&b.0, &b.1)));
        due.truncate(MAX_UPDATES_PER_MESSAGE);
        due.into_iter()
            .map(|(_, name, report)| self.make_update(now, name, report))
            .collect()
    }

    /// Makes an update, which carries the full report only if more than the load has changed.
    fn make_update(&mut self, now: Timestamp, name: Name, report: LoadReport) -> LoadUpdate {
        let last_sent = self.last_sent.insert(name.clone(), (report.clone(), now));
        let load_only = last_sent.is_some_and(|(old, _)| {
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
