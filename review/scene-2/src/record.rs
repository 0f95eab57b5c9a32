//! The record of a case: one line for each thing that was done or seen, with the time since the
//! start in ms.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { begun: Instant::now(), file })
    }

    /// Time since the start, in ms.
    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let now = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{now:>6} {line}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, line: &str) {
        self.write(line);
        println!("{:>6} {line}", self.now());
    }
}
