//! What was sent, answered and run, with the time since the start of the case.

use std::{
    fs::{self, File},
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let _ = fs::create_dir_all(folder);
        let file = File::create(folder.join("record.txt")).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.began.elapsed().as_secs_f64());
        let mut file = self.file.lock().expect("no thread panics with the lock");
        let _ = file.write_all(line.as_bytes());
    }
}
