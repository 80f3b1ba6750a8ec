//! The caller interface over HTTP.

mod body;
mod reply;
mod routes;
mod server;
mod services;
mod task_input;
mod tasks;

pub use server::{CallerServer, serve_callers};
