//! Routes of active destinations, each under a number that stays while the route is there.

use crate::listing::ListingOrder;
use crate::state::Route;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

/// Routes by number. The number of one that was removed is given to a later one. They are gone over in the order in
/// which their first endpoints were listed, whenever they were made.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct RouteTable {
    routes: Vec<Route>,
    unused: Vec<usize>,
    by_order: BTreeMap<ListingOrder, usize>,
}

impl RouteTable {
    /// Takes a route in and gives its number.
    pub fn insert(&mut self, route: Route) -> usize {
        let number = self.unused.pop().unwrap_or(self.routes.len());
        self.by_order.insert(route.order, number);
        if number < self.routes.len() {
            self.routes[number] = route;
        } else {
            self.routes.push(route);
        }
        number
    }

    /// Takes a route out.
    pub fn remove(&mut self, number: usize) -> Route {
        let route = std::mem::take(&mut self.routes[number]);
        self.by_order.remove(&route.order);
        self.unused.push(number);
        route
    }

    /// All routes, in the order in which they lie in memory.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Route> {
        self.routes.iter_mut()
    }

    /// The numbers of the routes with calls out, in the order in which their first endpoints were listed.
    pub fn numbers_with_calls(&self) -> Vec<usize> {
        let called = self.routes.iter().enumerate().filter(|(_, route)| !route.calls.is_empty());
        let mut numbers: Vec<usize> = called.map(|(number, _)| number).collect();
        numbers.sort_unstable_by_key(|number| self.routes[*number].order);
        numbers
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.by_order.len()
    }
}

impl Index<usize> for RouteTable {
    type Output = Route;

    fn index(&self, number: usize) -> &Route {
        &self.routes[number]
    }
}

impl IndexMut<usize> for RouteTable {
    fn index_mut(&mut self, number: usize) -> &mut Route {
        &mut self.routes[number]
    }
}
