//! CPU time of this process's threads, from `/proc`.

use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Returns the CPU time that all threads with this name have used, without threads that ended.
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

/// Returns the CPU time of a thread: the first field of `schedstat`, in nanoseconds.
fn cpu_time_of_task(task: &Path) -> io::Result<Duration> {
    let stat = read(task, "schedstat");
    let nanos = stat.split(' ').next().and_then(|field| field.parse().ok());
    nanos
        .map(Duration::from_nanos)
        .ok_or_else(|| io::Error::other("schedstat does not start with a number"))
}

/// Reads a file of a thread; the text is empty if the thread has ended in the meantime.
fn read(task: &Path, file: &str) -> String {
    fs::read_to_string(task.join(file)).unwrap_or_default()
}
