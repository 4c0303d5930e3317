//! What was sent, ran and was answered, and what of it broke a rule.

use std::collections::HashMap;
use std::sync::Mutex;

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What happened in a play.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub requests: u32,
    pub by_hub: u32,
    pub fell_back: u32,
    /// Requests that may run once and were sent again after a proof.
    pub sent_again: u32,
    pub ran: u32,
    pub promised: u32,
    /// Answers that promise nothing to requests that may run once.
    pub unknown: u32,
}

impl Counts {
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.by_hub += other.by_hub;
        self.fell_back += other.fell_back;
        self.sent_again += other.sent_again;
        self.ran += other.ran;
        self.promised += other.promised;
        self.unknown += other.unknown;
    }
}

#[derive(Debug, Default)]
struct Entry {
    run_once: bool,
    sends: u32,
    /// Whether a send was not proven not to run.
    may_have_run: bool,
    runs: u32,
    status: Option<u16>,
    /// What happened to it, in order.
    events: Vec<String>,
}

#[derive(Default)]
struct State {
    entries: HashMap<u64, Entry>,
    counts: Counts,
    findings: Vec<String>,
}

impl State {
    fn find(&mut self, id: u64, finding: &str) {
        let events = self.entries[&id].events.join(", ");
        self.findings
            .push(format!("request {id} {finding}: {events}"));
    }
}

/// Record of all requests of a play.
#[derive(Default)]
pub struct Ledger(Mutex<State>);

impl Ledger {
    fn with(&self, id: u64, event: String, change: impl FnOnce(&mut State)) {
        let mut state = self.0.lock().unwrap();
        state.entries.entry(id).or_default().events.push(event);
        change(&mut state);
    }

    pub fn arrived(&self, id: u64, run_once: bool) {
        self.with(id, "arrived".into(), |state| {
            state.entries.get_mut(&id).unwrap().run_once = run_once;
            state.counts.requests += 1;
        });
    }

    /// Records something that is only of use in a finding.
    pub fn note(&self, id: u64, event: String) {
        self.with(id, event, |_| {});
    }

    /// The first byte is about to be sent.
    pub fn sent(&self, id: u64) {
        self.with(id, "sent".into(), |state| {
            let entry = state.entries.get_mut(&id).unwrap();
            let again = std::mem::replace(&mut entry.may_have_run, true);
            entry.sends += 1;
            if !entry.run_once {
                return;
            }
            if entry.sends == 2 {
                state.counts.sent_again += 1;
            }
            if again {
                state.find(id, "was sent although it may have run");
            }
        });
    }

    /// The target proved to the entry that the last send did not run, and the proof is true.
    pub fn proved_not_run(&self, id: u64) {
        self.with(id, "proved not run".into(), |state| {
            state.entries.get_mut(&id).unwrap().may_have_run = false;
        });
    }

    /// A target begins to work on the request.
    pub fn ran(&self, id: u64) {
        self.with(id, "ran".into(), |state| {
            let entry = state.entries.get_mut(&id).unwrap();
            entry.runs += 1;
            state.counts.ran += 1;
            let (twice, promised) = (entry.runs > 1, is_promise(entry.status));
            if entry.run_once && twice {
                state.find(id, "ran twice");
            } else if entry.run_once && promised {
                state.find(id, "ran after a promise");
            }
        });
    }

    /// The caller got its final response; zero for a connection that ends.
    pub fn answered(&self, id: u64, status: u16, scheduler: &str) {
        self.with(id, format!("answered {status} by {scheduler}"), |state| {
            let entry = state.entries.get_mut(&id).unwrap();
            entry.status = Some(status);
            let (promised, run_once) = (is_promise(entry.status), entry.run_once);
            let broken = promised && run_once && (entry.runs > 0 || entry.may_have_run);
            state.counts.by_hub += u32::from(scheduler.starts_with("hub"));
            state.counts.fell_back += u32::from(scheduler.starts_with("own-after"));
            state.counts.promised += u32::from(promised && run_once);
            state.counts.unknown += u32::from(run_once && matches!(status, 502 | 504));
            if broken {
                state.find(id, "was answered with a promise although it may have run");
            }
        });
    }

    /// Fails if a rule was broken.
    pub fn finish(&self, seed: u64) -> Counts {
        let state = self.0.lock().unwrap();
        let shown: Vec<&String> = state.findings.iter().take(5).collect();
        let findings = state.findings.len();
        assert!(
            shown.is_empty(),
            "seed {seed}: {findings} findings: {shown:#?}"
        );
        state.counts
    }
}

fn is_promise(status: Option<u16>) -> bool {
    status.is_some_and(|status| PROMISES.contains(&status))
}
