//! guavahold serves prompts whose callers return after long gaps.
//!
//! It comprises every process between callers and targets. Entries admit, place and relay requests;
//! operators declare customers, model versions and serving policies in release notes. Between the
//! requests of a caller, the platform's context stores keep its context (see [`context_store`]).
//!
//! There are two kinds of entry process: [`entry`] serves chat requests by the catalog of release
//! notes, and [`gateway`] serves any route of a platform whose wire formats an adapter translates,
//! such as the crate `guavahold-platform`.
//!
//! ```
//! use guavahold::catalog::{Catalog, ReleaseNote};
//! use guavahold::settings::Document;
//!
//! let text = r#"{
//!     "revision": 0, // written against the empty catalog
//!     "added": {"policies": {"quick": {"class": "interactive", "first_token_ms": 800}}},
//! }"#;
//! let note = ReleaseNote::read(&Document::new("note.jsonc", text)).unwrap();
//! let catalog = Catalog::default().apply(&note).unwrap();
//! assert_eq!(catalog.revision, 1);
//! ```

pub mod balance;
pub mod caller;
pub mod catalog;
pub mod claim;
pub mod clock;
pub mod context_store;
pub mod descriptors;
pub mod domain_scheduler;
pub mod entry;
pub mod gateway;
pub mod http;
pub mod intake;
mod latch;
pub mod lease;
pub mod listen;
pub mod name_hash;
pub mod operator;
pub mod order;
pub mod part_quarantine;
pub mod peer;
pub mod platform;
pub mod prefix_keys;
pub mod prelude;
pub mod rate_limit;
pub mod reachability;
pub mod residency;
pub mod rollout;
pub mod route;
pub mod scheduler;
pub mod secret;
pub mod settings;
pub mod shared_intake;
pub mod shared_scheduler;
pub mod signals;
pub mod store_view;
pub mod stream_origin;
pub mod supervisor;
pub mod target;
pub mod telemetry;
