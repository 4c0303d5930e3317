//! Routing table: routes by host and path prefix, the services behind them, and customer keys.

mod cache_scopes;
mod key_holder;
mod limits;
mod service;
mod split;
mod table;

pub use cache_scopes::{CacheScopes, scope_version};
pub use key_holder::KeyHolder;
pub use limits::CallerLimits;
pub use service::ServiceInfo;
pub use split::TrafficSplit;
pub use table::{Route, RouteKind, RouteMatch, RouteTable, RouteTableBuilder};
