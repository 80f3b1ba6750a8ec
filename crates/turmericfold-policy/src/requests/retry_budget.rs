//! Limits retries to a share of recent requests.

/// Maximum number of requests whose share is saved.
const MAX_SAVED_REQUESTS: u64 = 100;

/// Maximum permitted share, in thousandths.
const MAX_SHARE_PERMILLE: u32 = 100;

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST_PERMILLE: u64 = 1_000;

/// Grants retries of requests that may have run.
///
/// In any period, the number of retries is at most the given share of the requests in
/// it, plus the saved share of 100 earlier requests.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share_permille: u32,
    saved_permille: u64,
}

impl RetryBudget {
    /// Creates a budget with the saved share of 100 requests.
    ///
    /// `share_permille` is capped at 100.
    pub fn new(share_permille: u32) -> Self {
        let share_permille = share_permille.min(MAX_SHARE_PERMILLE);
        Self {
            share_permille,
            saved_permille: u64::from(share_permille) * MAX_SAVED_REQUESTS,
        }
    }

    /// Sets the share; saved retries above its maximum are lost.
    pub fn set_share_permille(&mut self, share_permille: u32) {
        self.share_permille = share_permille.min(MAX_SHARE_PERMILLE);
        self.saved_permille = self.saved_permille.min(self.max_saved_permille());
    }

    /// Records the first attempt of a request.
    pub fn on_request(&mut self) {
        self.saved_permille =
            (self.saved_permille + u64::from(self.share_permille)).min(self.max_saved_permille());
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    #[must_use]
    pub fn try_retry(&mut self) -> bool {
        let Some(left) = self.saved_permille.checked_sub(RETRY_COST_PERMILLE) else {
            return false;
        };
        self.saved_permille = left;
        true
    }

    fn max_saved_permille(&self) -> u64 {
        u64::from(self.share_permille) * MAX_SAVED_REQUESTS
    }
}
