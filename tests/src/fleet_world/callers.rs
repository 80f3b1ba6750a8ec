//! Requests of callers, and the answers to them.

use turmericfold_fleet::{CallId, CallerAnswer, CallerRequest, Event};
use turmericfold_jobs::{JobId, JobSpec, QueueName};
use turmericfold_standin::TaskBehaviour;

use super::{Delivery, FleetWorld, QUEUE, Submitted};

impl FleetWorld {
    /// Submits a job through a node; `behaviours` holds the behaviour of the tasks of
    /// each step.
    pub fn submit(
        &mut self,
        node: usize,
        job: JobId,
        spec: JobSpec,
        behaviours: Vec<TaskBehaviour>,
    ) {
        self.behaviours.insert(job, behaviours);
        self.oracle.expect_job(job, &spec);
        let submitted = Submitted {
            spec: spec.clone(),
            accepted: false,
            cancelled: false,
            state: None,
        };
        self.jobs.entry(job).or_insert(submitted);
        let queue = QueueName(QUEUE.into());
        self.send_request(node, job, CallerRequest::Submit { queue, job, spec });
    }

    /// Submits a job again, like a caller that received no answer.
    pub fn submit_again(&mut self, node: usize, job: JobId) {
        let known = self.jobs.get(&job).map(|known| known.spec.clone());
        if let Some(spec) = known {
            let queue = QueueName(QUEUE.into());
            self.send_request(node, job, CallerRequest::Submit { queue, job, spec });
        }
    }

    /// Cancels a job through a node.
    pub fn cancel(&mut self, node: usize, job: JobId) {
        self.oracle.expect_cancellation(job);
        self.send_request(node, job, CallerRequest::Cancel { job });
    }

    /// Requests the state of a job through a node.
    pub fn ask_state(&mut self, node: usize, job: JobId) {
        self.send_request(node, job, CallerRequest::State { job });
    }

    /// Requests the number of waiting jobs through a node.
    pub fn ask_count(&mut self, node: usize) {
        let queue = QueueName(QUEUE.into());
        if let Some(call) = self.call_node(node, CallerRequest::Pending { queue }) {
            self.count_calls.insert(call);
        }
    }

    /// Returns and clears the answers to requests for the number of waiting jobs.
    pub fn take_counts(&mut self) -> Vec<CallerAnswer> {
        std::mem::take(&mut self.counts)
    }

    pub(super) fn send_request(&mut self, node: usize, job: JobId, request: CallerRequest) {
        if let Some(call) = self.call_node(node, request) {
            self.calls.insert(call, job);
        }
    }

    fn call_node(&mut self, node: usize, request: CallerRequest) -> Option<CallId> {
        self.last_call += 1;
        let call = CallId(self.last_call);
        let process = self.nodes[node].as_ref()?.process.clone();
        let event = Event::CallerRequest { call, request };
        self.schedule(3, Delivery::Node { process, event });
        Some(call)
    }

    pub(super) fn on_answer(&mut self, call: CallId, answer: CallerAnswer) {
        if self.count_calls.remove(&call) {
            self.counts.push(answer);
            return;
        }
        let Some(job) = self.calls.remove(&call) else {
            return;
        };
        let Some(known) = self.jobs.get_mut(&job) else {
            return;
        };
        match answer {
            CallerAnswer::Accepted => {
                known.accepted = true;
                self.oracle.record_acceptance(job);
            }
            CallerAnswer::Cancelled => {
                known.cancelled = true;
                self.oracle.record_cancellation(self.now, job);
            }
            CallerAnswer::State(state) => {
                known.state = Some(state);
                self.oracle.check_state(self.now, job, state);
            }
            CallerAnswer::NoSuchJob if known.accepted => self.oracle.record_lost_job(job),
            _ => {}
        }
    }
}
