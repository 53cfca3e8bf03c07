use std::io;
use std::io::Read;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use cornelpoint::platform::ListedInstance;
use cornelpoint::platform::Transaction;
use rouille::Request;
use rouille::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::faults::PlatformFaults;
use super::state::Answer;
use super::state::Rejection;
use super::state::State;
use crate::clock::now_ms;
use crate::lock::lock;

/// Maximum number of bytes read from a request body.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Path prefix of objects.
const OBJECTS: &str = "/objects/";

/// Answers one request.
pub(super) fn answer(state: &Mutex<State>, request: &Request) -> Response {
    let url = request.url();
    if let Some(name) = url.strip_prefix(OBJECTS) {
        return object(state, request, name);
    }
    match (request.method(), url.as_str()) {
        ("POST", "/table/transact") => transact(state, request),
        ("POST", "/table/read") => read(state, request),
        ("POST", "/table/scan") => scan(state, request),
        ("GET", "/instances") => instances(state),
        ("GET", "/health") => health(state),
        ("POST", "/instances") => list_instance(state, request),
        ("POST", "/faults") => set_faults(state, request),
        ("GET", "/dump") => Response::json(&lock(state).dump()),
        _ => Response::empty_404(),
    }
}

fn transact(state: &Mutex<State>, request: &Request) -> Response {
    let Some(transaction) = msgpack_body::<Transaction>(request) else {
        return Response::empty_400();
    };
    delay_before(state);
    let mut locked = lock(state);
    if let Err(rejection) = locked.admit_write(now_ms()) {
        return reject(rejection);
    }
    let answer = locked.transact(transaction);
    drop(locked);
    delay_after(state);
    match answer {
        Answer::Sent(outcome) => msgpack_response(&outcome),
        Answer::Lost => Response::empty_400().with_status_code(504),
    }
}

fn read(state: &Mutex<State>, request: &Request) -> Response {
    let Some(keys) = msgpack_body::<Vec<_>>(request) else {
        return Response::empty_400();
    };
    query(state, |state| msgpack_response(&state.read(&keys)))
}

fn scan(state: &Mutex<State>, request: &Request) -> Response {
    let Some(scan) = msgpack_body(request) else {
        return Response::empty_400();
    };
    query(state, |state| msgpack_response(&state.scan(&scan)))
}

fn instances(state: &Mutex<State>) -> Response {
    query(state, |state| {
        state.advance_list(now_ms());
        msgpack_response(&state.instances())
    })
}

fn object(state: &Mutex<State>, request: &Request, name: &str) -> Response {
    match request.method() {
        "GET" => query(state, |state| {
            state
                .object(name)
                .map_or_else(Response::empty_404, bytes_response)
        }),
        "PUT" => put_object(state, request, name),
        _ => Response::empty_404().with_status_code(405),
    }
}

fn put_object(state: &Mutex<State>, request: &Request, name: &str) -> Response {
    let Ok(content) = body(request) else {
        return Response::empty_400();
    };
    delay_before(state);
    let mut locked = lock(state);
    if let Err(rejection) = locked.admit_write(now_ms()) {
        return reject(rejection);
    }
    locked.put_object(name, content);
    drop(locked);
    delay_after(state);
    Response::empty_204()
}

fn health(state: &Mutex<State>) -> Response {
    if lock(state).faults().down {
        return reject(Rejection::Down);
    }
    Response::text("up")
}

fn list_instance(state: &Mutex<State>, request: &Request) -> Response {
    let Some(instance) = json_body::<ListedInstance>(request) else {
        return Response::empty_400();
    };
    lock(state).list_instance(instance, now_ms());
    Response::empty_204()
}

fn set_faults(state: &Mutex<State>, request: &Request) -> Response {
    let Some(faults) = json_body::<PlatformFaults>(request) else {
        return Response::empty_400();
    };
    lock(state).set_faults(faults, now_ms());
    Response::empty_204()
}

fn query(state: &Mutex<State>, run: impl FnOnce(&mut State) -> Response) -> Response {
    delay_before(state);
    let mut locked = lock(state);
    if let Err(rejection) = locked.admit_read(now_ms()) {
        return reject(rejection);
    }
    let response = run(&mut locked);
    drop(locked);
    delay_after(state);
    response
}

fn delay_before(state: &Mutex<State>) {
    let delay_ms = lock(state).faults().slow_ms;
    pause(delay_ms);
}

fn delay_after(state: &Mutex<State>) {
    let delay_ms = lock(state).faults().late_answer_ms;
    pause(delay_ms);
}

fn pause(delay_ms: u64) {
    if delay_ms > 0 {
        thread::sleep(Duration::from_millis(delay_ms));
    }
}

fn reject(rejection: Rejection) -> Response {
    match rejection {
        Rejection::Down => Response::text("down").with_status_code(503),
        Rejection::RateLimit => Response::text("over the rate limit").with_status_code(429),
    }
}

fn body(request: &Request) -> io::Result<Vec<u8>> {
    let mut content = Vec::new();
    if let Some(data) = request.data() {
        data.take(MAX_BODY_BYTES).read_to_end(&mut content)?;
    }
    Ok(content)
}

fn msgpack_body<T: DeserializeOwned>(request: &Request) -> Option<T> {
    rmp_serde::from_slice(&body(request).ok()?).ok()
}

fn json_body<T: DeserializeOwned>(request: &Request) -> Option<T> {
    serde_json::from_slice(&body(request).ok()?).ok()
}

fn msgpack_response<T: Serialize>(value: &T) -> Response {
    match rmp_serde::to_vec_named(value) {
        Ok(content) => bytes_response(content),
        Err(error) => Response::text(error.to_string()).with_status_code(500),
    }
}

fn bytes_response(content: Vec<u8>) -> Response {
    Response::from_data("application/msgpack", content)
}
