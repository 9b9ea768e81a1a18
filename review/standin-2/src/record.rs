//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("the record can be written")),
            started: Instant::now(),
        }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now().as_secs_f64());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}
