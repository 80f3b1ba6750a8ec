//! The workers that this process owns.

mod clock;
mod ends;
mod evidence;
mod expiry;
mod isolation;
mod order;
mod owner;
mod pace;
mod poll;
mod report;
mod run;
mod slack;
mod worker;

pub(crate) use owner::WorkerOwner;
