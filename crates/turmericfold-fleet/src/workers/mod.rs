//! The workers that this process owns.

mod clock;
mod look;
mod order;
mod owner;
mod pace;
mod run;
mod tail;
mod worker;

pub(crate) use owner::WorkerOwner;
