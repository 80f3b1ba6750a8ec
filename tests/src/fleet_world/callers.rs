//! What callers ask, and what they are told.

use turmericfold_fleet::{CallId, CallerAnswer, CallerRequest, Event};
use turmericfold_jobs::{JobId, JobSpec, QueueName};
use turmericfold_standin::TaskBehaviour;

use super::{FleetWorld, Later, QUEUE, Submitted};

impl FleetWorld {
    /// Hands a job in at a node; its tasks work as `behaviours` say, one a step.
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
        self.ask(node, job, CallerRequest::Submit { queue, job, spec });
    }

    /// Hands a job in again as its caller does that had no answer.
    pub fn submit_again(&mut self, node: usize, job: JobId) {
        let known = self.jobs.get(&job).map(|known| known.spec.clone());
        if let Some(spec) = known {
            let queue = QueueName(QUEUE.into());
            self.ask(node, job, CallerRequest::Submit { queue, job, spec });
        }
    }

    /// Cancels a job at a node.
    pub fn cancel(&mut self, node: usize, job: JobId) {
        self.ask(node, job, CallerRequest::Cancel { job });
    }

    /// Asks for the state of a job at a node.
    pub fn ask_state(&mut self, node: usize, job: JobId) {
        self.ask(node, job, CallerRequest::State { job });
    }

    pub(super) fn ask(&mut self, node: usize, job: JobId, request: CallerRequest) {
        self.last_call += 1;
        let call = CallId(self.last_call);
        let Some(running) = &self.nodes[node] else {
            return;
        };
        let process = running.process.clone();
        self.calls.insert(call, job);
        let event = Event::CallerRequest { call, request };
        self.post(3, Later::Node { process, event });
    }

    pub(super) fn take_answer(&mut self, call: CallId, answer: CallerAnswer) {
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
                self.oracle.note_cancelled(self.now, job);
            }
            CallerAnswer::State(state) => {
                known.state = Some(state);
                self.oracle.note_state(self.now, job, state);
            }
            CallerAnswer::NoSuchJob if known.accepted => self.oracle.note_lost(job),
            _ => {}
        }
    }
}
