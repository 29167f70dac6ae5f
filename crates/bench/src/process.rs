//! Child processes that end with the harness.

use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::signal::{Signal, send_signal, tie_to_parent};

const NS_PER_US: u64 = 1_000;
const FIRST_PORT: u16 = 10_000;
const PORTS: u16 = 20_000;
const POLL: Duration = Duration::from_millis(5);

/// A process started by the harness; it is killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The file that holds what the process wrote.
    pub log: PathBuf,
}

impl Process {
    /// Starts `program` and sends its output to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns the error of the file or of the start.
    pub fn start(program: &Path, args: &[String], log: &Path) -> io::Result<Self> {
        Self::start_with(program, args, &[], log)
    }

    /// Starts `program` with further environment variables.
    ///
    /// # Errors
    ///
    /// Returns the error of the file or of the start.
    pub fn start_with(
        program: &Path,
        args: &[String],
        variables: &[(&str, &Path)],
        log: &Path,
    ) -> io::Result<Self> {
        let output = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command
            .args(args)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output);
        tie_to_parent(&mut command);
        let child = command
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", program.display())))?;
        Ok(Self {
            child,
            log: log.to_path_buf(),
        })
    }

    /// Returns the number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal; returns whether the process was there to take it.
    pub fn signal(&mut self, signal: Signal) -> bool {
        self.is_running() && send_signal(self.child.id(), signal)
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        // Both fail only for a process that has ended, which is what is asked for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process ends; returns its status code, or `None` after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Option<i32> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.code().unwrap_or(-1));
            }
            tokio::time::sleep(POLL).await;
        }
        None
    }

    /// Returns the processor time that the process has used, in microseconds.
    pub fn processor_us(&self) -> Option<u64> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.id())).ok()?;
        let files = tasks.filter_map(|task| Some(task.ok()?.path().join("schedstat")));
        let texts = files.filter_map(|file| std::fs::read_to_string(file).ok());
        let times = texts.filter_map(|text| text.split(' ').next()?.parse::<u64>().ok());
        Some(times.sum::<u64>() / NS_PER_US)
    }

    /// Returns the most memory that the process has held, in bytes.
    pub fn peak_memory(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmHWM:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1024)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a loopback address that nothing listens on.
///
/// # Panics
///
/// Panics when every port of the range is in use.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() % 199) as u16 * 100;
    for _ in 0..PORTS {
        let number = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + number % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no loopback port is free; end processes that listen on many ports");
}

/// Waits until something accepts connections at `address`; returns whether it did in time.
pub async fn wait_for_listener(address: SocketAddr, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if TcpStream::connect_timeout(&address, POLL).is_ok() {
            return true;
        }
        tokio::time::sleep(POLL).await;
    }
    false
}

/// Returns the path of a program built by this workspace beside the running one.
///
/// # Panics
///
/// Panics when the program has not been built.
pub fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let found = own.ancestors().skip(1).take(3).find_map(|dir| {
        let candidates = [dir.join(name), dir.join("examples").join(name)];
        candidates.into_iter().find(|path| path.is_file())
    });
    found.unwrap_or_else(|| panic!("{name} is not built; run cargo build --workspace --examples"))
}
