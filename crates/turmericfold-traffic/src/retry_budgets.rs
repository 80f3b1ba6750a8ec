//! Retry budgets by service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use turmericfold_policy::requests::RetryBudget;
use turmericfold_types::ServiceName;

/// The retry budgets of one process; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct RetryBudgets {
    budgets: Arc<Mutex<HashMap<ServiceName, RetryBudget>>>,
}

impl RetryBudgets {
    /// Records the first attempt of a request, with the declared share of retries.
    pub(crate) fn on_request(&self, service: &ServiceName, share_permille: u32) {
        let mut budgets = self.lock();
        let Some(budget) = budgets.get_mut(service) else {
            budgets.insert(service.clone(), RetryBudget::new(share_permille));
            return;
        };
        budget.set_share_permille(share_permille);
        budget.on_request();
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub(crate) fn try_retry(&self, service: &ServiceName) -> bool {
        let mut budgets = self.lock();
        budgets.get_mut(service).is_some_and(RetryBudget::try_retry)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, RetryBudget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
