//! The file in which a case writes down what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};

use crate::clock_ms;

#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn create(path: &Path) -> Self {
        Self(Arc::new(Mutex::new(File::create(path).expect("no record"))))
    }

    /// Writes a line with the time in seconds since the start.
    pub fn line(&self, text: &str) {
        let at = (clock_ms() - 1_000_000) as f64 / 1_000.0;
        let _ = writeln!(self.0.lock().unwrap(), "{at:8.3} {text}");
    }
}
