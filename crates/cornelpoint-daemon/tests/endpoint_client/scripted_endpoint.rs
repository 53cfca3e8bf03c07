//! An endpoint whose behaviour a test scripts at the byte level.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// One step of an endpoint's script.
#[derive(Clone, Copy)]
pub enum Step {
    /// Accepts a connection.
    Accept,
    /// Reads a request.
    Read,
    /// Writes bytes.
    Write(&'static [u8]),
    /// Writes a byte every few milliseconds until the client closes.
    Drip,
    /// Waits until the client has closed the connection.
    AwaitClose,
    /// Closes the connection.
    Close,
    /// Notifies the test that the script has reached this step.
    Notify,
    /// Waits until the test resumes the script.
    AwaitTest,
}

/// An endpoint that follows a script and records each request it reads.
pub struct ScriptedEndpoint {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<String>>>,
    pub notified: Receiver<()>,
    pub resume: Sender<()>,
}

impl ScriptedEndpoint {
    pub fn start(steps: &'static [Step]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (notify, notified) = channel();
        let (resume, wait) = channel();
        let recorded = Arc::clone(&requests);
        thread::spawn(move || {
            let mut stream = None;
            for step in steps {
                run_step(*step, &listener, &mut stream, &recorded, &notify, &wait);
            }
            // After the script, any extra request is still recorded.
            while let Ok((mut extra, _)) = listener.accept() {
                recorded.lock().unwrap().push(read_request(&mut extra));
            }
        });
        Self {
            address,
            requests,
            notified,
            resume,
        }
    }

    pub fn reads(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

fn run_step(
    step: Step,
    listener: &TcpListener,
    stream: &mut Option<TcpStream>,
    recorded: &Mutex<Vec<String>>,
    notify: &Sender<()>,
    wait: &Receiver<()>,
) {
    match step {
        Step::Accept => *stream = Some(listener.accept().unwrap().0),
        Step::Read => {
            let request = read_request(stream.as_mut().unwrap());
            recorded.lock().unwrap().push(request);
        }
        Step::Write(bytes) => stream.as_mut().unwrap().write_all(bytes).unwrap(),
        Step::Drip => {
            while stream.as_mut().unwrap().write_all(b"x").is_ok() {
                thread::sleep(Duration::from_millis(5));
            }
        }
        Step::AwaitClose => {
            // A reset of the connection counts as closed.
            let _ = stream.as_mut().unwrap().read_to_end(&mut Vec::new());
        }
        Step::Close => *stream = None,
        Step::Notify => notify.send(()).unwrap(),
        Step::AwaitTest => wait.recv().unwrap(),
    }
}

/// Reads a head and a body of the length that its content-length states.
fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut byte = [0];
    while !text.ends_with("\r\n\r\n") && stream.read(&mut byte).unwrap() > 0 {
        text.push(char::from(byte[0]));
    }
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    stream.read_exact(&mut body).unwrap();
    text.push_str(str::from_utf8(&body).unwrap());
    text
}
