//! Routes by host and path prefix.

use std::collections::HashMap;

use crate::prelude::*;
use crate::route::{CallerLimits, KeyHolder, ServiceInfo, TrafficSplit};

/// How requests of one host and path prefix are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host that callers name.
    pub host: Name,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Name,
    /// What its requests are like.
    pub kind: RouteKind,
    /// Longest time until the final answer begins or a stream ends.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub aim: Duration,
    /// Longest pause between the events of a stream that is on time.
    pub gap_aim: Option<Duration>,
    /// Urgency, zero first.
    pub urgency: u8,
    /// Targets to which one request may be sent.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Services that run its requests.
    pub split: TrafficSplit,
}

/// What the requests of a route are like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// They may run more than once.
    Repeatable,
    /// They may run once at most.
    Once,
    /// Their answer is a stream of events.
    Stream {
        /// Whether a broken stream may go on at another target, and so run more than once.
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

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_streaming(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }

    /// Whether a broken stream may go on at another target.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        self.kind == RouteKind::Stream { resumable: true }
    }

    /// Time until a caller gives up a stream that shows no event: two seconds, four times the aim or
    /// eight times the longest pause, whichever is longest.
    #[must_use]
    pub fn first_event_time(&self) -> Option<Duration> {
        let gap = self.gap_aim.unwrap_or_default() * 8;
        let longest = gap.max(self.aim * 4).max(Duration::from_secs(2));
        self.is_streaming().then_some(longest)
    }
}

/// All routes, services and keys of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version; grows with each change.
    pub version: u64,
    /// What callers may send.
    pub limits: CallerLimits,
    by_host: HashMap<Name, Vec<Arc<Route>>>,
    keys: Option<HashMap<Name, Arc<KeyHolder>>>,
    services: HashMap<Name, Arc<ServiceInfo>>,
}

/// What a table says of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Found {
    /// It goes by this route, for this customer unless the route is public.
    Route(Arc<Route>, Option<Arc<KeyHolder>>),
    /// No route fits the host and path.
    NoRoute,
    /// The route asks for a key that it did not bring.
    NoKey,
}

impl RouteTable {
    /// Starts a table of one version.
    #[must_use]
    pub fn builder(version: u64) -> TableBuilder {
        TableBuilder(Self {
            version,
            ..Self::default()
        })
    }

    /// Finds the route of a request and the customer that its key belongs to.
    #[must_use]
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Found {
        let Some(route) = self.route(host, path) else {
            return Found::NoRoute;
        };
        let holder = match &self.keys {
            Some(keys) => key.and_then(|key| keys.get(key)),
            None => None,
        };
        if holder.is_none() && self.keys.is_some() && !route.public {
            return Found::NoKey;
        }
        Found::Route(route.clone(), holder.cloned())
    }

    /// The service of a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceInfo>> {
        self.services.get(name)
    }

    /// All services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceInfo>> {
        self.services.values()
    }

    /// The longest prefix of the host that begins the path.
    fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        let path = path.split('?').next().unwrap_or_default();
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }
}

/// A [`RouteTable`] under construction.
#[derive(Debug)]
pub struct TableBuilder(RouteTable);

impl TableBuilder {
    /// Adds a route; of two with the same host and prefix the first stays.
    #[must_use]
    pub fn route(mut self, route: Route) -> Self {
        let routes = self.0.by_host.entry(route.host.clone()).or_default();
        routes.push(Arc::new(route));
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn service(mut self, service: ServiceInfo) -> Self {
        let name = service.name.clone();
        self.0.services.insert(name, Arc::new(service));
        self
    }

    /// Asks for keys on all routes that are not public.
    #[must_use]
    pub fn with_keys(mut self) -> Self {
        self.0.keys.get_or_insert_default();
        self
    }

    /// Adds a key of a customer.
    #[must_use]
    pub fn key(mut self, key: Name, holder: Arc<KeyHolder>) -> Self {
        self.0.keys.get_or_insert_default().insert(key, holder);
        self
    }

    /// Sets what callers may send.
    #[must_use]
    pub fn limits(mut self, limits: CallerLimits) -> Self {
        self.0.limits = limits;
        self
    }

    /// Ends the construction.
    #[must_use]
    pub fn build(mut self) -> RouteTable {
        for routes in self.0.by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        self.0
    }
}
