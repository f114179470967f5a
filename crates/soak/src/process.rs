//! A gateway as a separate process that can be started, signalled and killed.

use std::{
    fs::{self, File},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use notch_settings::EntryConfig;
use rustix::process::{Pid, Signal, kill_process};

/// A gateway process, which is killed on drop.
#[derive(Debug)]
pub struct GatewayProcess {
    /// Name of its VM.
    pub name: String,
    /// Address at which it serves clients.
    pub clients: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl GatewayProcess {
    /// Writes the settings of a gateway to `folder` without starting it.
    ///
    /// # Errors
    /// The settings can't be written.
    pub fn new(program: &Path, folder: &Path, config: &EntryConfig) -> io::Result<Self> {
        let name = config.node.vm.as_str().to_owned();
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, config.render())?;
        let log = folder.join(format!("{name}.log"));
        let clients = config.listen.clients;
        let program = program.to_owned();
        Ok(Self { name, clients, program, settings, log, child: None, starts: 0 })
    }

    /// Starts the process; a running one is killed first.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn start(&mut self) -> io::Result<()> {
        self.kill();
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&self.settings)
            .arg("gateway")
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        self.starts += 1;
        Ok(())
    }

    /// Name of the gateway with the number of its starts, which identifies the process.
    pub fn incarnation(&self) -> String {
        format!("{}#{}", self.name, self.starts)
    }

    /// Process id; `None` while the process isn't started.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            // The process may have ended by itself, which `has_ended` reports.
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the process handles a signal by itself, as the operating system tells.
    pub fn catches(&self, signal: Signal) -> bool {
        let status = self.pid().map(|pid| fs::read_to_string(format!("/proc/{pid}/status")));
        let Some(Ok(status)) = status else { return false };
        let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        caught.is_some_and(|mask| mask & (1 << (signal.as_raw() - 1)) != 0)
    }

    /// Whether the process isn't running.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)) | Err(_)))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both calls fail only if the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
