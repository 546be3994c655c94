//! What was sent, answered and run, with the time of each.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("create record");
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("lock");
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }
}
