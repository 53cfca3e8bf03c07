use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use platform_standin::settings::InstanceSettings;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// A manager process, killed when dropped.
#[derive(Debug)]
pub struct Instance {
    pub name: String,
    pub caller_address: SocketAddr,
    settings_path: PathBuf,
    process: Child,
}

impl Instance {
    /// Starts a process. Its settings and output are files in `folder`.
    pub fn start(settings: &InstanceSettings, folder: &Path) -> Self {
        let name = settings.node.clone();
        let settings_path = folder.join(format!("{name}.toml"));
        fs::write(&settings_path, settings.text()).unwrap();
        let output = File::create(folder.join(format!("{name}.log"))).unwrap();
        Self {
            name,
            caller_address: settings.caller_address(),
            process: spawn(&settings_path, output),
            settings_path,
        }
    }

    /// Starts another process on the instance, in place of one that was killed.
    pub fn restart(&mut self) {
        self.process.wait().unwrap();
        let path = self.settings_path.with_extension("log");
        let output = File::options().append(true).open(path).unwrap();
        self.process = spawn(&self.settings_path, output);
    }

    /// Adds a line before the others of the settings file, which the next process reads.
    pub fn add_setting(&self, line: &str) {
        let text = fs::read_to_string(&self.settings_path).unwrap();
        fs::write(&self.settings_path, format!("{line}\n{text}")).unwrap();
    }

    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    pub fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Returns the processor time that the process has used.
    pub fn cpu_time(&self) -> Duration {
        const TICK_MS: u64 = 10;
        let path = format!("/proc/{}/stat", self.process.id());
        let stat = fs::read_to_string(path).unwrap();
        // The process's name, in parentheses, may contain spaces; the times in user
        // and system mode are the 12th and 13th field after it.
        let (_, fields) = stat.rsplit_once(')').unwrap();
        let times = fields.split_whitespace().skip(11).take(2);
        let ticks: u64 = times.map(|time| time.parse::<u64>().unwrap()).sum();
        Duration::from_millis(ticks * TICK_MS)
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.process.id()).unwrap();
        kill_process(Pid::from_raw(id).unwrap(), signal).unwrap();
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Fails only if the process has ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Starts a manager process that writes its output to a file.
fn spawn(settings_path: &Path, output: File) -> Child {
    Command::new(env!("CARGO_BIN_EXE_cornelpoint-manager"))
        .arg("--settings")
        .arg(settings_path)
        .stdin(Stdio::null())
        .stderr(output.try_clone().unwrap())
        .stdout(output)
        .spawn()
        .unwrap()
}
