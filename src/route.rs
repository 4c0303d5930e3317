//! Where requests go: routes by host and path, the services behind them, and the keys of customers.

mod customer;
mod limits;
mod service;
mod split;
mod table;

pub use customer::KeyHolder;
pub use limits::CallerLimits;
pub use service::ServiceInfo;
pub use split::TrafficSplit;
pub use table::{Found, Route, RouteKind, RouteTable, TableBuilder};
