//! Plain services and their routes.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::settings::Fields;

/// Serving policy of the requests with one method and one path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// HTTP method in capitals; `*` stands for any.
    pub method: Name,
    /// Prefix of the path after the service's name, such as `/bookings`.
    pub path: Name,
    /// Name of the serving policy.
    pub policy: Name,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Routes; the first that matches a request serves it.
    pub routes: Vec<Route>,
}

impl Service {
    /// Finds the route of a request.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .find(|r| (&*r.method == "*" || &*r.method == method) && path.starts_with(&*r.path))
    }

    pub(crate) fn from_fields(fields: &mut Fields<'_>) -> Self {
        let routes = fields.each_in_list("routes", |f| {
            let (method, path, policy) = (f.text("method"), f.text("path"), f.name("policy"));
            if path.as_ref().is_some_and(|p| !p.starts_with('/')) {
                f.report_field("path", "expected a path that starts with '/'");
            }
            Some(Route {
                method: method?,
                path: path?,
                policy: policy?,
            })
        });
        if routes.is_empty() {
            fields.report_field("routes", "expected at least one route");
        }
        Self { routes }
    }
}
