//! Targets that die and return.

use guavahold::prelude::*;

use super::{SimEvent, Simulation, ms};

impl Simulation {
    /// Kills a target and fails all requests there.
    pub fn kill(&mut self, target: &str) {
        let engine = self.engines.get_mut(target).unwrap();
        engine.reachable = false;
        self.killed.push(engine.info.name.clone());
        let running = std::mem::take(&mut engine.running);
        let waiting = std::mem::take(&mut engine.waiting);
        for (id, attempt) in running.into_iter().chain(waiting) {
            self.schedule(self.now + ms(2), SimEvent::Fail(id, attempt, true));
        }
    }

    /// Kills all targets of a failure domain, or makes them reachable again.
    pub fn set_domain_down(&mut self, domain: &str, down: bool) {
        let in_domain = self.engines.values().filter(|e| *e.info.domain == *domain);
        let names: Vec<Name> = in_domain.map(|e| e.info.name.clone()).collect();
        for name in names {
            if down {
                self.kill(&name);
            } else {
                self.engines.get_mut(&name).unwrap().reachable = true;
            }
        }
    }
}
