//! An in-memory platform on which a test applies release notes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use async_io::block_on;
use guavahold::catalog::{CatalogStore, Declarations, ReleaseNote};
use guavahold::operator::{
    Applier, ApplyReport, CheckReport, Exit, NoteMetadata, Paint, PlanReport, Report, plan,
};
use guavahold::platform::{Object, Platform, Role, Vm, VmPhase};
use guavahold::settings::Document;

use crate::support::MemoryPlatform;

pub const PLAIN: Paint = Paint(false);
pub const TOKEN_HASH: &str = "6437b3ac38465133ffb63b75273a8db548c558465d79db03fd359c6cd5bd9d85";

/// An in-memory platform with an applier, and the number of calls of [`Fixture::apply`].
pub struct Fixture {
    pub platform: MemoryPlatform,
    pub applier: Applier,
    applied: u64,
}

impl Fixture {
    pub fn new() -> Self {
        let platform = MemoryPlatform::new();
        let applier = Applier::new(Arc::new(platform.clone()), Duration::from_millis(500));
        Self {
            platform,
            applier,
            applied: 0,
        }
    }

    pub fn store(&self) -> CatalogStore {
        CatalogStore::new(Arc::new(self.platform.clone()))
    }

    pub fn apply(&mut self, text: &str) -> ApplyReport {
        self.applied += 1;
        let metadata = NoteMetadata {
            id: format!("note-{}", self.applied).into(),
            at_ms: 1_796_330_000_000 + self.applied * 60_000,
        };
        let doc = Document::new("note.jsonc", text);
        block_on(self.applier.apply("note.jsonc", &doc, &metadata)).unwrap()
    }

    pub fn plan(&self, text: &str) -> Result<PlanReport, CheckReport> {
        let doc = Document::new("note.jsonc", text);
        block_on(plan(&self.store(), "note.jsonc", &doc)).unwrap()
    }

    /// Applies a first note, which makes revision 1.
    pub fn with_first_note() -> Self {
        let mut fixture = Self::new();
        let report = fixture.apply(&format!(
            r#"{{
              "revision": 0, "by": "tartu", "why": "first salons",
              "added": {{
                "customers": {{"salon-a": {{"share": 2, "tokens": ["{TOKEN_HASH}"]}}}},
                "models": {{"router": {{"weights": "w1", "policy": "chat"}}}},
                "policies": {{"chat": {{"class": "standard", "loads_at_once": 3}}}},
                "trust": {{"engine-1": {{"checks_fencing": true}}}}
              }}
            }}"#
        ));
        assert_eq!(report.exit(), Exit::Ok, "{}", report.text(PLAIN));
        fixture
    }

    /// Applies a note that adds one policy to revision `against`.
    pub fn add_policy(&mut self, against: u64) -> ApplyReport {
        self.apply(&policy_note(against))
    }

    /// Declarations of the first note.
    pub fn first_declarations(&self) -> Declarations {
        let head = block_on(self.store().read_head()).unwrap().unwrap().0;
        let first: &ReleaseNote = &head.tail[0];
        first.added.clone()
    }
}

/// A note that adds one policy to revision `against`.
pub fn policy_note(against: u64) -> String {
    format!(
        r#"{{"revision": {against}, "by": "tartu",
             "added": {{"policies": {{"p{against}": {{"class": "patient"}}}}}}}}"#
    )
}

/// Adds an entry VM to the platform's list.
pub fn list_entry(fixture: &Fixture, name: &str) {
    let vm = Vm {
        name: name.into(),
        role: Role::Entry,
        domain: name[..1].into(),
        address: ([127, 0, 0, 1], 9).into(),
        serves: "".into(),
        phase: VmPhase::Live,
        cpu_millis: 0,
    };
    let object = Object::new(Vm::KIND, name, serde_json::to_value(vm).unwrap());
    block_on(fixture.platform.create(object)).unwrap();
}

/// Starts a server that responds to every connection with `body`.
pub fn serve_body(body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4096]);
            let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length";
            let _ = write!(stream, "{head}: {}\r\n\r\n{body}", body.len());
        }
    });
    addr
}
