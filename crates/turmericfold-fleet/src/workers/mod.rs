//! The workers that this process owns.

mod clock;
mod ends;
mod look;
mod order;
mod owner;
mod pace;
mod report;
mod run;
mod tail;
mod worker;

pub(crate) use owner::WorkerOwner;
