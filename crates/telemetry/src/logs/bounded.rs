//! A log writer that never blocks its caller.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

/// Maximum number of lines that wait to be written: about 200 KB, one second of a gateway's log at
/// peak load.
const QUEUE_LINES: usize = 1_024;

/// Passes lines to a thread that writes them to standard output, and drops lines when the queue is
/// full.
///
/// If the reader of the output stops reading, a process that writes directly blocks in the middle of
/// a request. The number of dropped lines is reported in a line after the next lines written.
#[derive(Debug)]
pub(crate) struct BoundedOutput {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl BoundedOutput {
    /// Starts the thread. `None` if it can't be created.
    pub(crate) fn start() -> Option<Self> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        let writer = thread::Builder::new().name("log".to_owned());
        writer.spawn(move || write_lines(&queue, &counter)).ok()?;
        Some(Self { lines, dropped })
    }
}

impl Write for BoundedOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(mut text) = queue.recv() {
        // All waiting lines are written at once, because each write costs a system call.
        while let Ok(more) = queue.try_recv() {
            text.extend_from_slice(&more);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.extend_from_slice(format!("event=log_lines_dropped count={lost}\n").as_bytes());
        }
        // If the output is closed there is nowhere to report the error.
        let _ = io::stdout().write_all(&text);
    }
}
