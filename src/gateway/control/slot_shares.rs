//! Shares of the slots of brittle targets.
//!
//! Entries learn of each other's requests late, so under load several of them take the same free
//! slot, and the target turns away what has no room. Where that ends the target, each entry keeps
//! to slots of its own instead.

use std::collections::BTreeSet;

use crate::gateway::control::{Control, State, TargetReport};
use crate::prelude::*;
use crate::rate_limit::own_slots;

/// Divisor of the slots that all entries use together if there are fewer slots than entries:
/// they go by each other's reports, and the rest allows for their age.
const UNDIVIDED_SLOTS_DIVISOR: u32 = 2;

impl Control {
    /// Restricts the load reports for this entry's own scheduler to its slots at services that have
    /// brittle targets: those from which it had no answer lately are brittle too.
    pub(super) fn keep_to_slot_shares(&self, state: &State, reports: &mut [TargetReport]) {
        let brittle = self.shared.brittle.current();
        if brittle.is_empty() {
            return;
        }
        let position = state.share_position(&self.name);
        let services: BTreeSet<Name> = brittle
            .iter()
            .filter_map(|name| Some(state.targets.get(name)?.info.serves.clone()))
            .collect();
        for service in services {
            // In the order of names, so that all entries deal the slots in the same way.
            let of_service = state.targets.iter().filter(|t| t.info.serves == service);
            let dealt: Vec<(&Name, u32)> = of_service.map(|t| (&t.info.name, t.slots)).collect();
            let slots: Vec<u32> = dealt.iter().map(|(_, slots)| *slots).collect();
            let own = own_slots(&slots, position);
            for (n, (name, slots)) in dealt.iter().enumerate() {
                let Some(report) = reports.iter_mut().find(|r| r.target == **name) else {
                    continue;
                };
                if state.has_hub_for(name) {
                    // The hub divides them; the rest is for requests that it does not schedule.
                    report.report.slots = *slots;
                    continue;
                }
                match own.as_ref().map(|own| own[n]) {
                    Some(0) => report.allow_none(),
                    Some(own) => report.allow_own(own),
                    None => report.allow_undivided((slots / UNDIVIDED_SLOTS_DIVISOR).max(1)),
                }
                // Zero choosers: the slots are this entry's own, so delayed reports are not used.
                report.report.choosers = 0;
            }
        }
    }
}

impl TargetReport {
    /// Lets this entry use so many slots, whatever others use.
    fn allow_own(&mut self, slots: u32) {
        self.report.slots = slots;
        self.report.running = self.own.requests;
    }

    /// Lets this entry use no more than so many slots, whatever others use.
    fn allow_undivided(&mut self, slots: u32) {
        if self.report.choosers > 0 {
            self.allow_own(slots);
        }
        self.report.slots = slots;
    }

    /// Lets this entry use no slot: the only one counts as taken by others.
    fn allow_none(&mut self) {
        self.report.slots = 1;
        self.report.running = self.own.requests + 1;
    }
}
