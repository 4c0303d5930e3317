//! guavahold serves prompts whose callers return after long gaps.
//!
//! It is every process between callers and back ends: entries admit, place and relay requests, and
//! operators declare customers, model versions and serving policies in release notes. Contexts are
//! kept between the visits of a caller by the platform's context stores, which [`context_store`]
//! uses.
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

pub mod cache;
pub mod caller;
pub mod catalog;
pub mod claim;
pub mod clock;
pub mod context_store;
pub mod decide;
pub mod desk;
pub mod entry;
pub mod gateway;
pub mod http;
pub mod identity;
pub mod lease;
pub mod operator;
pub mod order;
pub mod peer;
pub mod platform;
pub mod prelude;
pub mod rollout;
pub mod route;
pub mod settings;
pub mod target;
pub mod telemetry;
