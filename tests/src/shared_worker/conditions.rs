//! The conditions under which runs share a worker.

/// How fillers and their own load slow down the tasks with a latency target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Conditions {
    /// The slack that fillers take if they use the whole worker.
    pub effect: f64,
    /// The same as a peer has learned it, if it has.
    pub learned_effect: Option<f64>,
    /// The slack without fillers while the load of the tasks is low, and while it is high.
    pub slacks: (f64, f64),
    /// The period in which their load is low once and high once, in milliseconds.
    pub period_ms: u64,
    /// The least slack: tail latencies rise no further in saturation.
    pub min_slack: f64,
    /// By which part measured tail latencies are too high or too low at most.
    pub noise: f64,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            effect: 2.0,
            learned_effect: None,
            slacks: (4.0, 4.0),
            period_ms: 20_000,
            min_slack: 0.02,
            noise: 0.0,
        }
    }
}

impl Conditions {
    /// Returns the slack without fillers: low and high load take half of the period each, with
    /// half a second from one to the other.
    pub(super) fn base_slack(&self, now_ms: u64) -> f64 {
        let (calm, busy) = self.slacks;
        let half_ms = self.period_ms / 2;
        let at_ms = now_ms % self.period_ms;
        let part = ((at_ms % half_ms) as f64 / 500.0).min(1.0);
        match at_ms < half_ms {
            true => busy + (calm - busy) * part,
            false => calm + (busy - calm) * part,
        }
    }
}
