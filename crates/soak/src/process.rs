//! A gateway as a process of its own, and the signals that it gets.

use std::{
    fs::{self, File},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use notch_settings::EntryConfig;
use rustix::process::{Pid, Signal, kill_process};

/// A gateway's process. It is killed when this is dropped.
#[derive(Debug)]
pub struct GatewayProcess {
    /// Its VM.
    pub name: String,
    /// Where it serves clients.
    pub clients: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl GatewayProcess {
    /// A gateway that hasn't been started, with its settings written to `folder`.
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

    /// Starts it, after its end if it runs.
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

    /// Its name with the number of its start.
    pub fn incarnation(&self) -> String {
        format!("{}#{}", self.name, self.starts)
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            // It may have ended by itself, which `has_ended` tells.
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether it has ended by itself or by a signal.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)) | Err(_)))
    }

    /// Kills it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only when it has ended already.
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
