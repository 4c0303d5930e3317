//! Lookup of routes by host and path prefix.

use std::collections::{BTreeSet, HashMap};

use crate::prelude::*;
use crate::route::{CacheScopes, CallerLimits, KeyHolder, ServiceInfo, TrafficSplit};

/// How requests of one host and path prefix are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host that requests are addressed to.
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// Whether its requests are repeatable and whether responses are streamed.
    pub kind: RouteKind,
    /// Maximum time until the final response begins or a stream ends.
    pub timeout: Duration,
    /// Latency objective of a response or of the first event of a stream.
    pub latency_objective: Duration,
    /// Latency objective between two events of a stream.
    pub gap_objective: Option<Duration>,
    /// Urgency of its requests, where zero is the most urgent.
    pub urgency: u8,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Services that its requests are split among.
    pub split: TrafficSplit,
    /// Regions in which its requests may be processed; all are if it is empty.
    pub allowed_regions: Vec<Name>,
}

/// Whether the requests of a route are repeatable and whether responses are streamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Repeatable,
    /// A request may run at most once.
    Once,
    /// The response is a stream of events.
    Stream {
        /// Whether a broken stream may be resumed at another target, so that the request may run
        /// more than once.
        resumable: bool,
    },
}

impl Route {
    /// Whether a request may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        matches!(
            self.kind,
            RouteKind::Repeatable | RouteKind::Stream { resumable: true }
        )
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub fn is_streaming(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }

    /// Whether a broken stream may be resumed at another target.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        self.kind == RouteKind::Stream { resumable: true }
    }

    /// Time after which callers give up a stream without any event: two seconds, four times the
    /// latency objective or eight times the objective between events, whichever is longest. `None`
    /// when the response is no stream.
    #[must_use]
    pub fn first_event_timeout(&self) -> Option<Duration> {
        let gap = self.gap_objective.unwrap_or_default() * 8;
        let longest = gap
            .max(self.latency_objective * 4)
            .max(Duration::from_secs(2));
        self.is_streaming().then_some(longest)
    }
}

/// All routes, services and keys of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version of the configuration; increases with each change.
    pub version: u64,
    /// Size limits and timeouts for callers' requests.
    pub limits: CallerLimits,
    /// Scopes under which cached context is shared.
    pub cache_scopes: Arc<CacheScopes>,
    /// Routes by host, longest prefix first.
    by_host: HashMap<Name, Vec<Arc<Route>>>,
    /// Customers by key; `None` if no route requires a key.
    keys: Option<HashMap<Name, Arc<KeyHolder>>>,
    services: HashMap<Name, Arc<ServiceInfo>>,
}

/// Result of looking up a request in a [`RouteTable`].
#[derive(Clone, Debug, PartialEq)]
pub enum RouteMatch {
    /// The route of the request, and its customer unless the route is public.
    Route(Arc<Route>, Option<Arc<KeyHolder>>),
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key, and the request has none or an unknown one.
    NoKey,
}

impl RouteTable {
    /// Starts building a table of a version.
    #[must_use]
    pub fn builder(version: u64) -> RouteTableBuilder {
        RouteTableBuilder {
            table: Self {
                version,
                ..Self::default()
            },
            isolated: BTreeSet::new(),
        }
    }

    /// Finds the route of a request and the customer that its key belongs to.
    #[must_use]
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> RouteMatch {
        let Some(route) = self.route(host, path) else {
            return RouteMatch::NoRoute;
        };
        let holder = match &self.keys {
            Some(keys) => key.and_then(|key| keys.get(key)),
            None => None,
        };
        if holder.is_none() && self.keys.is_some() && !route.public {
            return RouteMatch::NoKey;
        }
        RouteMatch::Route(route.clone(), holder.cloned())
    }

    /// Looks up a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceInfo>> {
        self.services.get(name)
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceInfo>> {
        self.services.values()
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }

    /// The customers that have keys, in no particular order; one with several keys comes repeatedly.
    pub fn key_holders(&self) -> impl Iterator<Item = &Arc<KeyHolder>> {
        self.keys.iter().flat_map(HashMap::values)
    }

    /// The route of the host with the longest prefix that matches the path.
    fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        let path = path.split('?').next().unwrap_or_default();
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }
}

/// A [`RouteTable`] under construction.
#[derive(Debug)]
pub struct RouteTableBuilder {
    table: RouteTable,
    /// Customers whose cached context is kept apart.
    isolated: BTreeSet<Name>,
}

impl RouteTableBuilder {
    /// Adds a route; of two with the same host and prefix, the first takes precedence.
    #[must_use]
    pub fn route(mut self, route: Route) -> Self {
        let routes = self.table.by_host.entry(route.host.clone()).or_default();
        routes.push(Arc::new(route));
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn service(mut self, service: ServiceInfo) -> Self {
        let name = service.name.clone();
        self.table.services.insert(name, Arc::new(service));
        self
    }

    /// Requires keys on all routes that are not public.
    #[must_use]
    pub fn require_keys(mut self) -> Self {
        self.table.keys.get_or_insert_default();
        self
    }

    /// Adds a key of a customer, which makes keys required on all routes that are not public.
    #[must_use]
    pub fn key(mut self, key: Name, holder: Arc<KeyHolder>) -> Self {
        self.table.keys.get_or_insert_default().insert(key, holder);
        self
    }

    /// Keeps the cached context of a customer apart, whether or not it has a key: it may have had one.
    #[must_use]
    pub fn isolated_customer(mut self, customer: Name) -> Self {
        self.isolated.insert(customer);
        self
    }

    /// Sets the size limits and timeouts for callers' requests.
    #[must_use]
    pub fn limits(mut self, limits: CallerLimits) -> Self {
        self.table.limits = limits;
        self
    }

    /// Builds the table.
    #[must_use]
    pub fn build(mut self) -> RouteTable {
        for routes in self.table.by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        self.table.cache_scopes = Arc::new(CacheScopes::new(self.isolated));
        self.table
    }
}
