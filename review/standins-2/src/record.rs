//! What was sent, answered and run, with the time since the start.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

#[derive(Debug)]
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = Mutex::new(File::create(path).expect("record.txt can be written"));
        Self { began: Instant::now(), file }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
        let _ = file.flush();
    }
}
