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
        self.send_request(node, job, CallerRequest::Cancel { job });
    }

    /// Requests the state of a job through a node.
    pub fn ask_state(&mut self, node: usize, job: JobId) {
        self.send_request(node, job, CallerRequest::State { job });
    }

    pub(super) fn send_request(&mut self, node: usize, job: JobId, request: CallerRequest) {
        self.last_call += 1;
        let call = CallId(self.last_call);
        let Some(running) = &self.nodes[node] else {
            return;
        };
        let process = running.process.clone();
        self.calls.insert(call, job);
        let event = Event::CallerRequest { call, request };
        self.schedule(3, Delivery::Node { process, event });
    }

    pub(super) fn on_answer(&mut self, call: CallId, answer: CallerAnswer) {
        let Some(job) = self.calls.remove(&call) else {
            return;
        };
        let Some(known) = self.jobs.get_mut(&job) else {
            return;
        };
        match answer {
            CallerAnswer::Accepted => known.accepted = true,
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
