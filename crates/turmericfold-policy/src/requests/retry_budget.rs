//! Bounds retries to a share of recent requests.

/// Requests whose share may be saved up.
const SAVED_REQUESTS: u64 = 100;

/// The largest permitted share, in thousandths.
const MAX_SHARE_PERMILLE: u32 = 100;

/// The cost of one retry, in thousandths.
const RETRY_COST: u64 = 1_000;

/// Grants retries of requests that may have run.
///
/// Over any stretch of time, retries are at most the share of the requests in
/// it plus the share of 100 requests that was saved up before.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share_permille: u32,
    saved: u64,
}

impl RetryBudget {
    /// Creates a budget with a share of at most 100 thousandths.
    pub fn new(share_permille: u32) -> Self {
        let share_permille = share_permille.min(MAX_SHARE_PERMILLE);
        Self {
            share_permille,
            saved: u64::from(share_permille) * SAVED_REQUESTS,
        }
    }

    /// Sets the share; what was saved beyond it is lost.
    pub fn set_share_permille(&mut self, share_permille: u32) {
        self.share_permille = share_permille.min(MAX_SHARE_PERMILLE);
        self.saved = self.saved.min(self.limit());
    }

    /// Takes note of a first attempt.
    pub fn on_request(&mut self) {
        self.saved = (self.saved + u64::from(self.share_permille)).min(self.limit());
    }

    /// Takes one retry from the budget, or returns `false` if none is left.
    #[must_use]
    pub fn try_retry(&mut self) -> bool {
        let Some(left) = self.saved.checked_sub(RETRY_COST) else {
            return false;
        };
        self.saved = left;
        true
    }

    fn limit(&self) -> u64 {
        u64::from(self.share_permille) * SAVED_REQUESTS
    }
}
