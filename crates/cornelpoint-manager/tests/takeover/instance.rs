use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use platform_standin::settings::InstanceSettings;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// A manager process, killed when dropped.
#[derive(Debug)]
pub struct Instance {
    pub name: String,
    pub caller_address: SocketAddr,
    process: Child,
}

impl Instance {
    /// Starts a process. Its settings and output are files in `folder`.
    pub fn start(settings: &InstanceSettings, folder: &Path) -> Self {
        let name = settings.node.clone();
        let settings_path = folder.join(format!("{name}.toml"));
        fs::write(&settings_path, settings.text()).unwrap();
        let output = File::create(folder.join(format!("{name}.log"))).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_cornelpoint-manager"))
            .arg("--settings")
            .arg(&settings_path)
            .stdin(Stdio::null())
            .stderr(output.try_clone().unwrap())
            .stdout(output)
            .spawn()
            .unwrap();
        Self {
            name,
            caller_address: settings.caller_address(),
            process,
        }
    }

    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    pub fn kill(&self) {
        self.signal(Signal::KILL);
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
