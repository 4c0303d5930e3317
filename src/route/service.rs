//! Services that routes send their requests to.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::rate_limit::RequestRate;

/// A service that routes send requests to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceInfo {
    /// Name of the service.
    pub name: Name,
    /// Connections that one target accepts from all clients together; zero when unknown.
    pub connections: u32,
    /// Tokens of context that fit into one target, or into the store if the service is a context
    /// store; zero for plain services.
    pub context_tokens: u32,
    /// Models that its targets run; empty for plain services.
    pub models: SmallVec<[Name; 2]>,
    /// Address of the context store, if the service is one.
    pub store_address: Option<SocketAddr>,
    /// Failure domain of the context store.
    pub store_domain: Name,
    /// How long a target is cold after it starts.
    pub cold_time: Duration,
    /// Requests per second that a cold target tolerates; `None` without a limit.
    pub cold_rate: Option<RequestRate>,
}
