//! A daemon as a separate process, which can be paused, resumed, shut down and killed.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGCONT, SIGSTOP, SIGTERM};
use ureq::Agent;

/// The interval at which an awaited condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The unit of CPU times under `/proc`, in ms.
const CPU_TICK_MS: u64 = 10;

/// The addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ports {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform and operators connect.
    pub admin: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
}

impl Ports {
    /// Finds three free ports of 127.0.0.1. Another process may take one before the daemon binds them.
    ///
    /// # Errors
    ///
    /// The operating system's error if no port is available.
    pub fn free() -> std::io::Result<Self> {
        let listeners = [free()?, free()?, free()?];
        Ok(Self {
            callers: listeners[0].local_addr()?,
            admin: listeners[1].local_addr()?,
            peers: listeners[2].local_addr()?,
        })
    }
}

fn free() -> std::io::Result<TcpListener> {
    TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0))
}

/// A daemon process, which is killed when dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    ports: Ports,
    http_client: Agent,
}

impl DaemonProcess {
    /// Starts a daemon with these settings. The settings file and the log are in `folder`, named after the VM.
    ///
    /// # Errors
    ///
    /// The operating system's error if a file cannot be written or the process cannot be started.
    pub fn start(folder: &Path, vm: &str, ports: Ports, settings: &str) -> std::io::Result<Self> {
        let path = folder.join(format!("{vm}.yaml"));
        std::fs::write(&path, settings)?;
        let log = File::create(folder.join(format!("{vm}.log")))?;
        let child = Command::new(daemon_path()?)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(Duration::from_secs(1)));
        Ok(Self {
            child,
            ports,
            http_client: config.build().into(),
        })
    }

    /// Returns the addresses on which it listens.
    pub fn ports(&self) -> Ports {
        self.ports
    }

    /// Waits until it is ready, and returns false if it was not in time or if it ended.
    pub fn wait_ready(&mut self, timeout: Duration) -> bool {
        let give_up_at = Instant::now() + timeout;
        while Instant::now() < give_up_at && !self.has_ended() {
            if self.admin_page("ready").is_some() {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Reads a page of its admin port, or returns `None` if the status is not 200.
    pub fn admin_page(&self, name: &str) -> Option<String> {
        let url = format!("http://{}/{name}", self.ports.admin);
        let mut response = self.http_client.get(url).call().ok()?;
        let ok = response.status() == 200;
        ok.then(|| response.body_mut().read_to_string().ok())?
    }

    /// Returns the generation in force according to its status page.
    pub fn generation(&self) -> Option<u64> {
        let status: serde_json::Value = serde_json::from_str(&self.admin_page("status")?).ok()?;
        status.get("generation")?.as_u64()
    }

    /// Returns the CPU time that it has used so far.
    pub fn cpu(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        // Of the fields after the name in parentheses, the 12th and 13th are user and system time, in ticks of 10 ms.
        let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ');
        let ticks = fields
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok());
        Duration::from_millis(ticks.sum::<u64>() * CPU_TICK_MS)
    }

    /// Returns its resident memory in KB.
    pub fn resident_kb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.unwrap_or_default()
    }

    /// Pauses it with SIGSTOP.
    pub fn pause(&self) {
        self.signal(SIGSTOP);
    }

    /// Resumes it after a pause, with SIGCONT.
    pub fn resume(&self) {
        self.signal(SIGCONT);
    }

    /// Asks it to shut down gracefully, with SIGTERM.
    pub fn terminate(&self) {
        self.signal(SIGTERM);
    }

    /// Waits until it has ended and returns its exit status, or `None` if it did not end in time.
    pub fn wait_ended(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let give_up_at = Instant::now() + timeout;
        while Instant::now() < give_up_at {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    fn signal(&self, signal: i32) {
        let id = self.child.id().to_string();
        let signal = format!("-{signal}");
        drop(Command::new("kill").args([&signal, &id]).status());
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds the daemon's executable next to this one, or one folder up if this is a test's executable.
fn daemon_path() -> std::io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let mut candidates = folders.map(|folder| folder.join("kingcuploftd"));
    candidates.find(|path| path.is_file()).ok_or_else(|| {
        let why = "kingcuploftd is not built; run `cargo build --bins` first";
        std::io::Error::new(std::io::ErrorKind::NotFound, why)
    })
}
