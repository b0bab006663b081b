//! The record of a case: what was sent, answered and run, with the time since the start in ms.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

/// Unix time in ms.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), began: Instant::now() })
    }

    /// Writes one line.
    pub fn line(&self, text: String) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>9.3} {text}", self.began.elapsed().as_secs_f64());
    }
}
