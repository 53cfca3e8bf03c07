use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;

use super::LEAVING_HEADER;
use super::answer::Answer;
use super::fault::EndpointFault;
use super::faulty_write;
use super::faulty_write::NextStep;
use super::http_request::HttpRequest;
use super::request_reader::RequestReader;
use super::state::RequestDisposition;
use super::state::Run;
use super::state::State;
use super::work;
use crate::clock::now_ms;
use crate::lock::lock;

/// Serves the requests of one connection until it closes.
pub(super) fn serve(state: &Mutex<State>, stream: &TcpStream) {
    // Any I/O error ends the connection.
    let _ = serve_all(state, stream);
}

fn serve_all(state: &Mutex<State>, stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let idle_timeout_ms = lock(state).settings.idle_timeout_ms;
    let mut reader = RequestReader::new(stream);
    let mut next = NextStep::Keep;
    while next != NextStep::Close {
        let timeout_ms = match next {
            NextStep::CloseIdle { after_ms } => Some(after_ms),
            NextStep::Keep | NextStep::Close => idle_timeout_ms,
        };
        work::set_read_timeout(stream, timeout_ms);
        let Some(request) = reader.next()? else {
            return Ok(());
        };
        work::set_read_timeout(stream, None);
        work::wait_while_frozen(state);
        next = serve_one(state, stream, &request)?;
    }
    Ok(())
}

fn serve_one(
    state: &Mutex<State>,
    stream: &TcpStream,
    request: &HttpRequest,
) -> io::Result<NextStep> {
    lock(state).unanswered += 1;
    let served = if request.path() == lock(state).settings.health_path {
        answer_health(state, stream, request)
    } else {
        answer_request(state, stream, request)
    };
    lock(state).unanswered -= 1;
    match served? {
        NextStep::Keep if request.wants_close() => Ok(NextStep::Close),
        next => Ok(next),
    }
}

fn answer_health(
    state: &Mutex<State>,
    mut stream: &TcpStream,
    request: &HttpRequest,
) -> io::Result<NextStep> {
    let mut answer = Answer::new(request, 200, b"up\n".to_vec());
    if lock(state).is_leaving() {
        answer.status = 503;
        answer.add_header(LEAVING_HEADER, "yes");
    }
    stream.write_all(&answer.to_bytes())?;
    Ok(NextStep::Keep)
}

fn answer_request(
    state: &Mutex<State>,
    mut stream: &TcpStream,
    request: &HttpRequest,
) -> io::Result<NextStep> {
    work::wait_for_slot(state);
    let disposition = lock(state).begin(request, now_ms());
    match disposition {
        RequestDisposition::Run(run) => answer_run(state, stream, request, &run),
        RequestDisposition::CloseWithoutRun => Ok(NextStep::Close),
        RequestDisposition::Leaving => {
            stream.write_all(&Answer::leaving(request).to_bytes())?;
            Ok(NextStep::Keep)
        }
    }
}

fn answer_run(
    state: &Mutex<State>,
    stream: &TcpStream,
    request: &HttpRequest,
    run: &Run,
) -> io::Result<NextStep> {
    let number = run.number;
    match run.fault {
        Some(EndpointFault::Hang) => work::hang(state, stream, number),
        Some(EndpointFault::FailFast) => work::run(state, stream, number, 0),
        Some(EndpointFault::Slow { factor }) => {
            work::run(state, stream, number, run.work_ms * u64::from(factor));
        }
        _ => work::run(state, stream, number, run.work_ms),
    }
    let instance = lock(state).settings.instance.clone();
    let answer = Answer::for_run(request, &instance, number);
    faulty_write::send(state, stream, request, answer, run.fault.as_ref())
}
