//! What was sent, answered and run, with the time since the start.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Lines of a run, in order. All stand-ins of a run write to the same record.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn note(&self, text: impl Into<String>) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: impl Into<String>) {
        let since = at.saturating_duration_since(self.began);
        self.lines.lock().unwrap().push((since, text.into()));
    }

    /// Writes a line that is also shown.
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:8.3} s  {text}", self.began.elapsed().as_secs_f64());
        self.note(text);
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let lines = lines.iter();
        let text: String = lines
            .map(|(at, text)| format!("{:8.3} s  {text}\n", at.as_secs_f64()))
            .collect();
        std::fs::write(path, text)
    }
}
