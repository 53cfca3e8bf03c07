use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::OnceLock;

/// Signal to a process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Terminate,
    Kill,
    Stop,
    Continue,
}

impl Signal {
    fn option(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// Running program; it is killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program with a settings file; its log is written beside that file.
    pub fn start(program: &str, settings: &Path) -> Self {
        let log = File::create(settings.with_extension("log")).unwrap();
        let child = Command::new(binaries().join(program))
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        Self { child }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let status = Command::new("/bin/kill")
            .arg(signal.option())
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
        assert!(status.success(), "{signal:?}: {status}");
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// Sends the signal to terminate and waits for the exit code.
    pub fn terminate(&mut self) -> Option<i32> {
        self.signal(Signal::Terminate);
        self.wait().code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the folder of the programs and builds them first.
///
/// Cargo builds only the programs of this test's own crate before a test.
fn binaries() -> &'static Path {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    FOLDER.get_or_init(|| {
        let folder = Path::new(env!("CARGO_BIN_EXE_cornelpoint"))
            .parent()
            .unwrap();
        let mut build = Command::new(std::env::var_os("CARGO").unwrap());
        build.args(["build", "--workspace", "--bins", "--locked", "--quiet"]);
        build.arg("--target-dir").arg(folder.parent().unwrap());
        if folder.ends_with("release") {
            build.arg("--release");
        }
        let status = build.status().unwrap();
        assert!(status.success(), "build: {status}");
        folder.to_owned()
    })
}
