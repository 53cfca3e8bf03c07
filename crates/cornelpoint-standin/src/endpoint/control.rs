use std::sync::Mutex;

use rouille::Request;
use rouille::Response;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::fault::FaultRule;
use super::state::State;
use crate::clock::now_ms;
use crate::lock::lock;

/// Body of the request that makes an endpoint leave or return.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Leaving {
    leaving: bool,
}

/// Answers one request to the control server.
pub(super) fn answer(state: &Mutex<State>, request: &Request) -> Response {
    match (request.method(), request.url().as_str()) {
        ("POST", "/standin/faults") => set_faults(state, request),
        ("POST", "/standin/leaving") => set_leaving(state, request),
        ("GET", "/standin/dump") => Response::json(&lock(state).dump()),
        ("GET", "/standin/history") => Response::json(&lock(state).history()),
        _ => Response::empty_404(),
    }
}

fn set_faults(state: &Mutex<State>, request: &Request) -> Response {
    let Some(rules) = body::<Vec<FaultRule>>(request) else {
        return Response::empty_400();
    };
    lock(state).rules.set(rules);
    Response::empty_204()
}

fn set_leaving(state: &Mutex<State>, request: &Request) -> Response {
    let Some(leaving) = body::<Leaving>(request) else {
        return Response::empty_400();
    };
    lock(state).set_leaving(leaving.leaving, now_ms());
    Response::empty_204()
}

fn body<T: DeserializeOwned>(request: &Request) -> Option<T> {
    serde_json::from_reader(request.data()?).ok()
}
