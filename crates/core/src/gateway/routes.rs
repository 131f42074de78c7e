//! Finds the route and the organisation of a request.

use std::{collections::BTreeMap, sync::Arc};

use super::config::{Configuration, Route};
use crate::ids::{OrganisationId, Priority, ServiceId};

/// The routes of one configuration, arranged for lookup.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: BTreeMap<String, Vec<(String, Arc<Route>)>>,
    by_key: Option<BTreeMap<String, (OrganisationId, Option<Priority>)>>,
}

/// A request that the configuration allows.
#[derive(Debug, Clone)]
pub struct RouteMatch {
    /// The route's name.
    pub name: String,
    /// The route.
    pub route: Arc<Route>,
    /// The organisation of the key, where the route asks for one.
    pub organisation: Option<OrganisationId>,
    /// The rank that is in force.
    pub priority: Priority,
}

/// Why the configuration allows no such request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No route has this host and path.
    #[error("no route has this host and path")]
    NoRoute,
    /// The key is absent or belongs to no organisation.
    #[error("the key belongs to no organisation")]
    UnknownKey,
}

impl RouteTable {
    /// Arranges a configuration.
    pub fn new(cfg: &Configuration) -> Self {
        let mut by_host: BTreeMap<String, Vec<(String, Arc<Route>)>> = BTreeMap::new();
        for (name, route) in &cfg.routes {
            let routes = by_host.entry(route.host.clone()).or_default();
            routes.push((name.clone(), Arc::new(route.clone())));
        }
        for routes in by_host.values_mut() {
            // The first match is then the longest one.
            routes.sort_by_key(|(_, route)| std::cmp::Reverse(route.path_prefix.len()));
        }
        let by_key = cfg.organisations.as_ref().map(|organisations| {
            let mut keys = BTreeMap::new();
            for (id, organisation) in organisations {
                for key in &organisation.keys {
                    keys.insert(key.clone(), (id.clone(), organisation.priority));
                }
            }
            keys
        });
        Self { by_host, by_key }
    }

    /// Finds the route with the longest prefix, and whose key it is.
    ///
    /// # Errors
    ///
    /// Says what the configuration does not allow.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch, RouteError> {
        let routes = self.by_host.get(host).ok_or(RouteError::NoRoute)?;
        let (name, route) = routes
            .iter()
            .find(|(_, route)| path.starts_with(&route.path_prefix))
            .ok_or(RouteError::NoRoute)?;
        let mut routed = RouteMatch {
            name: name.clone(),
            route: route.clone(),
            organisation: None,
            priority: route.priority,
        };
        if let (Some(keys), false) = (&self.by_key, route.public) {
            let known = key.and_then(|key| keys.get(key));
            let (id, priority) = known.ok_or(RouteError::UnknownKey)?;
            routed.organisation = Some(id.clone());
            routed.priority = priority.unwrap_or(route.priority);
        }
        Ok(routed)
    }
}

/// Chooses a service by weight; `draw` is from 0 to 1.
pub fn choose_service(route: &Route, draw: f64) -> Option<&ServiceId> {
    let total: u32 = route.split.iter().map(|(_, weight)| weight).sum();
    let mut left = draw * f64::from(total);
    for (service, weight) in &route.split {
        left -= f64::from(*weight);
        if left < 0.0 {
            return Some(service);
        }
    }
    route
        .split
        .iter()
        .rev()
        .find(|(_, w)| *w > 0)
        .map(|(s, _)| s)
}
