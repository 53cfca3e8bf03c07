//! An endpoint that does at the byte level what a test says.

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
    /// Takes a connection.
    Accept,
    /// Reads a request.
    Read,
    /// Writes bytes.
    Write(&'static [u8]),
    /// Writes a byte every few milliseconds until the client is gone.
    Drip,
    /// Waits until the client closed the connection.
    AwaitClose,
    /// Closes the connection.
    Close,
    /// Tells the test that the script came here.
    Tell,
    /// Waits for the test.
    Wait,
}

/// An endpoint that follows a script and notes each request it reads.
pub struct ScriptedEndpoint {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<String>>>,
    pub told: Receiver<()>,
    pub go_on: Sender<()>,
}

impl ScriptedEndpoint {
    pub fn start(steps: &'static [Step]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (tell, told) = channel();
        let (go_on, wait) = channel();
        let noted = Arc::clone(&requests);
        thread::spawn(move || {
            let mut stream = None;
            for step in steps {
                play(*step, &listener, &mut stream, &noted, &tell, &wait);
            }
            // An endpoint whose script is over notes any further request.
            while let Ok((mut further, _)) = listener.accept() {
                noted.lock().unwrap().push(read_request(&mut further));
            }
        });
        Self {
            address,
            requests,
            told,
            go_on,
        }
    }

    pub fn reads(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

fn play(
    step: Step,
    listener: &TcpListener,
    stream: &mut Option<TcpStream>,
    noted: &Mutex<Vec<String>>,
    tell: &Sender<()>,
    wait: &Receiver<()>,
) {
    match step {
        Step::Accept => *stream = Some(listener.accept().unwrap().0),
        Step::Read => {
            let request = read_request(stream.as_mut().unwrap());
            noted.lock().unwrap().push(request);
        }
        Step::Write(bytes) => stream.as_mut().unwrap().write_all(bytes).unwrap(),
        Step::Drip => {
            while stream.as_mut().unwrap().write_all(b"x").is_ok() {
                thread::sleep(Duration::from_millis(5));
            }
        }
        Step::AwaitClose => {
            // A reset closes as well.
            let _ = stream.as_mut().unwrap().read_to_end(&mut Vec::new());
        }
        Step::Close => *stream = None,
        Step::Tell => tell.send(()).unwrap(),
        Step::Wait => wait.recv().unwrap(),
    }
}

/// Reads a head and the body that its content-length announces.
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
