//! The start orders that wait for room on a worker.

use std::sync::Arc;

use turmericfold_jobs::RunKey;
use turmericfold_types::Resources;

use crate::StartOrder;

/// A start order that waits for room on a worker; its run has certainly not started.
#[derive(Debug, Clone)]
pub(crate) struct WaitingOrder {
    /// The order.
    pub(crate) order: Arc<StartOrder>,
}

/// The start orders that wait for room on a worker, in the order of their arrival.
#[derive(Debug, Default)]
pub(crate) struct WaitingOrders {
    orders: Vec<WaitingOrder>,
}

impl WaitingOrders {
    /// Adds an order that has arrived.
    pub(crate) fn push(&mut self, order: StartOrder) {
        let order = Arc::new(order);
        self.orders.push(WaitingOrder { order });
    }

    /// Removes the order of a run and returns whether there was one.
    pub(crate) fn remove(&mut self, run: RunKey) -> bool {
        let before = self.orders.len();
        self.orders.retain(|waiting| waiting.order.run != run);
        before != self.orders.len()
    }

    /// Returns whether no order waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Returns whether the order of a run waits.
    pub(crate) fn contains(&self, run: RunKey) -> bool {
        self.orders.iter().any(|waiting| waiting.order.run == run)
    }

    /// Returns the orders in the order of their arrival.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &WaitingOrder> {
        self.orders.iter()
    }

    /// Returns the resources that the runs will reserve together.
    pub(crate) fn resources(&self) -> Resources {
        let resources = self.orders.iter().map(WaitingOrder::resources);
        resources.fold(Resources::default(), |sum, resources| sum.plus(&resources))
    }
}

impl WaitingOrder {
    /// Returns the resources that the run will reserve.
    pub(crate) fn resources(&self) -> Resources {
        self.order.details.resources
    }
}
