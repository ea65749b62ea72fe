//! Routes of active destinations. The index of a route stays the same as long as the route exists.

use crate::listing::ListingOrder;
use crate::state::Route;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

/// Routes by index. The index of a removed route is reused for a later one. Where the order matters, routes
/// are visited in the order in which their first endpoints were listed, regardless of when their state was
/// created.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct RouteTable {
    routes: Vec<Route>,
    free: Vec<usize>,
    by_listing_order: BTreeMap<ListingOrder, usize>,
}

impl RouteTable {
    /// Adds a route and returns its index.
    pub fn insert(&mut self, route: Route) -> usize {
        let index = self.free.pop().unwrap_or(self.routes.len());
        self.by_listing_order.insert(route.listing_order, index);
        if index < self.routes.len() {
            self.routes[index] = route;
        } else {
            self.routes.push(route);
        }
        index
    }

    pub fn remove(&mut self, index: usize) -> Route {
        let route = std::mem::take(&mut self.routes[index]);
        self.by_listing_order.remove(&route.listing_order);
        self.free.push(index);
        route
    }

    /// All routes in the order of their indices, with empty ones at the indices that are free.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Route> {
        self.routes.iter_mut()
    }

    /// Indices of the routes with calls in flight, in the order in which their first endpoints were listed.
    pub fn indices_with_calls(&self) -> Vec<usize> {
        let with_calls = self.routes.iter().enumerate().filter(|(_, route)| !route.calls.is_empty());
        let mut indices: Vec<usize> = with_calls.map(|(index, _)| index).collect();
        indices.sort_unstable_by_key(|index| self.routes[*index].listing_order);
        indices
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.by_listing_order.len()
    }
}

impl Index<usize> for RouteTable {
    type Output = Route;

    fn index(&self, index: usize) -> &Route {
        &self.routes[index]
    }
}

impl IndexMut<usize> for RouteTable {
    fn index_mut(&mut self, index: usize) -> &mut Route {
        &mut self.routes[index]
    }
}
