//! The HTTP interface for callers, operators and the balancer.

mod auth;
mod body;
mod console;
mod declarations;
mod error;
mod health;
mod jobs;
mod requests;
mod tickets;

use std::sync::Arc;

use poem::{EndpointExt, IntoEndpoint, Route, get, post};

pub(crate) use error::{NoAnswer, refuse};
pub(crate) use health::check_serving;

use crate::node::Shared;

/// Returns all routes of a node.
pub(crate) fn routes(shared: Arc<Shared>) -> impl IntoEndpoint {
    Route::new()
        .at("/healthz", get(health::healthz))
        .at("/readyz", get(health::readyz))
        .at("/v1/tickets", post(tickets::post_tickets))
        .at(
            "/v1/declarations",
            get(declarations::get_declarations).put(declarations::put_declarations),
        )
        .at("/v1/console", post(console::post_console))
        .at("/v1/jobs", post(jobs::post_job))
        .at("/v1/jobs/:id", get(jobs::get_job).delete(jobs::delete_job))
        .at("/v1/requests", post(requests::post_request))
        .data(shared)
}
