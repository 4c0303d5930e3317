//! One scheduler for the targets of each failure domain, shared by all entries of a large system.
//!
//! With many entries, each sees a small part of the traffic and learns of the others' load late, so
//! requests would queue at targets, where nobody can reorder, refuse or move them. Instead, the hub
//! of each failure domain schedules the requests for the domain's targets: every dispatch and every
//! end passes it, so that it knows the load exactly. Entries send it a description of each request
//! and send the request itself directly to the target that it names.
//!
//! An entry that hears nothing from a hub schedules the request itself. The entry alone is
//! responsible for what must never go wrong: whether a request may be sent again, and what its
//! caller is told about it.

mod client;
mod domain_choice;
mod message;
mod remote_arrival;
mod scheduled_request;
mod server;

pub use client::{DomainHub, SchedulerClient, SchedulerLinks};
pub use domain_choice::{DomainCapacity, DomainChoice};
pub use message::{CallStep, Decision, Grant, SchedulerCall, SchedulerReply};
pub use remote_arrival::RemoteArrival;
pub use scheduled_request::ScheduledRequest;
pub use server::DomainScheduler;
