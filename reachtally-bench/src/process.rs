//! Child processes of an experiment: the daemon, the relay and the stand-ins, as in production.
//!
//! Only this tool starts processes; the daemon and the stand-ins start none.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::Duration;

/// Clock ticks per second in `/proc/<pid>/stat`, fixed by the kernel ABI.
const TICKS_PER_S: f64 = 100.0;

/// A child process that is killed on drop.
pub struct Process {
    child: Child,
    /// Kept open, since a child that writes to a closed pipe fails.
    _stdout: Option<BufReader<ChildStdout>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Process {
    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process is running. A zombie is not.
    pub fn is_running(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()));
        stat.is_ok_and(|stat| !stat.contains(") Z "))
    }

    /// Returns the processor time used so far.
    pub fn cpu(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()));
        let ticks = stat.ok().and_then(|stat| cpu_ticks(&stat)).unwrap_or(0);
        Duration::from_secs_f64(ticks as f64 / TICKS_PER_S)
    }

    /// Returns the resident memory in bytes.
    pub fn resident(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        status
            .ok()
            .and_then(|status| resident_of(&status))
            .unwrap_or(0)
    }
}

/// Parses the resident memory in bytes from `/proc/<pid>/status`.
pub fn resident_of(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * 1024)
}

/// Parses user plus system time, fields 14 and 15 of `/proc/<pid>/stat`. The process name before them may contain spaces.
fn cpu_ticks(stat: &str) -> Option<u64> {
    let after_name = stat.rsplit_once(") ")?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some(user + system)
}

/// Finds a program in the directory of this executable.
fn program(name: &str) -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|err| err.to_string())?;
    let path = own.with_file_name(name);
    if path.exists() {
        return Ok(path);
    }
    Err(format!("{name} is not built; run: cargo build --release"))
}

/// Starts a program and returns the first line that it prints.
fn start(command: &mut Command) -> Result<(Process, String), String> {
    let mut child = command
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|err| err.to_string())?;
    let stdout = child
        .stdout
        .take()
        .ok_or("the child process has no standard output")?;
    let mut stdout = BufReader::new(stdout);
    let mut line = String::new();
    let read = stdout.read_line(&mut line);
    let process = Process {
        child,
        _stdout: Some(stdout),
    };
    read.map_err(|err| err.to_string())?;
    Ok((process, line.trim().to_owned()))
}

/// Starts a stand-in and returns its base address, which it prints first.
pub fn standin(arguments: &[String]) -> Result<(Process, String), String> {
    start(Command::new(program("reachtally-standin")?).args(arguments))
}

/// Starts the relay of whole requests in front of an engine and returns its address.
pub fn relay_box(engine: SocketAddr, logs: bool) -> Result<(Process, SocketAddr), String> {
    let own = std::env::current_exe().map_err(|err| err.to_string())?;
    let mut command = Command::new(own);
    command.args(["relay-box", "--engine", &engine.to_string()]);
    if logs {
        command.arg("--logs");
    }
    let (process, line) = start(&mut command)?;
    let address = line
        .parse()
        .map_err(|_| format!("the relay printed no valid address: {line:?}"))?;
    Ok((process, address))
}

/// Starts a daemon with a settings file.
pub fn daemon(settings: &std::path::Path) -> Result<Process, String> {
    let child = Command::new(program("reachtallyd")?)
        .arg("run")
        .arg("--settings")
        .arg(settings)
        .env("RUST_LOG", "warn")
        .spawn()
        .map_err(|err| err.to_string())?;
    Ok(Process {
        child,
        _stdout: None,
    })
}
