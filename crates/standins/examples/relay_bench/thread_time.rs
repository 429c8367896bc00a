//! Processor time of this process's threads.

use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Returns the processor time that threads with this name have used.
pub fn cpu_time_of_threads(name: &str) -> io::Result<Duration> {
    let mut sum = Duration::ZERO;
    for task in fs::read_dir("/proc/self/task")? {
        let task = task?.path();
        if read(&task, "comm").trim_end() == name {
            sum += cpu_time_of_task(&task)?;
        }
    }
    Ok(sum)
}

/// Reads the first field of `schedstat`, the nanoseconds spent on a processor.
fn cpu_time_of_task(task: &Path) -> io::Result<Duration> {
    let stat = read(task, "schedstat");
    let nanos = stat.split(' ').next().and_then(|field| field.parse().ok());
    nanos
        .map(Duration::from_nanos)
        .ok_or_else(|| io::Error::other("schedstat has another form"))
}

/// Reads a file of a thread, which may have ended in the meantime.
fn read(task: &Path, file: &str) -> String {
    fs::read_to_string(task.join(file)).unwrap_or_default()
}
