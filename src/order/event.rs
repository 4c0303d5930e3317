//! Events and effects of an [`OrderPlanner`](crate::order::OrderPlanner).

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::catalog::Catalog;
use crate::lease::Hold;
use crate::prelude::*;
use crate::scheduler::TargetInfo;
use crate::target::{LoadReport, OrderRequest};

/// Something that happened.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderEvent {
    /// The catalog in force changed.
    Catalog(Arc<Catalog>),
    /// The platform's list of targets, whole.
    Targets(Vec<TargetInfo>),
    /// A target reported its load.
    Report {
        /// Name of the target.
        target: Name,
        /// The report.
        report: LoadReport,
    },
    /// The holding of the lease to give orders, as of now.
    Lease(Option<Hold>),
    /// An order ended.
    Ended {
        /// Name of the target.
        target: Name,
        /// Fencing number of the order.
        fencing: u64,
        /// How it ended.
        result: OrderResult,
    },
    /// Time passed.
    Tick,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResult {
    /// The target accepted it.
    Accepted,
    /// The target has seen a greater fencing number.
    Stale,
    /// No answer; the target may carry it out.
    Unanswered,
}

/// Something to be done by the program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderEffect {
    /// Send an order if the lease is still held.
    Send {
        /// Name of the target.
        target: Name,
        /// Address of the target.
        address: SocketAddr,
        /// The order.
        request: OrderRequest,
    },
    /// Get a greater fencing number: a target has seen this one.
    Raise {
        /// The greatest fencing number seen.
        fencing: u64,
    },
}
