//! What was sent, answered and run: a file for readers and a list for the checks.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Instant;

/// A start or an end of a run, as the worker saw it.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_s: f64,
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// `None` for a start, else how the run ended.
    pub end: Option<&'static str>,
}

struct Record {
    began: Instant,
    file: Mutex<File>,
    events: Mutex<Vec<Event>>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Opens the record; call once, first.
pub fn open(path: &str) -> std::io::Result<()> {
    let file = Mutex::new(File::create(path)?);
    let record = Record {
        began: Instant::now(),
        file,
        events: Mutex::default(),
    };
    assert!(RECORD.set(record).is_ok(), "the record is opened once");
    Ok(())
}

fn record() -> &'static Record {
    RECORD.get().expect("the record is open")
}

/// Seconds since the record was opened.
pub fn now_s() -> f64 {
    record().began.elapsed().as_secs_f64()
}

/// Writes a line with the time.
pub fn note(text: &str) {
    let line = format!("{:9.3} {text}\n", now_s());
    print!("{line}");
    let mut file = record().file.lock().expect("record");
    file.write_all(line.as_bytes()).expect("record.txt");
}

/// Adds an event and writes it down.
pub fn add(worker: &str, task: &str, run: u64, end: Option<&'static str>) {
    let event = Event {
        at_s: now_s(),
        worker: worker.to_owned(),
        task: task.to_owned(),
        run,
        end,
    };
    let what = end.map_or("started".to_owned(), |how| format!("ended: {how}"));
    note(&format!("run {task} number {run} on {worker} {what}"));
    record().events.lock().expect("events").push(event);
}

/// All events so far.
pub fn events() -> Vec<Event> {
    record().events.lock().expect("events").clone()
}

/// A run with its start and end; without an end, it is still active.
#[derive(Clone, Debug)]
pub struct RunSpan {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub from_s: f64,
    pub to_s: Option<f64>,
    pub how: Option<&'static str>,
}

/// The runs of a task, or of all tasks that begin with a text, by start.
pub fn runs(task_prefix: &str) -> Vec<RunSpan> {
    let mut spans: Vec<RunSpan> = Vec::new();
    for event in events() {
        if !event.task.starts_with(task_prefix) {
            continue;
        }
        match event.end {
            None => spans.push(RunSpan {
                worker: event.worker,
                task: event.task,
                run: event.run,
                from_s: event.at_s,
                to_s: None,
                how: None,
            }),
            Some(how) => {
                let open = spans.iter_mut().rev().find(|span| {
                    span.to_s.is_none()
                        && span.task == event.task
                        && span.run == event.run
                        && span.worker == event.worker
                });
                if let Some(span) = open {
                    span.to_s = Some(event.at_s);
                    span.how = Some(how);
                }
            }
        }
    }
    spans
}
