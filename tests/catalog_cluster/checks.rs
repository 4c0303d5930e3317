//! What must hold for the entries of a simulated cluster after every step.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use super::{Cluster, TICK_STEPS};

/// Time within which an accepted note comes into force wherever a path exists.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);
/// Time after a fault begins or ends until links and watchers have settled.
const SETTLE_TIME: Duration = Duration::from_secs(5);

impl Cluster {
    /// Revision, readiness and watch of every entry.
    pub fn outcome(&self) -> Vec<String> {
        let nodes = self.nodes.iter();
        nodes
            .map(|n| {
                let ready = if n.replica.is_ready() {
                    "ready"
                } else {
                    "not ready"
                };
                let watching = if n.replica.is_watching() {
                    ", watching"
                } else {
                    ""
                };
                format!(
                    "{} {} {ready}{watching}",
                    n.name,
                    n.replica.catalog().revision
                )
            })
            .collect()
    }

    /// Entries that reach the platform directly or through linked peers.
    pub(super) fn connected_to_platform(&self) -> BTreeSet<usize> {
        let mut frontier: VecDeque<usize> = VecDeque::new();
        if !self.down {
            frontier.extend((0..self.nodes.len()).filter(|n| self.reaches_platform(*n)));
        }
        let mut seen: BTreeSet<usize> = frontier.iter().copied().collect();
        while let Some(n) = frontier.pop_front() {
            for other in 0..self.nodes.len() {
                if self.is_linked(&self.nodes[n], &self.nodes[other]) && seen.insert(other) {
                    frontier.push_back(other);
                }
            }
        }
        seen
    }

    /// Checks that every catalog in force was accepted and that no revision decreases. Once the
    /// faults have settled, also that entries with a path to the platform are ready and have each
    /// note in force in time.
    pub(super) fn check(&mut self) {
        for node in &mut self.nodes {
            let catalog = node.replica.catalog();
            let accepted = &self.catalogs[usize::try_from(catalog.revision).unwrap()];
            assert_eq!(
                catalog, accepted,
                "{} has a catalog in force that was never accepted",
                node.name
            );
            let last_revision = *node.last_revision.get_or_insert(catalog.revision);
            assert!(
                catalog.revision >= last_revision,
                "the revision of {} decreased",
                node.name
            );
            node.last_revision = Some(catalog.revision);
        }
        let settled = self.now >= self.faults_changed_at + SETTLE_TIME + IN_FORCE_LIMIT;
        if !settled || !self.steps.is_multiple_of(TICK_STEPS) {
            return;
        }
        let due = self.accepted_at.iter();
        let due = due
            .take_while(|at| **at + IN_FORCE_LIMIT <= self.now)
            .count()
            - 1;
        for n in self.connected_to_platform() {
            let node = &self.nodes[n];
            let revision = node.replica.catalog().revision;
            assert!(
                usize::try_from(revision).unwrap() >= due,
                "{} has revision {revision} in force, but {due} was accepted 3 s ago",
                node.name
            );
            assert!(
                due == 0 || node.replica.is_ready(),
                "{} is not ready",
                node.name
            );
        }
    }
}
