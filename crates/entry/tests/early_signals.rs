//! Signals that reach a process while it starts.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    fs::{self, File},
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use async_std::task;
use notch_platform_standins::store::StandInStore;
use notch_soak::config::gateway_config;
use rstest::rstest;
use rustix::{
    fs::{CWD, FileType, Mode, OFlags, mknodat},
    process::{Pid, Signal, kill_process},
};

/// Timeout of each wait, far above the expected duration on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Role of a process.
#[derive(Debug, Clone, Copy)]
enum ProcessRole {
    Gateway,
    Disk,
}

impl ProcessRole {
    fn name(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Disk => "disk",
        }
    }

    fn settings(self) -> String {
        match self {
            Self::Gateway => {
                let store = task::block_on(StandInStore::start());
                gateway_config("g-1", store.address).render()
            }
            Self::Disk => "[node]\nvm = d-1\ndomain = a\nregion = r\n".to_owned(),
        }
    }
}

fn until<T>(what: &str, check: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    let mut check = check;
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(began.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Opens a pipe for writing as soon as the process reads from it.
fn open_read_pipe(pipe: &Path) -> File {
    let nonblocking = OFlags::NONBLOCK.bits() as i32;
    until("a process that reads its settings", || {
        File::options().write(true).custom_flags(nonblocking).open(pipe).ok()
    })
}

fn send(child: &Child, signal: Signal) {
    kill_process(Pid::from_child(child), signal).unwrap();
}

/// Guards against a process that a reload ends while it starts, before signals are handled.
#[rstest]
fn a_reload_ends_no_process_that_starts(
    #[values(ProcessRole::Gateway, ProcessRole::Disk)] role: ProcessRole,
) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("early-signals").join(role.name());
    // The folder exists only if the test ran before.
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    let (path, log) = (folder.join("settings.ini"), folder.join("log"));
    mknodat(CWD, &path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_notch-entry"))
        .arg("--config")
        .arg(&path)
        .arg(role.name())
        .stdin(Stdio::null())
        .stdout(File::create(&log).unwrap())
        .spawn()
        .unwrap();
    let mut pipe = open_read_pipe(&path);
    send(&child, Signal::HUP);
    let settings = role.settings();
    let regular = folder.join("regular.ini");
    fs::write(&regular, &settings).unwrap();
    fs::rename(&regular, &path).unwrap();
    // Fails only if the process has ended, which its status shows.
    let _ = pipe.write_all(settings.as_bytes());
    drop(pipe);
    let is_started = || fs::read_to_string(&log).unwrap().contains("event=started");
    until("a start or an end", || {
        (is_started() || child.try_wait().unwrap().is_some()).then_some(())
    });
    assert_eq!(child.try_wait().unwrap(), None, "the process has ended");
    send(&child, Signal::TERM);
    let status = until("the end", || child.try_wait().unwrap());
    assert!(status.success(), "{status}");
}
