//! State that the entries of a gateway gossip.

use serde::{Deserialize, Serialize};

use crate::gateway::TargetLoad;

/// State of one entry, sent at short intervals; it replaces the entry's earlier one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayWord {
    /// Revision of the platform's store up to which this entry knows the objects of each watched
    /// kind, by index of the kind.
    #[serde(rename = "r")]
    pub revisions: [u64; 4],
    /// Load that this entry puts on targets, by the short identities of the targets.
    #[serde(rename = "l", default)]
    pub loads: Vec<(u32, TargetLoad)>,
    /// Targets that get no new work while they change their weights, by short identity.
    #[serde(rename = "h", default)]
    pub held: Vec<u32>,
    /// Targets to which new connections have recently begun to fail, by short identity.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub lost: Vec<u32>,
    /// Context in context stores that is no longer fetched: all of it for weight versions below the
    /// first, and half of it, selected by hash, for versions below the second.
    #[serde(rename = "x", default)]
    pub retired: (u64, u64),
    /// Weight versions that targets report, by short identity; they may be newer than the versions
    /// in the platform's store.
    #[serde(rename = "v", default)]
    pub versions: Vec<(u32, u64)>,
    /// Weight versions that operators declared recently: short identity of the model, version, and
    /// time since the declaration in milliseconds.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub named: Vec<(u32, u64, u64)>,
}

impl GatewayWord {
    /// Merges another entry's state: sums of loads, unions of target sets, newest versions, largest
    /// ages and highest bounds of retired context. The revisions stay as they are.
    pub fn add(&mut self, other: &Self) {
        for (target, load) in &other.loads {
            match self.loads.iter_mut().find(|(key, _)| key == target) {
                Some((_, sum)) => sum.add(*load),
                None => self.loads.push((*target, *load)),
            }
        }
        for target in &other.held {
            if !self.held.contains(target) {
                self.held.push(*target);
            }
        }
        for target in &other.lost {
            if !self.lost.contains(target) {
                self.lost.push(*target);
            }
        }
        for (target, version) in &other.versions {
            match self.versions.iter_mut().find(|(key, _)| key == target) {
                Some((_, known)) => *known = (*known).max(*version),
                None => self.versions.push((*target, *version)),
            }
        }
        for (model, version, age) in &other.named {
            let mut known = self.named.iter_mut();
            match known.find(|(m, v, _)| (m, v) == (model, version)) {
                Some((_, _, known)) => *known = (*known).max(*age),
                None => self.named.push((*model, *version, *age)),
            }
        }
        self.retired.0 = self.retired.0.max(other.retired.0);
        self.retired.1 = self.retired.1.max(other.retired.1);
    }
}
